package tinroad.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import org.kohsuke.args4j.Option;

/**
 * {@code figures}: asks a running gateway, through its operators' door, what it has done so far.
 */
public final class MetricsCommand extends Command {
    @Option(
            name = "--control",
            metaVar = "ADDRESS:PORT",
            required = true,
            usage = "the gateway's operators' door")
    private String control;

    /** What is wanted. */
    enum What {
        ANSWERS("/api/telemetry"),
        RECOVERY("/api/recovery"),
        SETTINGS("/api/settings");

        private final String path;

        What(String path) {
            this.path = path;
        }
    }

    @Option(
            name = "--of",
            usage =
                    "answers: what it has done so far; recovery: how it comes back, and what it"
                            + " remembers; settings: which classes and tenants are in force")
    private What what = What.ANSWERS;

    @Option(name = "--output", usage = "table or json")
    private Output output = Output.TABLE;

    @Override
    About about() {
        return new About(
                "asks a running gateway what it has done so far",
                "tinroad figures --control 127.0.0.1:10250 --output json",
                "0  printed",
                "1  no answer, or no figures",
                "2  wrong arguments");
    }

    @Override
    int run(InputStream in, PrintStream out, PrintStream err) {
        return AdminClient.ask(
                control,
                what.path,
                "figures",
                err,
                figures -> {
                    if (figures.path(what == What.RECOVERY ? "phase" : "hash").isTextual()) {
                        values(figures, out);
                    } else if (figures.path("success").isObject()) {
                        answers(figures, out);
                    } else {
                        throw new IOException("no figures");
                    }
                });
    }

    private void answers(JsonNode figures, PrintStream out) {
        List<List<Object>> rows = new ArrayList<>();
        figures.get("success")
                .fieldNames()
                .forEachRemaining(
                        name ->
                                rows.add(
                                        List.of(
                                                name,
                                                figures.at("/success/" + name).asLong(),
                                                figures.at("/busy/" + name).asLong(),
                                                figures.at("/failure/" + name).asLong())));
        output.print(List.of("class", "success", "busy", "failure"), rows, out);
    }

    /**
     * Each value by its name; of recovery, each value of an earlier life that this one began with
     * comes last.
     */
    private void values(JsonNode figures, PrintStream out) {
        List<List<Object>> rows = new ArrayList<>();
        figures.properties()
                .forEach(
                        f -> {
                            if (f.getValue().isValueNode()) {
                                rows.add(
                                        List.of(
                                                f.getKey(),
                                                f.getValue().isNull()
                                                        ? "-"
                                                        : f.getValue().asText()));
                            }
                        });
        figures.path("remembered")
                .forEach(
                        r ->
                                rows.add(
                                        List.of(
                                                "remembered " + r.path("what").asText(),
                                                r.path("value").asDouble()
                                                        + ", "
                                                        + r.path("age_ms").asLong() / 1000
                                                        + " s old, of life "
                                                        + r.path("life").asLong())));
        output.print(List.of("what", "is"), rows, out);
    }
}
