package tinroad.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import tinroad.lab.Report;
import tinroad.lab.schedule.Schedule;
import tinroad.lab.script.ScriptReader;

/** Whole gateways on virtual time: figures may be asserted here, as they hang on no machine. */
class FleetModelTest {
    @TempDir private Path dir;

    private Report play(String script, long seed) throws Exception {
        return play(script, seed, true);
    }

    private Report play(String script, long seed, boolean remembers) throws Exception {
        Path file = Files.writeString(dir.resolve("s.conf"), script);
        Report report =
                new Report(
                        new FleetModel(Schedule.of(ScriptReader.read(file), seed), remembers)
                                .play());
        assertEquals(
                List.of(),
                report.broken().stream().limit(3).toList(),
                () -> report.fates().toString());
        return report;
    }

    private static String shipped(String name) {
        return "include \"" + Path.of("lab/" + name + ".conf").toAbsolutePath() + "\"\n";
    }

    @Test
    void theSameSeedIsTheSameDayToTheByte() throws Exception {
        String script = shipped("mass-restart") + "length = 16s";
        String first = play(script, 3).line();
        assertEquals(first, play(script, 3).line());
        assertTrue(!first.equals(play(script, 4).line()));
    }

    @Test
    void aCalmDayServesAll() throws Exception {
        Report report = play(shipped("first"), 1);
        assertTrue(report.figure("service") > 0.99, report::line);
        assertEquals(1, report.figure("tries_per_first"), 0.01);
    }

    @Test
    void afterAllRestartedServiceIsBackSoonAfterTheEnginesCouldDoIt() throws Exception {
        for (long seed = 1; seed <= 3; seed++) {
            Report report = play(shipped("mass-restart-all"), seed);
            assertTrue(
                    report.figure("to_full_s") <= 1.2 * report.figure("bound_s") + 0.5,
                    report::line);
        }
    }

    @Test
    void aFleetWhoseEnginesAllFailStaysOnTheListAndIsBackWithinTwoSeconds() throws Exception {
        for (long seed = 1; seed <= 3; seed++) {
            Report report = play(shipped("sick-engines"), seed);
            assertTrue(report.figure("to_full_s") < 2, report::line);
        }
    }

    /**
     * In this order: killed again while ramping, the roster down meanwhile, and engines at half
     * speed for good.
     */
    @Test
    void restartsInTheMiddleOfComingBack() throws Exception {
        play(
                """
                length = 24s, settle = 3s, fleet { gateways = 8, zones = 2 }, engine.cold = 0.2
                faults = [ { do = kill, at = 4s, share = 0.75, back-least = 1s, back-most = 3s }
                  { do = kill, at = 9s, back-least = 500ms, back-most = 2s }
                  { do = roster-down, at = 8s, for = 4s }
                  { do = notice, at = 14s, share = 0.5, back-least = 500ms, back-most = 1s }
                  { do = engine-slow, at = 18s, for = 6s, factor = 0.5 } ]
                """,
                1);
    }

    /**
     * What was learned on engines at a quarter of their speed, used on fast ones, and the other
     * way.
     */
    @Test
    void theStateOfAnotherDayIsNoWorseThanNone() throws Exception {
        String slowThenFast =
                """
                length = 22s, settle = 3s, fleet { gateways = 6, zones = 2 }, load.level = 0.2
                faults = [ { do = engine-slow, at = 4s, for = 6s, factor = 0.25 }
                  { do = kill-gateway, at = 9500ms, back-least = 500ms, back-most = 1s, folder = keep } ]
                """;
        String fastThenSlow =
                """
                length = 22s, settle = 3s, fleet { gateways = 6, zones = 2 }, load.level = 0.2
                faults = [ { do = kill-gateway, at = 9500ms, back-least = 500ms, back-most = 1s, folder = keep }
                  { do = engine-slow, at = 9600ms, for = 8s, factor = 0.25 } ]
                """;
        for (String script : List.of(slowThenFast, fastThenSlow)) {
            for (long seed = 1; seed <= 3; seed++) {
                double with = play(script, seed, true).figure("service");
                double without = play(script, seed, false).figure("service");
                assertTrue(
                        with > without - 0.02,
                        seed + ": " + with + " with state, " + without + " without");
            }
        }
    }

    @Test
    void callersThatHeedNothingAndTryWithoutLimit() throws Exception {
        play(
                shipped("mass-restart-all")
                        + "length = 14s, callers { heed = 0, tries = 0, walk = true }",
                1);
    }

    @Test
    void whatNeedsLinksIsRefusedInWords() {
        IllegalArgumentException e =
                assertThrows(
                        IllegalArgumentException.class,
                        () ->
                                play(
                                        "faults = [ { do = cut, at = 3s, for = 1s, links = [engine]"
                                                + " } ]",
                                        1));
        assertEquals("the model has no links and no processes: it can't play cut", e.getMessage());
    }
}
