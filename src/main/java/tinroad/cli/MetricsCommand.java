package tinroad.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import org.kohsuke.args4j.Option;

/** The command {@code figures}: prints metrics of a running gateway, from its admin endpoint. */
public final class MetricsCommand extends Command {
    @Option(
            name = "--control",
            metaVar = "ADDRESS:PORT",
            required = true,
            usage = "the gateway's admin endpoint")
    private String control;

    /** The topics, named as on the command line, and their paths at the admin endpoint. */
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
                    "answers: numbers of replies by class and result; recovery: the state of"
                            + " recovery and the restored values; settings: the version of classes"
                            + " and tenants in force")
    private Topic topic = Topic.ANSWERS;

    @Option(name = "--output", usage = "table or json")
    private Output output = Output.TABLE;

    @Override
    About about() {
        return new About(
                "prints metrics of a running gateway",
                "tinroad figures --control 127.0.0.1:10250 --output json",
                "0  printed",
                "1  no answer, or an answer without metrics",
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
                        printValues(metrics, out);
                    } else if (metrics.path("success").isObject()) {
                        printReplies(metrics, out);
                    } else {
                        throw new IOException("no figures");
                    }
                });
    }

    /** Prints the numbers of replies of each class, by result. */
    private void printReplies(JsonNode metrics, PrintStream out) {
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

    /** Prints each value with its name; values restored from an earlier incarnation come last. */
    private void printValues(JsonNode metrics, PrintStream out) {
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
