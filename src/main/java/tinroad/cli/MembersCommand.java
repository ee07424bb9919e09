package tinroad.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import org.kohsuke.args4j.Option;

/** The command {@code members}: prints the fleet as known to a running gateway. */
public final class MembersCommand extends Command {
    @Option(
            name = "--control",
            metaVar = "ADDRESS:PORT",
            required = true,
            usage = "the gateway's admin endpoint")
    private String control;

    @Option(name = "--output", usage = "table or json")
    private Output output = Output.TABLE;

    @Override
    About about() {
        return new About(
                "prints the members of the fleet that a running gateway knows",
                "tinroad members --control 127.0.0.1:10250",
                "0  printed",
                "1  no answer, or the gateway does not communicate with others",
                "2  wrong arguments");
    }

    @Override
    int run(InputStream in, PrintStream out, PrintStream err) {
        return AdminClient.get(
                control,
                "/api/members",
                "members",
                err,
                (JsonNode body) -> {
                    if (!body.path("members").isArray()) {
                        throw new IOException(body.isMissingNode() ? "not JSON" : "no members");
                    }
                    List<List<Object>> rows = new ArrayList<>();
                    body.path("members")
                            .forEach(
                                    member ->
                                            rows.add(
                                                    List.of(
                                                            member.path("name").asText(),
                                                            member.path("status").asText(),
                                                            member.path("zone").asText(),
                                                            member.path("address").asText(),
                                                            member.path("life").asLong(),
                                                            member.path("since_ms").asLong() / 1000,
                                                            member.path("by").asText())));
                    output.print(
                            List.of("member", "status", "zone", "address", "life", "since_s", "by"),
                            rows,
                            out);
                });
    }
}
