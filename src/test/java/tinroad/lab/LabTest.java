package tinroad.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import tinroad.Program;
import tinroad.lab.fake.LabContext.Mutant;
import tinroad.lab.schedule.Schedule;
import tinroad.lab.script.ScriptReader;
import tinroad.lab.verification.HistoryChecker;
import tinroad.lab.verification.HistoryChecker.Rule;
import tinroad.lab.verification.RunHistory;

/** Real processes with faults between them: the rules only, no figure that hangs on the clock. */
@Timeout(240)
class LabTest {
    @TempDir private Path dir;
    private RunHistory ledger;

    private Report play(String script, long seed, Mutant mutant) throws Exception {
        Path file = Files.writeString(dir.resolve("s.conf"), script);
        try (Lab lab =
                new Lab(
                        Schedule.of(ScriptReader.read(file), seed),
                        new Lab.Options(
                                Program.CLASS_PATH, dir.resolve("run"), null, null, mutant))) {
            Lab.RunOutcome outcome = lab.play();
            ledger = outcome.ledger();
            Report report = new Report(outcome);
            report.write(dir.resolve("out"));
            return report;
        }
    }

    private static String told(Report report) {
        return report.fates()
                + "\n"
                + report.broken().stream()
                        .limit(3)
                        .map(
                                b ->
                                        b.rule()
                                                + ": "
                                                + b.description()
                                                + "\n"
                                                + String.join("\n", b.trace()))
                        .collect(Collectors.joining("\n"));
    }

    private Report kept(String script) throws Exception {
        Report report = play(script, 1, Mutant.NONE);
        assertEquals(List.of(), report.broken(), () -> told(report));
        HistoryChecker.OutcomeCounts f = report.fates();
        assertTrue(
                f.served() > 0 && f.asked() == f.served() + f.refused() + f.failed(), f::toString);
        return report;
    }

    @Test
    void calm() throws Exception {
        Report report =
                kept(
                        "include \""
                                + Path.of("lab/first.conf").toAbsolutePath()
                                + "\"\nlength = 5s, settle = 2s");
        for (String name :
                List.of(
                        "result.jsonl",
                        "windows.jsonl",
                        "faults.jsonl",
                        "broken.txt",
                        "service.svg",
                        "service.png",
                        "tries.svg")) {
            assertTrue(Files.exists(dir.resolve("out").resolve(name)), name);
        }
        assertEquals(50, Files.readAllLines(dir.resolve("out/windows.jsonl")).size());
        assertTrue(report.line().contains("\"lost\":0"), report.line());
    }

    @Test
    void mostAreKilledAtOnceWhileTheRosterIsDown() throws Exception {
        kept(
                """
                length = 12s, settle = 2s, fleet { gateways = 4, zones = 2 }
                faults = [ { do = kill, at = 3s, share = 0.75, back-least = 1s, back-most = 2s }
                  { do = roster-down, at = 2s, for = 5s } ]
                """);
    }

    @Test
    void aZoneIsCutOffBothWaysAndThenOneWay() throws Exception {
        kept(
                """
                length = 10s, settle = 2s, fleet { gateways = 4, zones = 2 }
                faults = [ { do = cut, at = 3s, for = 2s, zone = 0, links = [callers, checks, engine, roster] }
                  { do = cut, at = 6s, for = 2s, zone = 1, way = out, links = [callers, checks, engine, roster] } ]
                """);
    }

    /**
     * In this order: an answer, a record and a notice of the engine are cut in their middle; a
     * gateway is killed between RUN and DONE; one stands still for 2 s; one does not end on notice,
     * as it stands still; two have one name.
     */
    @Test
    void hardCases() throws Exception {
        kept(
                """
                length = 16s, settle = 2s, load.level = 0.5
                fleet { gateways = 6, zones = 2, same-name = [5] }
                classes = [ { name = order-status, part = 0.8, work = 60ms, objective = 1500ms, deadline = 3700ms }
                  { name = new-order, part = 0.2, work = 150ms, objective = 2500ms, deadline = 6s, gain = 3, free = false } ]
                faults = [
                  { do = half, at = 3s, for = 1s, way = out, gateways = [0], links = [callers] }
                  { do = half, at = 3s, for = 1s, way = in, gateways = [1], links = [callers] }
                  { do = half, at = 4s, for = 1s, gateways = [2], links = [engine] }
                  { do = engine-pause, at = 4200ms, for = 1s, gateways = [3] }
                  { do = kill-gateway, at = 5s, gateways = [3], back-least = 300ms, back-most = 300ms, folder = keep }
                  { do = stop, at = 6s, for = 2s, gateways = [4] }
                  { do = stop, at = 8s, for = 6s, gateways = [1] }
                  { do = notice, at = 8500ms, gateways = [1], back-least = 300ms, back-most = 300ms, folder = old }
                  { do = cut, at = 9s, for = 1s, way = out, gateways = [0], links = [callers] }
                  { do = engine-crash, at = 10s, gateways = [2], back-least = 500ms, back-most = 500ms }
                  { do = engine-move, at = 10s, gateways = [0, 3], missed = 0.5 }
                  { do = throttle, at = 11s, for = 1s, gateways = [4], links = [callers], rate = 3000 }
                  { do = reset, at = 12s, for = 300ms, gateways = [4], links = [callers, engine] }
                  { do = mute, at = 12s, for = 1s, gateways = [2], links = [checks] }
                  { do = lose, at = 4s, for = 8s, links = [roster], chance = 0.3 }
                  { do = repeat, at = 4s, for = 8s, links = [roster], chance = 0.3 }
                ]
                """);
        // What was to happen did happen.
        assertEquals(6 + 2, ledger.incarnations.size());
        assertEquals(List.of(128 + 9, 128 + 15), exits(1));
        assertEquals(List.of(128 + 9, 128 + 15), exits(3));
        assertTrue(
                ledger.events.stream()
                        .anyMatch(e -> e.what().equals("did not end on notice: killed")));
        assertEquals(
                1,
                ledger.events.stream()
                        .filter(e -> e.what().contains("changed without a reload signal"))
                        .count());
        assertTrue(
                ledger.tries.stream()
                        .anyMatch(
                                t ->
                                        t.gateway == 3
                                                && t.runs == 1
                                                && t.answers == 0
                                                && t.ranAt < t.brokenAt));
    }

    private List<Integer> exits(int gateway) {
        return ledger.incarnations.stream()
                .filter(l -> l.gateway == gateway)
                .map(l -> l.exit)
                .toList();
    }

    private void caught(Mutant mutant, Rule rule, String words, String script) throws Exception {
        Report report = play(script, 1, mutant);
        assertTrue(
                report.broken().stream()
                        .anyMatch(b -> b.rule() == rule && b.description().contains(words)),
                () -> told(report));
    }

    @Test
    void anEngineThatRunsTwiceIsCaughtAndNamed() throws Exception {
        caught(
                Mutant.ENGINE_RUNS_TWICE,
                Rule.TWICE,
                "its id ran 2 times",
                "length = 4s, settle = 1s, fleet.gateways = 2");
    }

    @Test
    void aCallerThatRepeatsAnOrderWithoutProofIsCaughtAndNamed() throws Exception {
        caught(
                Mutant.CALLER_REPEATS_UNPROVEN,
                Rule.TWICE,
                "may run once only",
                """
                length = 7s, settle = 1s, fleet.gateways = 3, load.level = 0.8
                faults = [ { do = kill-gateway, at = 2s, gateways = [0], back-least = 500ms, back-most = 500ms }
                  { do = reset, at = 3s, for = 10ms, links = [callers] }
                  { do = reset, at = 3500ms, for = 10ms, links = [callers] }
                  { do = reset, at = 4s, for = 10ms, links = [callers] }
                  { do = reset, at = 4500ms, for = 10ms, links = [callers] }
                  { do = reset, at = 5s, for = 10ms, links = [callers] }
                  { do = reset, at = 6s, for = 10ms, links = [callers] } ]
                """);
    }

    @Test
    void aRelayThatChangesAByteIsCaughtAndNamed() throws Exception {
        caught(
                Mutant.RELAY_CHANGES_A_BYTE,
                Rule.STRANGE,
                "with another class or body",
                "length = 4s, settle = 1s, fleet.gateways = 2");
    }

    @Test
    void noGatewayOutlivesALabThatIsKilled() throws Exception {
        Path out = dir.resolve("killed");
        Process lab =
                new ProcessBuilder(
                                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                                "-cp",
                                Program.CLASS_PATH,
                                "tinroad.cli.Main",
                                "lab",
                                "run",
                                "first",
                                "--jar",
                                Program.CLASS_PATH,
                                "--out",
                                out.toString())
                        .redirectErrorStream(true)
                        .start();
        try {
            while (gateways(out) < 3) {
                assertTrue(lab.isAlive(), () -> "the lab ended: " + said(lab));
                Thread.sleep(20);
            }
        } finally {
            lab.destroyForcibly();
        }
        while (gateways(out) > 0) {
            Thread.sleep(20);
        }
    }

    private static String said(Process lab) {
        try {
            return new String(lab.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException e) {
            return e.toString();
        }
    }

    private static long gateways(Path out) {
        return ProcessHandle.allProcesses()
                .map(p -> commandLine(p.pid()))
                .filter(c -> c.contains("serve\0--config\0" + out) && !c.startsWith("sh\0"))
                .count();
    }

    /** Whole, as the virtual machine tells only the first 4 KiB of it. */
    private static String commandLine(long pid) {
        try {
            return Files.readString(
                    Path.of("/proc", Long.toString(pid), "cmdline"), StandardCharsets.ISO_8859_1);
        } catch (IOException e) {
            return "";
        }
    }
}
