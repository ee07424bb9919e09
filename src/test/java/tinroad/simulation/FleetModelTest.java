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

/** Tests whole gateways on virtual time, where results do not depend on the machine. */
class FleetModelTest {
    @TempDir private Path dir;

    private Report run(String script, long seed) throws Exception {
        return run(script, seed, true);
    }

    private Report run(String script, long seed, boolean restoresState) throws Exception {
        Path file = Files.writeString(dir.resolve("s.conf"), script);
        Report report =
                new Report(
                        new FleetModel(Schedule.of(ScriptReader.read(file), seed), restoresState)
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
    void theSameSeedGivesTheSameReport() throws Exception {
        String script = shipped("mass-restart") + "length = 16s";
        String first = run(script, 3).line();
        assertEquals(first, run(script, 3).line());
        assertTrue(!first.equals(run(script, 4).line()));
    }

    @Test
    void aRunWithoutFaultsServesNearlyAllRequests() throws Exception {
        Report report = run(shipped("first"), 1);
        assertTrue(report.figure("service") > 0.99, report::line);
        assertEquals(1, report.figure("tries_per_first"), 0.01);
    }

    @Test
    void serviceRecoversWithinTheBoundAfterAllGatewaysRestart() throws Exception {
        for (long seed = 1; seed <= 3; seed++) {
            Report report = run(shipped("mass-restart-all"), seed);
            assertTrue(
                    report.figure("to_full_s") <= 1.2 * report.figure("bound_s") + 0.5,
                    report::line);
        }
    }

    @Test
    void aFleetWhoseEnginesAllFailStaysRegisteredAndRecoversWithinTwoSeconds() throws Exception {
        for (long seed = 1; seed <= 3; seed++) {
            Report report = run(shipped("sick-engines"), seed);
            assertTrue(report.figure("to_full_s") < 2, report::line);
        }
    }

    /**
     * Gateways are killed again while they ramp up and the registry is down, and later the engines
     * run at half speed until the end.
     */
    @Test
    void restartsDuringRecovery() throws Exception {
        run(
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
     * State that was learned on engines at a quarter of their speed is restored with fast engines,
     * and the reverse.
     */
    @Test
    void outdatedStateIsNoWorseThanNone() throws Exception {
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
                double with = run(script, seed, true).figure("service");
                double without = run(script, seed, false).figure("service");
                assertTrue(
                        with > without - 0.02,
                        seed + ": " + with + " with state, " + without + " without");
            }
        }
    }

    @Test
    void callersThatIgnoreRetryAfterAndRetryWithoutLimit() throws Exception {
        run(
                shipped("mass-restart-all")
                        + "length = 14s, callers { heed = 0, tries = 0, walk = true }",
                1);
    }

    @Test
    void faultsThatNeedLinksAreRejectedWithAClearMessage() {
        IllegalArgumentException e =
                assertThrows(
                        IllegalArgumentException.class,
                        () ->
                                run(
                                        "faults = [ { do = cut, at = 3s, for = 1s, links = [engine]"
                                                + " } ]",
                                        1));
        assertEquals("the model has no links and no processes: it can't play cut", e.getMessage());
    }
}
