package tinroad.lab.scale;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.Writer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;

/**
 * The configuration of the scale run's gateways, with tables of any size. Published anew with
 * another number, the last route has another name, and the tables the same size: one entry has
 * changed.
 */
final class SettingsFile {
    private static final JsonFactory JSON = new JsonFactory();
    private static final int CORES = 8;
    private static final double QUOTA = 100_000;
    private static final double MEMORY_MB = 192;

    private final Path file;
    private final String name;
    private final String listen;
    private final String engine;
    private final String roster;
    private final Scale.Held sizes;
    private final int sockets;

    SettingsFile(
            Path file,
            String name,
            String listen,
            String engine,
            String roster,
            Scale.Held sizes,
            int sockets) {
        this.file = file;
        this.name = name;
        this.listen = listen;
        this.engine = engine;
        this.roster = roster;
        this.sizes = sizes;
        this.sockets = sockets;
    }

    /** The route that only change {@code number} has. */
    static String changedRoute(int number) {
        return "changed-" + number;
    }

    static String route(int number) {
        return String.format("route-%05d", number);
    }

    static String tenant(int number) {
        return String.format("tenant-%05d", number);
    }

    Path file() {
        return file;
    }

    /** Writes it, so that a reader finds the old one or the new one whole; returns its bytes. */
    long publish(int change) throws IOException {
        Path next = file.resolveSibling(file.getFileName() + ".next");
        try (Writer out = Files.newBufferedWriter(next);
                JsonGenerator to = JSON.createGenerator(out)) {
            to.writeStartObject();
            to.writeStringField("name", name);
            to.writeStringField("listen", listen);
            to.writeStringField("engine", engine);
            to.writeStringField("roster", roster);
            to.writeStringField("seed", Integer.toHexString(name.hashCode()));
            to.writeNumberField("stop_ms", 1000);
            to.writeObjectFieldStart("limits");
            to.writeNumberField("cores", 1.0);
            to.writeNumberField("memory_mb", MEMORY_MB);
            to.writeNumberField("sockets", sockets);
            to.writeEndObject();
            to.writeObjectFieldStart("settings");
            tables(to, change);
            rest(to);
            to.writeEndObject();
            to.writeEndObject();
        }
        Files.move(next, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        return Files.size(file);
    }

    private void tables(JsonGenerator to, int change) throws IOException {
        to.writeArrayFieldStart("classes");
        for (int i = 0; i < sizes.routes(); i++) {
            to.writeStartObject();
            to.writeStringField(
                    "name",
                    i == sizes.routes() - 1 && change > 0 ? changedRoute(change) : route(i));
            to.writeNumberField("objective", 1500.0);
            to.writeNumberField("deadline", 3700.0);
            to.writeNumberField("gain", 1.0);
            to.writeNumberField("late_share", 0.2);
            to.writeStringField("semantics", i % 5 == 4 ? "single_shot" : "free");
            to.writeEndObject();
        }
        to.writeEndArray();
        to.writeArrayFieldStart("orgs");
        for (int i = 0; i < sizes.tenants(); i++) {
            to.writeStartObject();
            to.writeStringField("name", tenant(i));
            to.writeNumberField("quota_per_s", QUOTA / sizes.tenants());
            to.writeNumberField("share", 1.0 / sizes.tenants());
            to.writeEndObject();
        }
        to.writeEndArray();
    }

    private void rest(JsonGenerator to) throws IOException {
        to.writeObjectFieldStart("family_info");
        to.writeNumberField("cores", CORES);
        to.writeNumberField("callers", sizes.callers());
        to.writeNumberField("memory_kb", 60_000.0);
        to.writeNumberField("run_factor", 4.0);
        to.writeNumberField("idle", 60_000.0);
        to.writeBooleanField("passes_deadline", false);
        to.writeBooleanField("just_started", false);
        to.writeArrayFieldStart("meters");
        for (String meter : EchoEngine.METERS) {
            to.writeString(meter);
        }
        to.writeEndArray();
        to.writeEndObject();
        to.writeObjectFieldStart("caps");
        to.writeNumberField("max_retry_after", 1000.0);
        to.writeBooleanField("retry_after", true);
        to.writeEndObject();
        to.writeObjectFieldStart("rules");
        to.writeNumberField("answer_slack", 100.0);
        to.writeNumberField("cold_from", 0.25);
        to.writeNumberField("ramp_time", 16_000.0);
        to.writeNumberField("drain_grace", 500.0);
        to.writeNumberField("fall", 1500.0);
        to.writeNumberField("fall_multiple", 8.0);
        to.writeEndObject();
        to.writeNumberField("servers", sizes.gateways());
        to.writeNumberField("step", 5.0);
        to.writeNumberField("over_share_worth", 0.1);
        to.writeStringField("worth_by", "request");
    }
}
