package tinroad.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

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
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The command line: what each command prints, and one plain line for what is wrong. */
class MainTest {
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();

    private int run(String input, String... args) {
        return Main.run(args, new ByteArrayInputStream(input.getBytes(StandardCharsets.UTF_8)),
                new PrintStream(out, true, StandardCharsets.UTF_8), new PrintStream(err, true, StandardCharsets.UTF_8));
    }

    private void failsInOneLine(int status, String part, String... args) {
        err.reset();
        assertEquals(status, run("", args));
        String text = err.toString(StandardCharsets.UTF_8);
        assertTrue(text.contains(part) && text.lines().count() == 1, text);
    }

    @Test
    void whatIsNoCommandIsToldInOneLine() {
        failsInOneLine(2, "commands: serve");
        failsInOneLine(2, "drill", "drill");
        failsInOneLine(2, "--nonsense", "serve", "--nonsense");
    }

    @Test
    void aConfigurationThatCantBeUsedIsToldInOneLine(@TempDir Path dir) throws IOException {
        failsInOneLine(1, "no such file", "serve", "--config", dir.resolve("absent").toString());
        failsInOneLine(1, "not JSON", "serve", "--config", file(dir, "{\"name\":"));
        failsInOneLine(1, "name is missing", "serve", "--config", file(dir, "{}"));
        failsInOneLine(1, "settings are missing", "check", "--config", file(dir, "{\"name\":\"n3\"}"));
        failsInOneLine(1, "listen is no ADDRESS:PORT", "check", "--config",
                file(dir, "{\"name\":\"n3\",\"settings\":{\"classes\":[{\"name\":\"c\"}]},\"listen\":\"localhost:1\"}"));
    }

    private static String file(Path dir, String text) throws IOException {
        return Files.writeString(dir.resolve("config.json"), text).toString();
    }

    @Test
    void theExampleConfigurationStarts() {
        assertEquals(0, run("", "check", "--start", "--config", "deploy/example.json"), err::toString);
        assertTrue(out.toString(StandardCharsets.UTF_8).startsWith("ok: n3 with classes [order-status, new-order]"));
    }

    @Test
    void aCheckStartsNothingBesideAGatewayThatServesThere(@TempDir Path dir) throws IOException {
        try (ServerSocket serving = new ServerSocket()) {
            serving.setOption(StandardSocketOptions.SO_REUSEPORT, true);
            serving.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            String config = Files.readString(Path.of("deploy/example.json"))
                    .replace("127.0.0.1:0", "127.0.0.1:" + serving.getLocalPort());
            failsInOneLine(1, "another process does", "check", "--start", "--config", file(dir, config));
        }
    }

    @Test
    void wirehostAnswersTheSimulator() {
        assertEquals(0, run("{\"t\":\"mark\",\"moment\":1.0,\"turn\":7}\n{\"t\":\"eob\"}\n", "wirehost"));
        assertEquals("{\"t\":\"ack\",\"turn\":7}\n", out.toString(StandardCharsets.UTF_8));
        assertEquals(1, run("{\"t\":\"eob\"}\n", "wirehost"));
    }

    @Test
    void versionNamesTheProgram() {
        assertEquals(0, run("", "version"));
        assertTrue(out.toString(StandardCharsets.UTF_8).startsWith("tinroad "));
    }
}
