package tinroad.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import tinroad.operator.OperatorConfig;

/**
 * Tests that files written by release 0.2.0 (commit 8aa3729) are still read with the same result.
 * The expected outputs were printed by that release.
 */
class StoredFilesTest {
    private static final Path FILES = Path.of("src/test/resources/stored/0.2.0");

    @ParameterizedTest
    @CsvSource({
        "state show state-first, state-first.json",
        "state show state-second, state-second.json",
        "state verify state-second, state-second-files.json",
        "catalog check changes, changes.json",
        "catalog show config-after-changes.json, config-after-changes.json",
        "catalog diff config.json config-after-changes.json, diff.json"
    })
    void commandsPrintWhatTheReleasePrinted(String command, String expected) throws IOException {
        String[] words = (command + " --output json").split(" ");
        for (int i = 2; i < words.length - 2; i++) {
            words[i] = FILES.resolve(words[i]).toString();
        }
        assertEquals(
                Files.readString(FILES.resolve("expected").resolve(expected)),
                withoutAges(run(words)));
    }

    @Test
    void theReleasesConfigurationAndOperatorFilePassTheCheck() {
        assertEquals(
                "ok: n3 with classes [order-status, new-order]\n",
                run(
                        "check",
                        "--config",
                        FILES.resolve("config.json").toString(),
                        "--operator",
                        FILES.resolve("operator.conf").toString()));
    }

    @Test
    void everySettingOfTheReleasesOperatorFileIsRead() throws Exception {
        OperatorConfig operator = OperatorConfig.read(FILES.resolve("operator.conf"));
        Path folder = FILES.toAbsolutePath();
        assertEquals(
                List.of(true, "warn", Map.of("engine", "debug", "io.netty", "error"), 64, 50.0),
                List.of(
                        operator.log().json(),
                        operator.log().level(),
                        operator.log().levels(),
                        operator.log().queueCapacity(),
                        operator.log().flushMillis()));
        assertEquals(
                List.of(
                        folder.resolve("state-second"),
                        folder.resolve("fence"),
                        250.0,
                        5,
                        172_800_000.0,
                        90_000.0),
                List.of(
                        operator.state().folder(),
                        operator.state().fence(),
                        operator.state().savePeriodMillis(),
                        operator.state().keptSnapshots(),
                        operator.state().maxAgeMillis(),
                        operator.state().halfLifeMillis()));
        assertEquals(
                List.of(
                        new InetSocketAddress("127.0.0.1", 7001),
                        List.of("127.0.0.2:7001", "127.0.0.3:7001"),
                        "west",
                        List.of("0123456789abcdef")),
                List.of(
                        operator.fleet().listen(),
                        operator.fleet().seeds(),
                        operator.fleet().zone(),
                        operator.fleet().keys().stream()
                                .map(key -> new String(key, StandardCharsets.US_ASCII))
                                .toList()));
        assertEquals(
                List.of(true, folder.resolve("changes"), 20.0),
                List.of(
                        operator.catalog().onReload(),
                        operator.catalog().log(),
                        operator.catalog().pollMillis()));
    }

    /** Runs a command, which has to end with status 0 and without errors; returns its output. */
    private static String run(String... words) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        ByteArrayOutputStream err = new ByteArrayOutputStream();
        int status =
                Main.run(
                        words,
                        new ByteArrayInputStream(new byte[0]),
                        new PrintStream(out, true, StandardCharsets.UTF_8),
                        new PrintStream(err, true, StandardCharsets.UTF_8));
        assertEquals("", err.toString(StandardCharsets.UTF_8));
        assertEquals(0, status);
        return out.toString(StandardCharsets.UTF_8);
    }

    /** Removes ages, which depend on when the test runs. */
    private static String withoutAges(String json) {
        return json.lines()
                .filter(line -> !line.contains("\"age_s\""))
                .collect(Collectors.joining("\n", "", "\n"));
    }
}
