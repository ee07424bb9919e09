package tinroad.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.StandardSocketOptions;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests the command line: the output of each command, and one line for each error. */
class MainTest {
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();

    private int run(String input, String... args) {
        return Main.run(
                args,
                new ByteArrayInputStream(input.getBytes(StandardCharsets.UTF_8)),
                new PrintStream(out, true, StandardCharsets.UTF_8),
                new PrintStream(err, true, StandardCharsets.UTF_8));
    }

    private void assertFailsInOneLine(int status, String part, String... args) {
        err.reset();
        assertEquals(status, run("", args));
        String text = err.toString(StandardCharsets.UTF_8);
        assertTrue(text.contains(part) && text.lines().count() == 1, text);
    }

    @Test
    void anUnknownCommandOrOptionIsReportedInOneLine() {
        assertFailsInOneLine(2, "commands: serve");
        assertFailsInOneLine(2, "no command 'srve': is 'serve' meant?", "srve");
        assertFailsInOneLine(2, "no command 'chek'", "help", "chek");
        assertFailsInOneLine(
                2, "--output", "figures", "--control", "127.0.0.1:1", "--output", "xml");
        assertFailsInOneLine(2, "drill", "drill");
        assertFailsInOneLine(2, "--nonsense", "serve", "--nonsense");
    }

    @Test
    void anInvalidConfigurationIsReportedInOneLine(@TempDir Path dir) throws IOException {
        assertFailsInOneLine(
                1, "no such file", "serve", "--config", dir.resolve("absent").toString());
        assertFailsInOneLine(1, "not JSON", "serve", "--config", file(dir, "{\"name\":"));
        assertFailsInOneLine(1, "name is missing", "serve", "--config", file(dir, "{}"));
        assertFailsInOneLine(
                1, "settings are missing", "check", "--config", file(dir, "{\"name\":\"n3\"}"));
        assertFailsInOneLine(
                1,
                "listen is not an ADDRESS:PORT",
                "check",
                "--config",
                file(
                        dir,
                        "{\"name\":\"n3\",\"settings\":{\"classes\":[{\"name\":\"c\"}]},\"listen\":\"localhost:1\"}"));
    }

    @Test
    void eachErrorInAnOperatorFileIsALineAndTheStatusIsTwo(@TempDir Path dir) throws IOException {
        Path operator =
                Files.writeString(
                        dir.resolve("operator.conf"), "log { level = loud }\nextra = 1\n");
        for (String command : List.of("check", "serve")) {
            err.reset();
            assertEquals(
                    2,
                    run(
                            "",
                            command,
                            "--config",
                            "deploy/example.json",
                            "--operator",
                            operator.toString()));
            List<String> lines = err.toString(StandardCharsets.UTF_8).lines().toList();
            assertEquals(2, lines.size(), lines::toString);
            assertTrue(
                    lines.get(0)
                            .startsWith("tinroad: " + operator + ":1: log.level: must be one of"),
                    lines.get(0));
            assertTrue(
                    lines.get(1).startsWith("tinroad: " + operator + ":2: extra: unknown"),
                    lines.get(1));
        }
        assertEquals(
                0,
                run(
                        "",
                        "check",
                        "--config",
                        "deploy/example.json",
                        "--operator",
                        "deploy/operator.conf"));
    }

    @Test
    void aCapacityPageIsWrittenOrCheckedAndItsErrorsAreReportedOneLineEach(@TempDir Path dir)
            throws IOException {
        assertFailsInOneLine(2, "lab capacity needs a PAGE", "lab", "capacity");
        String conf =
                "target = [ { name = gateways, size = 1300, text = gateways } ]\n"
                        + "rows = [ { id = a, table = t, what = a, unit = \"\", figure = \"2 *"
                        + " gateways\", kind = computed } ]\n";
        Files.writeString(dir.resolve("capacity.conf"), conf);
        String bare =
                "<!-- table t -->\n<!-- end -->\n"
                        .concat(
                                List.of(
                                                "target",
                                                "order",
                                                "ratios",
                                                "missing",
                                                "rejected",
                                                "slopes",
                                                "hollow-real")
                                        .stream()
                                        .map(name -> "<!-- table " + name + " -->\n<!-- end -->\n")
                                        .reduce("", String::concat));
        Path page = Files.writeString(dir.resolve("PAGE.md"), bare);
        assertFailsInOneLine(
                1,
                page + ":2: out of step with the results",
                "lab",
                "capacity",
                "--check",
                page.toString());
        assertEquals(bare, Files.readString(page));
        assertEquals(0, run("", "lab", "capacity", page.toString()));
        assertTrue(Files.readString(page).contains("| a | 2,600 | *computed* |"));
        assertEquals(0, run("", "lab", "capacity", "--check", page.toString()));
        Files.writeString(
                dir.resolve("capacity.conf"), conf.replace("2 * gateways", "2 * engines"));
        assertFailsInOneLine(
                2,
                dir.resolve("capacity.conf") + ":2: figure: names engines",
                "lab",
                "capacity",
                page.toString());
    }

    @Test
    void helpDescribesEveryCommandOnStandardOutput() {
        assertEquals(0, run("", "--help"));
        String all = out.toString(StandardCharsets.UTF_8);
        for (String name : Main.COMMANDS.keySet()) {
            assertTrue(all.contains("\n  " + name + " "), all);
            out.reset();
            assertEquals(0, run("", name, "--help"));
            String one = out.toString(StandardCharsets.UTF_8);
            assertTrue(
                    one.startsWith("usage: tinroad " + name)
                            && one.contains("\nexample:\n  ")
                            && one.contains("\nexit status:\n  0  "),
                    one);
            out.reset();
            assertEquals(0, run("", "help", name));
            assertEquals(one, out.toString(StandardCharsets.UTF_8));
        }
        assertEquals("", err.toString(StandardCharsets.UTF_8));
    }

    @Test
    void theCompletionScriptCompletes(@TempDir Path dir) throws IOException, InterruptedException {
        assertEquals(0, run("", "completion", "bash"));
        Path script =
                Files.writeString(
                        dir.resolve("completion"),
                        out.toString(StandardCharsets.UTF_8)
                                + "COMP_WORDS=(tinroad serve --o); COMP_CWORD=2; _tinroad; echo"
                                + " \"${COMPREPLY[*]}\"\n"
                                + "COMP_WORDS=(tinroad ch); COMP_CWORD=1; _tinroad; echo"
                                + " \"${COMPREPLY[*]}\"\n");
        Process bash =
                new ProcessBuilder("bash", script.toString()).redirectErrorStream(true).start();
        assertEquals(
                "--operator\ncheck\n",
                new String(bash.getInputStream().readAllBytes(), StandardCharsets.UTF_8));
        assertEquals(0, bash.waitFor());
        out.reset();
        assertEquals(0, run("", "completion", "zsh"));
        assertTrue(out.toString(StandardCharsets.UTF_8).startsWith("#compdef tinroad\n"));
    }

    @Test
    void metricsArePrintedAsATableAndAsJson() throws IOException {
        byte[] recovery =
                ("{\"phase\":\"ramping\",\"since_ms\":70,\"shown_per_s\":null,\"remembered\":[{\"what\":\"run.read\",\"value\":24.5,"
                     + "\"age_ms\":61000,\"life\":3}]}")
                        .getBytes(StandardCharsets.US_ASCII);
        byte[] body =
                "{\"success\":{\"new-order\":7},\"busy\":{\"new-order\":2},\"failure\":{\"new-order\":0}}"
                        .getBytes(StandardCharsets.US_ASCII);
        HttpServer adminServer =
                HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        adminServer.createContext(
                "/api/telemetry",
                call -> {
                    call.sendResponseHeaders(200, body.length);
                    call.getResponseBody().write(body);
                    call.close();
                });
        adminServer.createContext(
                "/api/recovery",
                call -> {
                    call.sendResponseHeaders(200, recovery.length);
                    call.getResponseBody().write(recovery);
                    call.close();
                });
        adminServer.start();
        String address = "127.0.0.1:" + adminServer.getAddress().getPort();
        try {
            assertEquals(
                    0, run("", "figures", "--control", address, "--output", "json"), err::toString);
            assertTrue(
                    out.toString(StandardCharsets.UTF_8).contains("\"success\" : 7,"),
                    out::toString);
            out.reset();
            assertEquals(0, run("", "figures", "--control", address));
            assertTrue(
                    out.toString(StandardCharsets.UTF_8)
                            .lines()
                            .toList()
                            .get(1)
                            .matches(" new-order +7 +2 +0 *"),
                    out::toString);
            out.reset();
            assertEquals(0, run("", "figures", "--control", address, "--of", "recovery"));
            assertEquals(
                    List.of(
                            " phase ramping",
                            " since_ms 70",
                            " shown_per_s -",
                            " remembered run.read 24.5, 61 s old, of life 3"),
                    out.toString(StandardCharsets.UTF_8)
                            .lines()
                            .skip(1)
                            .map(l -> l.stripTrailing().replaceAll(" +", " "))
                            .toList());
        } finally {
            adminServer.stop(0);
        }
        assertFailsInOneLine(1, "no figures from " + address, "figures", "--control", address);
    }

    private static String file(Path dir, String text) throws IOException {
        return Files.writeString(dir.resolve("config.json"), text).toString();
    }

    @Test
    void theExampleConfigurationStarts() {
        assertEquals(
                0, run("", "check", "--start", "--config", "deploy/example.json"), err::toString);
        assertTrue(
                out.toString(StandardCharsets.UTF_8)
                        .startsWith("ok: n3 with classes [order-status, new-order]"));
    }

    @Test
    void aCheckDoesNotStartBesideAGatewayThatServesThere(@TempDir Path dir) throws IOException {
        try (ServerSocket serving = new ServerSocket()) {
            serving.setOption(StandardSocketOptions.SO_REUSEPORT, true);
            serving.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            String config =
                    Files.readString(Path.of("deploy/example.json"))
                            .replace("127.0.0.1:0", "127.0.0.1:" + serving.getLocalPort());
            assertFailsInOneLine(
                    1, "another process does", "check", "--start", "--config", file(dir, config));
        }
    }

    private List<String> outputLines(int status, String... args) {
        out.reset();
        assertEquals(status, run("", args), err::toString);
        return out.toString(StandardCharsets.UTF_8)
                .lines()
                .map(l -> l.strip().replaceAll(" +", " "))
                .toList();
    }

    @Test
    void aCatalogIsShownComparedCheckedAndPublished(@TempDir Path dir) throws IOException {
        String one = "deploy/example.json";
        String text = Files.readString(Path.of(one));
        String two =
                Files.writeString(
                                dir.resolve("two.json"),
                                text.replace("\"quota_per_s\": 89.0", "\"quota_per_s\": 90.5")
                                        .replace("\"name\": \"new-order\"", "\"name\": \"order\""))
                        .toString();
        String log = dir.resolve("log").toString();
        List<String> shown = outputLines(0, "catalog", "show", one);
        assertEquals(List.of("what value", "classes 2", "orgs 1"), shown.subList(0, 3));
        String content = shown.get(3).substring("content ".length());
        assertEquals(
                List.of("ok: 2 classes, 1 orgs, content " + content),
                outputLines(0, "catalog", "check", one));
        assertEquals(
                List.of(
                        "entry name change from to",
                        "class new-order removed",
                        "class order new objective=2500.0, deadline=6000.0, gain=3.0,"
                                + " late_share=0.2,",
                        "semantics=single_shot, class_calls=false, degraded_worth=0.0",
                        "org acme changed quota_per_s=89.0 quota_per_s=90.5"),
                outputLines(0, "catalog", "diff", one, two));
        assertTrue(
                String.join("", outputLines(0, "catalog", "diff", one, two, "--output", "json"))
                        .contains("\"change\" : \"changed\""));
        assertTrue(
                outputLines(0, "catalog", "publish", one, two, log)
                        .get(0)
                        .startsWith("change 1-1 written: 3 entries, content "));
        assertEquals(
                List.of("nothing differs: no change written"),
                outputLines(0, "catalog", "publish", two, two, log));
        assertEquals(
                List.of("change 1-2 written: 3 entries, content " + content),
                outputLines(0, "catalog", "publish", two, one, log));
        assertEquals(
                List.of("change 2-1"),
                outputLines(0, "catalog", "publish", one, two, log, "--epoch", "2").stream()
                        .map(l -> l.substring(0, 10))
                        .toList());
        assertEquals(
                List.of("1-1 good 3", "1-2 good 3 " + content, "2-1 good 3"),
                outputLines(0, "catalog", "check", log).stream()
                        .skip(1)
                        .map(l -> l.contains(content) ? l : l.substring(0, 10))
                        .toList());

        assertFailsInOneLine(
                1, "leads on from content " + content, "catalog", "publish", one, two, log);
        assertFailsInOneLine(
                1,
                "its epoch is over, 2 goes on",
                "catalog",
                "publish",
                two,
                one,
                log,
                "--epoch",
                "1");
        assertFailsInOneLine(
                1, "no such file", "catalog", "show", dir.resolve("absent").toString());
        assertFailsInOneLine(2, "catalog diff takes OLD NEW", "catalog", "diff", one);
        assertFailsInOneLine(
                1,
                "class order: deadline has to be above 0, not 0",
                "catalog",
                "publish",
                two,
                file(
                        dir,
                        Files.readString(Path.of(two))
                                .replace("\"deadline\": 6000.0", "\"deadline\": 0")),
                log);
        Path first = dir.resolve("log/change-0000000000000000001-0000000000000000001");
        Files.writeString(first, "x");
        assertEquals(
                "1-1 damaged: no change, or cut short 0",
                outputLines(1, "catalog", "check", log).get(1));
    }

    @Test
    void wirehostAnswersTheSimulator() {
        assertEquals(
                0,
                run("{\"t\":\"mark\",\"moment\":1.0,\"turn\":7}\n{\"t\":\"eob\"}\n", "wirehost"));
        assertEquals("{\"t\":\"ack\",\"turn\":7}\n", out.toString(StandardCharsets.UTF_8));
        assertEquals(1, run("{\"t\":\"eob\"}\n", "wirehost"));
    }

    @Test
    void versionNamesTheProgram() {
        assertEquals(0, run("", "version"));
        assertTrue(out.toString(StandardCharsets.UTF_8).startsWith("tinroad "));
    }
}
