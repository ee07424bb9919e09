package tinroad.handover;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import tinroad.core.Engine;
import tinroad.core.GatewayHarness;
import tinroad.core.GatewayHarness.ResponseRecorder;
import tinroad.core.IncomingRequest;

/** Tests gateways that share their claims: of all attempts of one keyed request one runs. */
class RunsOnceAcrossProcessesTest {
    private static final String KEY = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211";

    /** One process of the gateway. */
    private static final class GatewayProcess implements AutoCloseable {
        final GatewayHarness harness = GatewayHarness.keyed();
        final HandoverClaims claims;

        GatewayProcess(Path directory, double nowMillis) {
            harness.now = nowMillis;
            claims =
                    HandoverClaims.open(
                            directory.toString(), "n3", new ProcessStart((long) nowMillis, false));
            harness.gateway.shareRunClaims(claims);
            harness.controller.onRequest =
                    request -> {
                        if (request.duplicateOf() != null) {
                            harness.controller.actions.replayResult(request.id());
                        } else {
                            harness.controller.actions.run(request.id());
                        }
                    };
        }

        void send(String id, String key, double arrivedAtMillis, ResponseRecorder recorder) {
            harness.gateway.handle(
                    new IncomingRequest(
                            id,
                            arrivedAtMillis,
                            "pay",
                            "acme",
                            4,
                            20,
                            0.5,
                            null,
                            key,
                            Double.NaN,
                            false,
                            bytes("body")),
                    recorder);
        }

        void end(String id, Engine.RunOutcome outcome, String result) {
            harness.gateway.onRunEnded(id, outcome, 5, bytes(result));
        }

        @Override
        public void close() {
            claims.close();
        }
    }

    private static ByteBuf bytes(String text) {
        return Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1);
    }

    private static String id(int n) {
        return String.format("%016x", n);
    }

    private final ResponseRecorder first = new ResponseRecorder();
    private final ResponseRecorder second = new ResponseRecorder();

    @Test
    void attemptWaitsForTheRunOfTheOtherProcessAndGetsItsResult(@TempDir Path directory) {
        try (GatewayProcess older = new GatewayProcess(directory, 1_000_000);
                GatewayProcess newer = new GatewayProcess(directory, 1_000_000)) {
            older.send(id(1), KEY, 1_000_000, first);
            newer.send(id(2), KEY, 1_000_000, second);
            newer.harness.advance(100);
            assertEquals(List.of(), second.responses);
            older.end(id(1), Engine.RunOutcome.DONE, "paid");
            newer.harness.advance(100);
            assertEquals(List.of("SERVED RAN paid"), first.responses);
            assertEquals(List.of("SERVED RAN paid"), second.responses);
            assertEquals(List.of(), newer.harness.runs);
        }
    }

    @Test
    void ofTwoAttemptsHeldInTwoProcessesOneRunsAndTheOtherIsNotRejected(@TempDir Path directory) {
        try (GatewayProcess older = new GatewayProcess(directory, 1_000_000);
                GatewayProcess newer = new GatewayProcess(directory, 1_000_000)) {
            newer.harness.controller.onRequest = request -> {};
            newer.send(id(2), KEY, 1_000_000, second);
            older.send(id(1), KEY, 1_000_000, first);
            newer.harness.controller.actions.run(id(2));
            assertEquals(List.of("FAILED NOT_SENT"), second.responses);
            assertEquals(List.of(), newer.harness.runs);
            newer.send(id(3), KEY, 1_000_000, second);
            newer.harness.controller.actions.reject(id(3), 0, false);
            assertEquals("FAILED NOT_SENT", second.responses.get(1));
        }
    }

    @Test
    void attemptWithAnotherBodyOrAfterARunThatTheEngineRejected(@TempDir Path directory) {
        try (GatewayProcess older = new GatewayProcess(directory, 1_000_000);
                GatewayProcess newer = new GatewayProcess(directory, 1_000_000)) {
            older.send(id(1), KEY, 1_000_000, first);
            newer.harness.gateway.handle(
                    new IncomingRequest(
                            id(2),
                            1_000_000,
                            "pay",
                            "acme",
                            4,
                            20,
                            0.5,
                            null,
                            KEY,
                            Double.NaN,
                            false,
                            bytes("other body")),
                    second);
            assertEquals(List.of("INVALID NOT_SENT"), second.responses);
            older.send(id(3), "a1", 1_000_000, first);
            older.end(id(3), Engine.RunOutcome.REJECTED, "");
            newer.send(id(4), "a1", 1_000_000, second);
            assertEquals(1, newer.harness.runs.size());
        }
    }

    /** Random attempts, ends of runs and replacements of processes, one seed for each try. */
    @Property(seed = "20261204", tries = 150)
    void noRequestRunsTwiceWithinItsWindow(@ForAll int seed) throws IOException {
        Path directory = Files.createTempDirectory("claims");
        Random random = new Random(seed);
        Map<String, List<Double>> runArrivals = new HashMap<>();
        List<GatewayProcess> processes = new ArrayList<>();
        List<List<String>> running = new ArrayList<>();
        double now = 1_000_000;
        int next = 0;
        // In one virtual machine the first object holds the membership for all of them.
        try (HandoverClaims membership =
                HandoverClaims.open(
                        directory.toString(), "n3", new ProcessStart((long) now, false))) {
            membership.heartbeat(now);
            for (int step = 0; step < 200; step++) {
                now += random.nextInt(200);
                if (processes.size() < 2 && (processes.isEmpty() || random.nextInt(20) == 0)) {
                    processes.add(new GatewayProcess(directory, now));
                    running.add(new ArrayList<>());
                }
                for (GatewayProcess process : processes) {
                    process.harness.advance(now - process.harness.now);
                }
                int chosen = random.nextInt(processes.size());
                GatewayProcess process = processes.get(chosen);
                switch (random.nextInt(4)) {
                    case 0, 1 -> {
                        String id = id(++next);
                        String key = "a" + random.nextInt(3);
                        double arrivedAtMillis = now - random.nextInt(500);
                        int runsBefore = process.harness.runs.size();
                        process.send(id, key, arrivedAtMillis, new ResponseRecorder());
                        if (process.harness.runs.size() > runsBefore) {
                            running.get(chosen).add(id);
                            List<Double> earlier =
                                    runArrivals.computeIfAbsent(key, k -> new ArrayList<>());
                            for (double ran : earlier) {
                                assertTrue(
                                        arrivedAtMillis > ran + GatewayHarness.KEY_WINDOW_MILLIS,
                                        "ran twice: " + key + " in step " + step);
                            }
                            earlier.add(arrivedAtMillis);
                        }
                    }
                    case 2 -> {
                        if (!running.get(chosen).isEmpty()) {
                            process.end(
                                    running.get(chosen).remove(0),
                                    random.nextInt(5) == 0
                                            ? Engine.RunOutcome.CRASHED
                                            : Engine.RunOutcome.DONE,
                                    "result");
                        }
                    }
                    default -> {
                        if (processes.size() == 2 && random.nextInt(10) == 0) {
                            // The older process ends, perhaps with runs that nobody will report.
                            processes.remove(0).close();
                            running.remove(0);
                        }
                    }
                }
            }
            assertTrue(runArrivals.size() == 3, "all keys ran");
        } finally {
            processes.forEach(GatewayProcess::close);
            Files.deleteIfExists(directory.resolve("tinroad-n3.claims"));
            Files.delete(directory);
        }
    }
}
