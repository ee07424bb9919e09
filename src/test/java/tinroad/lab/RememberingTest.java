package tinroad.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import tinroad.Program;
import tinroad.lab.fake.LabContext.Mutant;
import tinroad.lab.schedule.Schedule;
import tinroad.lab.script.ScriptReader;

/** Real processes whose state lasts, is lost, and is rolled back under them. */
@Timeout(240)
class RememberingTest {
    @TempDir private Path dir;

    private List<String> lives(int gateway) throws Exception {
        return Files.readAllLines(dir.resolve("run/g" + gateway + "/log")).stream()
                .filter(l -> l.contains(" state - ") && !l.contains("can't be saved in time"))
                .map(
                        l ->
                                l.replaceFirst(".* state - ", "")
                                        .replaceFirst("saved \\d+ s ago", "saved N s ago")
                                        .replaceFirst("state-\\d+-\\d+", "FILE"))
                .toList();
    }

    /**
     * Five that speak with each other: one is killed and comes back in a later life, one stands
     * still, one leaves on notice.
     */
    @Test
    void gatewaysThatSpeakWithEachOtherHearWhoIsBack() throws Exception {
        Path script =
                Files.writeString(
                        dir.resolve("s.conf"),
                        """
                        length = 30s, settle = 1s, fleet { gateways = 5, zones = 2 }, load.level = 0.4
                        faults = [ { do = kill, at = 3s, gateways = [2], back-least = 500ms, back-most = 500ms, folder = keep }
                          { do = stop, at = 4s, gateways = [3], for = 1500ms }
                          { do = notice, at = 5s, gateways = [4], back-least = 500ms, back-most = 500ms, folder = keep } ]
                        """);
        Path operator =
                Files.writeString(
                        dir.resolve("o.conf"),
                        "state { folder = tmp/state, every = 100ms }\n"
                            + "fleet { listen = \"@HOST@:7001\", seeds = [\"@FIRST@:7001\","
                            + " \"@SECOND@:7001\"], zone = \"@ZONE@\", key-file = \"@KEYS@\" }\n");
        try (Lab lab =
                new Lab(
                        Schedule.of(ScriptReader.read(script), 1),
                        new Lab.Options(
                                Program.CLASS_PATH,
                                dir.resolve("run"),
                                operator,
                                null,
                                Mutant.NONE))) {
            Report report = new Report(lab.play());
            assertEquals(
                    List.of(),
                    report.broken().stream().map(b -> b.rule() + ": " + b.description()).toList());
        }
        for (int g = 0; g < 2; g++) {
            String log = Files.readString(dir.resolve("run/g" + g + "/log"));
            for (int other = 0; other < 5; other++) {
                assertTrue(
                        other == g || log.contains("fleet - g" + other + " joined, incarnation 1"),
                        log);
            }
            assertTrue(
                    log.contains("fleet - g2 rejoined, incarnation 2")
                            && log.contains("fleet - g4 left, reported by g4")
                            && log.contains("fleet - g4 rejoined, incarnation 2"),
                    log);
            assertTrue(!log.contains("g3 is dead"), log);
        }
    }

    /**
     * Gateway 0 keeps its folder, then finds an older copy of it; gateway 1 loses it; gateway 2 is
     * only paused.
     */
    @Test
    void whatLastsIsBelievedAndWhatWasRolledBackOrLostIsNot() throws Exception {
        Path script =
                Files.writeString(
                        dir.resolve("s.conf"),
                        """
                        length = 15s, settle = 1s, fleet { gateways = 3 }, load.level = 0.4
                        faults = [ { do = kill, at = 3s, gateways = [0, 1], back-least = 200ms, back-most = 300ms, folder = keep }
                          { do = stop, at = 4s, gateways = [2], for = 2s }
                          { do = kill-gateway, at = 8s, gateways = [0], back-least = 200ms, back-most = 300ms, folder = old }
                          { do = kill-gateway, at = 8s, gateways = [1], back-least = 200ms, back-most = 300ms, folder = lose } ]
                        """);
        Path operator =
                Files.writeString(
                        dir.resolve("o.conf"),
                        "state { folder = tmp/state, fence = fence, every = 100ms }");
        try (Lab lab =
                new Lab(
                        Schedule.of(ScriptReader.read(script), 1),
                        new Lab.Options(
                                Program.CLASS_PATH,
                                dir.resolve("run"),
                                operator,
                                null,
                                Mutant.NONE))) {
            Report report = new Report(lab.play());
            assertEquals(
                    List.of(),
                    report.broken().stream().map(b -> b.rule() + ": " + b.description()).toList());
        }
        assertEquals("incarnation 1 started without stored state", lives(0).get(0));
        assertEquals("incarnation 2 started from incarnation 1, saved N s ago", lives(0).get(1));
        List<String> rolledBack = lives(0).subList(2, lives(0).size());
        assertTrue(
                rolledBack.stream()
                                .allMatch(
                                        l ->
                                                l.startsWith(
                                                                "snapshot rejected: FILE: rolled"
                                                                    + " back: of life 1, and there"
                                                                    + " was life 2")
                                                        || l.equals(
                                                                "incarnation 3 started cold: no"
                                                                    + " stored state was accepted"
                                                                    + " as valid"))
                        && rolledBack.size() >= 2,
                rolledBack::toString);
        assertEquals(
                List.of(
                        "incarnation 1 started without stored state",
                        "incarnation 2 started from incarnation 1, saved N s ago",
                        "incarnation 3 started cold: no stored state was accepted as valid"),
                lives(1));
        assertEquals(List.of("incarnation 1 started without stored state"), lives(2));
    }
}
