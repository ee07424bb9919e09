package tinroad.lab.scale;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.Writer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;

/**
 * The configuration file of the scale run's gateways, with tables of any size. Each change renames
 * the last route and keeps the size of the tables, so exactly one entry differs.
 */
final class SettingsFile {
    private static final JsonFactory JSON = new JsonFactory();
    private static final int CORES = 8;
    private static final double QUOTA_PER_SECOND = 100_000;
    private static final double MEMORY_LIMIT_MB = 192;

    private final Path file;
    private final String name;
    private final String listen;
    private final String engine;
    private final String roster;
    private final ScaleScript.Parameters parameters;
    private final int maxDescriptors;

    SettingsFile(
            Path file,
            String name,
            String listen,
            String engine,
            String roster,
            ScaleScript.Parameters parameters,
            int maxDescriptors) {
        this.file = file;
        this.name = name;
        this.listen = listen;
        this.engine = engine;
        this.roster = roster;
        this.parameters = parameters;
        this.maxDescriptors = maxDescriptors;
    }

    /** The name of the route that exists only after change {@code number}. */
    static String changedRouteName(int number) {
        return "changed-" + number;
    }

    static String routeName(int number) {
        return String.format("route-%05d", number);
    }

    static String tenantName(int number) {
        return String.format("tenant-%05d", number);
    }

    Path file() {
        return file;
    }

    /**
     * Writes the file and replaces the old one atomically, so that a reader never sees a part of
     * it; returns its size in bytes.
     *
     * @param change number of the change, 0 for the original settings
     */
    long publish(int change) throws IOException {
        Path temporary = file.resolveSibling(file.getFileName() + ".next");
        try (Writer out = Files.newBufferedWriter(temporary);
                JsonGenerator generator = JSON.createGenerator(out)) {
            generator.writeStartObject();
            generator.writeStringField("name", name);
            generator.writeStringField("listen", listen);
            generator.writeStringField("engine", engine);
            generator.writeStringField("roster", roster);
            generator.writeStringField("seed", Integer.toHexString(name.hashCode()));
            generator.writeNumberField("stop_ms", 1000);
            generator.writeObjectFieldStart("limits");
            generator.writeNumberField("cores", 1.0);
            generator.writeNumberField("memory_mb", MEMORY_LIMIT_MB);
            generator.writeNumberField("sockets", maxDescriptors);
            generator.writeEndObject();
            generator.writeObjectFieldStart("settings");
            writeTables(generator, change);
            writeFixedSettings(generator);
            generator.writeEndObject();
            generator.writeEndObject();
        }
        Files.move(
                temporary,
                file,
                StandardCopyOption.ATOMIC_MOVE,
                StandardCopyOption.REPLACE_EXISTING);
        return Files.size(file);
    }

    private void writeTables(JsonGenerator generator, int change) throws IOException {
        generator.writeArrayFieldStart("classes");
        for (int i = 0; i < parameters.routes(); i++) {
            generator.writeStartObject();
            generator.writeStringField(
                    "name",
                    i == parameters.routes() - 1 && change > 0
                            ? changedRouteName(change)
                            : routeName(i));
            generator.writeNumberField("objective", 1500.0);
            generator.writeNumberField("deadline", 3700.0);
            generator.writeNumberField("gain", 1.0);
            generator.writeNumberField("late_share", 0.2);
            generator.writeStringField("semantics", i % 5 == 4 ? "single_shot" : "free");
            generator.writeEndObject();
        }
        generator.writeEndArray();
        generator.writeArrayFieldStart("orgs");
        for (int i = 0; i < parameters.tenants(); i++) {
            generator.writeStartObject();
            generator.writeStringField("name", tenantName(i));
            generator.writeNumberField("quota_per_s", QUOTA_PER_SECOND / parameters.tenants());
            generator.writeNumberField("share", 1.0 / parameters.tenants());
            generator.writeEndObject();
        }
        generator.writeEndArray();
    }

    private void writeFixedSettings(JsonGenerator generator) throws IOException {
        generator.writeObjectFieldStart("family_info");
        generator.writeNumberField("cores", CORES);
        generator.writeNumberField("callers", parameters.callers());
        generator.writeNumberField("memory_kb", 60_000.0);
        generator.writeNumberField("run_factor", 4.0);
        generator.writeNumberField("idle", 60_000.0);
        generator.writeBooleanField("passes_deadline", false);
        generator.writeBooleanField("just_started", false);
        generator.writeArrayFieldStart("meters");
        for (String gauge : EchoEngine.GAUGE_NAMES) {
            generator.writeString(gauge);
        }
        generator.writeEndArray();
        generator.writeEndObject();
        generator.writeObjectFieldStart("caps");
        generator.writeNumberField("max_retry_after", 1000.0);
        generator.writeBooleanField("retry_after", true);
        generator.writeEndObject();
        generator.writeObjectFieldStart("rules");
        generator.writeNumberField("answer_slack", 100.0);
        generator.writeNumberField("cold_from", 0.25);
        generator.writeNumberField("ramp_time", 16_000.0);
        generator.writeNumberField("drain_grace", 500.0);
        generator.writeNumberField("fall", 1500.0);
        generator.writeNumberField("fall_multiple", 8.0);
        generator.writeEndObject();
        generator.writeNumberField("servers", parameters.gateways());
        generator.writeNumberField("step", 5.0);
        generator.writeNumberField("over_share_worth", 0.1);
        generator.writeStringField("worth_by", "request");
    }
}
