package tinroad.lab.script;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import tinroad.operator.OperatorException;
import tinroad.operator.ValidationError;

/** The values read from a script, and the errors reported for an invalid one. */
class ScriptTest {
    /** Invalid scripts, each with the line and the start of the text of its first error. */
    private static final Map<String, String> FIRST_ERRORS =
            Map.ofEntries(
                    Map.entry("lenth = 5s", "1: lenth: unknown: is length meant?"),
                    Map.entry("\nlength = 5", "2: length: must be a duration"),
                    Map.entry(
                            "length = 1h",
                            "1: length: must be a duration, such as 250ms or 5s, from 2s to 30m"),
                    Map.entry("length = 5s\n\nsettle = 6s", "3: settle: must be less than length"),
                    Map.entry(
                            "fleet {\n gateways = 0 }",
                            "2: fleet.gateways: must be 1 or more; found 0"),
                    Map.entry(
                            "fleet {\n gateways = 1001 }",
                            "2: fleet.gateways: must be 1000 or less"),
                    Map.entry(
                            "fleet {\n gateways = 1.5 }", "2: fleet.gateways: must be an integer"),
                    Map.entry(
                            "fleet {\n zones = 4 }",
                            "2: fleet.zones: must be no more than fleet.gateways"),
                    Map.entry(
                            "fleet {\n same-name = [3] }",
                            "2: fleet.same-name: must be from 0 to 2"),
                    Map.entry("fleet.speeds = []", "1: fleet.speeds: must have 1 or more"),
                    Map.entry(
                            "engine {\n law = pareto }",
                            "2: engine.law: must be one of constant, exponential, lognormal"),
                    Map.entry("engine {\n cold = 1.5 }", "2: engine.cold: must be 1 or less"),
                    Map.entry("classes = []", "1: classes: must have 1 or more"),
                    Map.entry(
                            "classes = [\n{ name = a, part = 1, work = 5ms, objective = 1s } ]",
                            "2: classes.0.deadline: must have deadline"),
                    Map.entry(
                            "classes = [\n"
                                    + "{ name = a, part = 1, work = 5ms,\n"
                                    + " objective = 2s, deadline = 1s } ]",
                            "3: classes.0.objective: must be no more than deadline"),
                    Map.entry(
                            "classes = [ { name = a, part = 1, work = 5ms, objective = 1s, deadline"
                                + " = 1s }\n"
                                + "{ name = a, part = 1, work = 5ms, objective = 1s, deadline = 1s"
                                + " } ]",
                            "2: classes.1.name: must differ"),
                    Map.entry(
                            "callers.choice = best",
                            "1: callers.choice: must be one of turn, least, subject"),
                    Map.entry("callers.heed = -1", "1: callers.heed: must be 0 or more"),
                    Map.entry(
                            "load.jumps = [ { at = 1s, for = 1s } ]",
                            "1: load.jumps.0.level: must have level"),
                    Map.entry(
                            "roster.late-least = 3s",
                            "1: roster.late-least: must be no more than late-most"),
                    Map.entry("faults = [ { at = 5s } ]", "1: faults.0.do: must have do"),
                    Map.entry(
                            "faults = [\n { do = kil, at = 5s } ]",
                            "2: faults.0.do: must be one of kill, kill-gateway, notice"),
                    Map.entry(
                            "faults = [ { do = kill,\n at = 20s } ]",
                            "2: faults.0.at: must be before the end"),
                    Map.entry(
                            "faults = [ { do = kill, at = 5s,\n\n gateways = [3] } ]",
                            "3: faults.0.gateways: must be from 0 to 2"),
                    Map.entry(
                            "faults = [ { do = kill, at = 5s,\n zone = 1 } ]",
                            "2: faults.0.zone: must be from 0 to 0"),
                    Map.entry(
                            "faults = [ { do = cut, at = 5s, links = [roster],\n"
                                    + " callers-zone = 2 } ]",
                            "2: faults.0.callers-zone: must be"),
                    Map.entry(
                            "faults = [ { do = kill, at = 5s,\n back-least = 9s } ]",
                            "2: faults.0.back-least: must be no more"),
                    Map.entry(
                            "faults = [ {\n do = cut, at = 5s } ]",
                            "2: faults.0.do: must have links"),
                    Map.entry(
                            "faults = [ { do = kill, at = 5s,\n links = [engine] } ]",
                            "2: faults.0.links: must go with a fault of links"),
                    Map.entry(
                            "faults = [ { do = lose, at = 5s,\n links = [engine] } ]",
                            "2: faults.0.links: must be roster"),
                    Map.entry(
                            "faults = [ { do = half, at = 5s,\n links = [roster] } ]",
                            "2: faults.0.links: must not have roster"),
                    Map.entry(
                            "faults = [ { do = cut, at = 5s,\n links = [engines] } ]",
                            "2: faults.0.links.0: must be one of"),
                    Map.entry("faults {", "1: "),
                    Map.entry("include \"absent.conf\"\nlength = 5s", "1: include of"));

    @TempDir private Path dir;

    @Test
    void allShippedScriptsAreValid() throws Exception {
        try (Stream<Path> files = Files.list(Path.of("lab"))) {
            // Scripts of the scale run have another format, which ScaleReaderTest covers.
            List<Path> scripts =
                    files.filter(
                                    f ->
                                            f.toString().endsWith(".conf")
                                                    && !f.getFileName()
                                                            .toString()
                                                            .startsWith("scale-"))
                            .toList();
            assertEquals(21, scripts.size());
            for (Path script : scripts) {
                assertTrue(ScriptReader.read(script).title().length() > 10, script::toString);
            }
        }
    }

    @Test
    void absentSettingsHaveTheirDefaults() throws Exception {
        Script script =
                ScriptReader.read(
                        Files.writeString(
                                dir.resolve("s.conf"),
                                "faults = [ { do = engine-sick, at = 5s, for = 1500ms } ]\n"
                                    + "classes = [ { name = a, part = 1, work = 5ms, objective ="
                                    + " 1s, deadline = 2s } ]"));
        assertEquals(3, script.fleet().gateways());
        assertEquals(6.0, script.fleet().power());
        assertEquals(
                new Script.RequestClass("a", 1, 5, 1000, 2000, 1, true), script.classes().get(0));
        assertEquals(Script.FaultAction.ENGINE_SICK, script.faults().get(0).action());
        assertEquals(1500, script.faults().get(0).length());
        assertEquals(1, script.faults().get(0).share());
    }

    @Test
    void eachErrorIsReportedWithFileAndLine() throws Exception {
        Path file = dir.resolve("s.conf");
        for (Map.Entry<String, String> expected : FIRST_ERRORS.entrySet()) {
            Files.writeString(file, expected.getKey());
            ValidationError error =
                    assertThrows(
                                    OperatorException.class,
                                    () -> ScriptReader.read(file),
                                    expected.getKey())
                            .errors()
                            .get(0);
            assertTrue(
                    error.toString().startsWith(file + ":" + expected.getValue()),
                    () -> expected.getKey() + "\n" + error);
        }
    }

    @Test
    void allErrorsAreReportedTogether() throws Exception {
        Path file =
                Files.writeString(
                        dir.resolve("s.conf"),
                        "settle = 25s\nfleet.zones = 4\nfaults = [ { do = cut, at = 21s } ]");
        assertEquals(
                List.of(1, 2, 3, 3),
                assertThrows(OperatorException.class, () -> ScriptReader.read(file))
                        .errors()
                        .stream()
                        .map(ValidationError::line)
                        .toList());
    }

    @Test
    void theLoadFollowsItsJumpsAndWaves() {
        Script.Load load = new Script.Load(0.5, 0.4, 8000, List.of(new Script.Jump(1000, 500, 2)));
        assertEquals(0.7, load.at(2000), 1e-9);
        assertEquals(0.3, load.at(6000), 1e-9);
        assertEquals(2, load.at(1499));
        assertEquals(2, load.peak());
    }
}
