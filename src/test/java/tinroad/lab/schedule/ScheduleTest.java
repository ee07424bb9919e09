package tinroad.lab.schedule;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import tinroad.lab.script.Script;
import tinroad.lab.script.ScriptReader;

/** Schedules drawn from a script and a seed. */
class ScheduleTest {
    @TempDir private Path dir;

    private Script script(String text) throws Exception {
        return ScriptReader.read(Files.writeString(dir.resolve("s.conf"), text));
    }

    @Test
    void theSameScriptAndSeedGiveTheSameScheduleAndAnotherSeedADifferentOne() throws Exception {
        Script s = ScriptReader.read(Path.of("lab/mass-restart.conf"));
        assertEquals(Schedule.of(s, 3).digest(), Schedule.of(s, 3).digest());
        assertEquals(Schedule.of(s, 3).requests(), Schedule.of(s, 3).requests());
        assertEquals(Schedule.of(s, 3).faultEvents(), Schedule.of(s, 3).faultEvents());
        assertNotEquals(Schedule.of(s, 3).digest(), Schedule.of(s, 4).digest());
    }

    @Test
    void anAddedFaultDoesNotChangeTheRequests() throws Exception {
        List<PlannedRequest> before = Schedule.of(script("length = 20s"), 5).requests();
        assertEquals(
                before, Schedule.of(script("faults = [ { do = kill, at = 8s } ]"), 5).requests());
    }

    @Test
    void theLoadIsTheConfiguredShareOfTheCores() throws Exception {
        Schedule schedule =
                Schedule.of(
                        script(
                                "length = 60s, load { level = 0.5, jumps = [ { at = 20s, for = 10s,"
                                        + " level = 1.5 } ] }"),
                        1);
        double regularWork =
                schedule.requests().stream()
                        .filter(r -> r.at() < 20_000)
                        .mapToDouble(PlannedRequest::work)
                        .sum();
        double jumpWork =
                schedule.requests().stream()
                        .filter(r -> r.at() >= 20_000 && r.at() < 30_000)
                        .mapToDouble(PlannedRequest::work)
                        .sum();
        // Reading a request costs a quarter of a run, and is part of the load.
        assertEquals(0.5, 1.25 * regularWork / 20_000 / 6, 0.04);
        assertEquals(1.5, 1.25 * jumpWork / 10_000 / 6, 0.09);
        assertEquals(
                0.2,
                (double) schedule.requests().stream().filter(r -> r.kind() == 1).count()
                        / schedule.requests().size(),
                0.03);
    }

    @Test
    void membersAndSubjectsFollowTheirZipfLaws() throws Exception {
        List<PlannedRequest> all =
                Schedule.of(
                                script(
                                        "length = 60s, members { count = 4, skew = 1 }, subjects {"
                                                + " count = 100, skew = 0 }"),
                                1)
                        .requests();
        // By the harmonic numbers, 12 of 25 requests are of the first member.
        assertEquals(
                0.48,
                (double) all.stream().filter(r -> r.member() == 0).count() / all.size(),
                0.03);
        assertEquals(
                0.12,
                (double) all.stream().filter(r -> r.member() == 3).count() / all.size(),
                0.02);
        assertTrue(all.stream().mapToInt(PlannedRequest::subject).distinct().count() > 95);
    }

    @Test
    void faultsAffectTheConfiguredShareOfTheirZone() throws Exception {
        Schedule schedule =
                Schedule.of(
                        script(
                                "fleet { gateways = 20, zones = 4 }\n"
                                    + "faults = [\n"
                                    + "{ do = kill, at = 5s, within = 1s, share = 0.7, back-least ="
                                    + " 3s, back-most = 8s }\n"
                                    + "{ do = stop, at = 9s, for = 2s, zone = 3, share = 0.4 }\n"
                                    + "{ do = engine-move, at = 12s, gateways = [1, 2, 3], missed ="
                                    + " 0.34 }\n"
                                    + "{ do = roster-down, at = 1s, for = 15s } ]"),
                        2);
        List<FaultEvent> killed =
                schedule.faultEvents().stream().filter(e -> e.faultNumber() == 0).toList();
        assertEquals(14, killed.size());
        Set<Integer> targets = new HashSet<>();
        killed.forEach(
                e -> {
                    assertTrue(
                            targets.add(e.gateway())
                                    && e.at() >= 5000
                                    && e.at() <= 6000
                                    && e.awayMillis() >= 3000
                                    && e.awayMillis() <= 8000,
                            e::toString);
                });
        List<FaultEvent> stopped =
                schedule.faultEvents().stream().filter(e -> e.faultNumber() == 1).toList();
        assertEquals(2, stopped.size());
        stopped.forEach(
                e ->
                        assertTrue(
                                schedule.zone(e.gateway()) == 3 && e.until() == 11_000,
                                e::toString));
        assertEquals(
                1,
                schedule.faultEvents().stream()
                        .filter(e -> e.faultNumber() == 2 && !e.notified())
                        .count());
        assertEquals(
                new FaultEvent(1000, 16_000, -1, 0, true, 3, schedule.script().faults().get(3)),
                schedule.faultEvents().get(0));
        assertEquals(1000, schedule.firstFault());
    }
}
