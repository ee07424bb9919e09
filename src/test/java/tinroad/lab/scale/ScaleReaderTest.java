package tinroad.lab.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import tinroad.operator.OperatorException;
import tinroad.operator.ValidationError;

/** Tests how scale scripts are read, and the errors reported for invalid ones. */
class ScaleReaderTest {
    private static final String GOOD = "title = a, sweep = gateways, sizes = [10, 20]\n";

    /** Each script with the line and the start of its first error. */
    private static final Map<String, String> ERRORS =
            Map.ofEntries(
                    Map.entry("sweep = gateways, sizes = [3]", "1: title: must have title"),
                    Map.entry("title = a, sizes = [3]", "1: sweep: must have sweep"),
                    Map.entry(
                            "title = a\nsweep = gateway, sizes = [3]",
                            "2: sweep: must be one of gateways, callers, tenants"),
                    Map.entry(
                            "title = a, sweep = rate\nsizes = []", "2: sizes: must have 1 or more"),
                    Map.entry(
                            "title = a, sweep = rate\nsizes = [1, 3, 2]",
                            "2: sizes: must rise: 2 is not more than 3"),
                    Map.entry(
                            "title = a, sweep = gateways\n\nsizes = [1.5]",
                            "3: sizes: must be whole, from 1 to 2000; found 1.5"),
                    Map.entry(
                            "title = a, sweep = gateways\nsizes = [1]",
                            "2: sizes: must be no less than fleet.real; found 1"),
                    Map.entry(
                            "title = a, sweep = loss\nsizes = [0, 0.6]",
                            "2: sizes: must be 0.5 or less; found 0.6"),
                    Map.entry(
                            GOOD + "held {\n gateway = 5 }",
                            "3: held.gateway: unknown: is gateways meant?"),
                    Map.entry(GOOD + "seconds = 5", "2: seconds: must be a duration"),
                    Map.entry(
                            GOOD + "seconds = 1m",
                            "2: seconds: must be a duration, such as 250ms or 5s, from 500ms to"
                                    + " 25s"),
                    Map.entry(
                            "title = a, sweep = gateways, sizes = [20, 60]\n"
                                    + "fleet { real = 10, a-process = 1 }",
                            "2: fleet.a-process: must let 60 do with 40 processes; it takes 60"),
                    Map.entry(
                            GOOD + "fleet.regions = 4",
                            "2: fleet.regions: must be no more than fleet.zones"),
                    Map.entry(
                            GOOD + "fleet.cut = 7s", "2: fleet.cut: must be no more than seconds"),
                    Map.entry(
                            "title = a, sweep = rate, sizes = [1]\nheld.gateways = 1",
                            "2: held.gateways: must be no less than fleet.real"));

    @TempDir private Path dir;

    @Test
    void eachErrorIsReportedWithFileAndLine() throws Exception {
        Path file = dir.resolve("scale-s.conf");
        for (Map.Entry<String, String> invalid : ERRORS.entrySet()) {
            Files.writeString(file, invalid.getKey());
            ValidationError error =
                    assertThrows(
                                    OperatorException.class,
                                    () -> ScaleReader.read(file),
                                    invalid.getKey())
                            .errors()
                            .get(0);
            assertTrue(
                    error.toString().startsWith(file + ":" + invalid.getValue()),
                    () -> invalid.getKey() + "\n" + error);
        }
    }

    @Test
    void theScriptsOfTheProjectAreValid() throws Exception {
        try (Stream<Path> files = Files.list(Path.of("lab"))) {
            List<ScaleScript> all =
                    files.filter(f -> f.getFileName().toString().startsWith("scale-"))
                            .sorted()
                            .map(ScaleReaderTest::read)
                            .toList();
            assertEquals(8, all.size());
            assertEquals(
                    EnumSet.allOf(ScaleScript.SweptParameter.class),
                    all.stream()
                            .map(ScaleScript::sweptParameter)
                            .collect(
                                    Collectors.toCollection(
                                            () ->
                                                    EnumSet.noneOf(
                                                            ScaleScript.SweptParameter.class))));
            all.forEach(
                    s ->
                            assertTrue(
                                    s.title().length() > 10
                                            && s.measuredMillis()
                                                            + s.settleTimeoutMillis()
                                                            + s.deathTimeoutMillis()
                                                    <= 25_000,
                                    s::toString));
        }
    }

    private static ScaleScript read(Path file) {
        try {
            return ScaleReader.read(file);
        } catch (OperatorException e) {
            throw new AssertionError(e.errors().toString(), e);
        }
    }

    @Test
    void oneParameterGrowsAndTheOthersKeepTheirBaseline() throws Exception {
        Path file =
                Files.writeString(
                        dir.resolve("s.conf"),
                        "title = a, sweep = tenants, sizes = [4, 50], held { routes = 7, loss = 0.1"
                                + " }");
        ScaleScript s = ScaleReader.read(file);
        assertEquals(new ScaleScript.Parameters(12, 50, 7, 20, 100, 0, 0.1), s.parametersAt(50));
        assertEquals(2 + 1, s.maxProcesses(50, 1));
        assertEquals(4 + 1, s.maxProcesses(50, 2));
    }
}
