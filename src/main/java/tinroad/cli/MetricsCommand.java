package tinroad.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import org.kohsuke.args4j.Option;

/** {@code figures}: prints metrics of a running gateway, from its admin endpoint. */
public final class MetricsCommand extends Command {
    @Option(
            name = "--control",
            metaVar = "ADDRESS:PORT",
            required = true,
            usage = "the gateway's operators' door")
    private String control;

    /** What to print, by the word typed, and the path where it is. */
    enum Topic {
        ANSWERS("/api/telemetry"),
        RECOVERY("/api/recovery"),
        SETTINGS("/api/settings");

        private final String path;

        Topic(String path) {
            this.path = path;
        }
    }

    @Option(
            name = "--of",
            usage =
                    "answers: what it has done so far; recovery: how it comes back, and what it"
                            + " remembers; settings: which classes and tenants are in force")
    private Topic topic = Topic.ANSWERS;

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
        return AdminClient.get(
                control,
                topic.path,
                "figures",
                err,
                metrics -> {
                    if (metrics.path(topic == Topic.RECOVERY ? "phase" : "hash").isTextual()) {
                        values(metrics, out);
                    } else if (metrics.path("success").isObject()) {
                        answers(metrics, out);
                    } else {
                        throw new IOException("no figures");
                    }
                });
    }

    private void answers(JsonNode metrics, PrintStream out) {
        List<List<Object>> rows = new ArrayList<>();
        metrics.get("success")
                .fieldNames()
                .forEachRemaining(
                        name ->
                                rows.add(
                                        List.of(
                                                name,
                                                metrics.at("/success/" + name).asLong(),
                                                metrics.at("/busy/" + name).asLong(),
                                                metrics.at("/failure/" + name).asLong())));
        output.print(List.of("class", "success", "busy", "failure"), rows, out);
    }

    /**
     * Each value by its name; of recovery, the values restored from an earlier incarnation come
     * last.
     */
    private void values(JsonNode metrics, PrintStream out) {
        List<List<Object>> rows = new ArrayList<>();
        metrics.properties()
                .forEach(
                        field -> {
                            if (field.getValue().isValueNode()) {
                                rows.add(
                                        List.of(
                                                field.getKey(),
                                                field.getValue().isNull()
                                                        ? "-"
                                                        : field.getValue().asText()));
                            }
                        });
        metrics.path("remembered")
                .forEach(
                        restored ->
                                rows.add(
                                        List.of(
                                                "remembered " + restored.path("what").asText(),
                                                restored.path("value").asDouble()
                                                        + ", "
                                                        + restored.path("age_ms").asLong() / 1000
                                                        + " s old, of life "
                                                        + restored.path("life").asLong())));
        output.print(List.of("what", "is"), rows, out);
    }
}
