package tinroad.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.lifecycle.BeforeTry;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import tinroad.overload.Controller.Request;

/**
 * Tests keyed classes: of all attempts of one request one runs, and each gets that request's answer
 * or none.
 */
class IdempotencyKeyTest {
    private static final String KEY = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211";
    private static final double AFTER_WINDOW_MILLIS =
            GatewayHarness.KEY_WINDOW_MILLIS + IdempotencyTable.WINDOW_MARGIN_MILLIS + 1;

    private GatewayHarness harness;
    private final GatewayHarness.ResponseRecorder first = new GatewayHarness.ResponseRecorder();
    private final GatewayHarness.ResponseRecorder second = new GatewayHarness.ResponseRecorder();

    @BeforeEach
    @BeforeTry
    void start() {
        harness = GatewayHarness.keyed();
        harness.controller.onRequest = this::runOnceAsTheControllerDoes;
    }

    private void runOnceAsTheControllerDoes(Request r) {
        if (r.duplicateOf() != null) {
            harness.controller.actions.replayResult(r.id());
        } else {
            harness.controller.actions.retainKey(r.id(), GatewayHarness.KEY_WINDOW_MILLIS);
            harness.controller.actions.run(r.id());
        }
    }

    private static String id(int n) {
        return String.format("%016x", n);
    }

    private static ByteBuf bytes(String text) {
        return Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1);
    }

    private void send(
            int n,
            String idempotencyKey,
            double arrivedAtMillis,
            String body,
            ResponseSink responseSink) {
        harness.gateway.handle(
                new IncomingRequest(
                        id(n),
                        arrivedAtMillis,
                        "pay",
                        "acme",
                        4,
                        20,
                        0.5,
                        null,
                        idempotencyKey,
                        Double.NaN,
                        n > 1,
                        bytes(body)),
                responseSink);
    }

    private void send(int n, ResponseSink responseSink) {
        send(n, KEY, harness.now, "body", responseSink);
    }

    private void endRun(int n, Engine.RunOutcome outcome, String result) {
        harness.gateway.onRunEnded(id(n), outcome, 5, bytes(result));
    }

    private void serveFirst() {
        send(1, first);
        endRun(1, Engine.RunOutcome.DONE, "paid");
    }

    @Test
    void replaysResultToDuplicateOfRunningRequest() {
        send(1, first);
        send(2, second);
        assertEquals(1, harness.runs.size());
        endRun(1, Engine.RunOutcome.DONE, "paid");
        assertEquals(List.of("SERVED RAN paid"), first.responses);
        assertEquals(List.of("SERVED RAN paid"), second.responses);
    }

    @Test
    void answersOnceAndNeverRunsDuplicateSentWhileTheOriginalEnds() {
        send(1, first);
        // While the answer is being sent, the client sends a duplicate from within the call.
        ResponseSink again = answer -> send(2, second);
        harness.gateway.handle(
                new IncomingRequest(
                        id(3),
                        harness.now,
                        "pay",
                        "acme",
                        4,
                        20,
                        0.5,
                        null,
                        KEY,
                        Double.NaN,
                        true,
                        bytes("body")),
                again);
        endRun(1, Engine.RunOutcome.DONE, "paid");
        assertEquals(1, harness.runs.size());
        assertEquals(List.of("SERVED RAN paid"), second.responses);
    }

    @Test
    void replaysUntilTheEndOfTheWindowAndRunsAfterIt() {
        serveFirst();
        harness.advance(GatewayHarness.KEY_WINDOW_MILLIS);
        send(2, second);
        assertEquals(List.of("SERVED RAN paid"), second.responses);
        assertEquals(1, harness.runs.size());
        harness.advance(AFTER_WINDOW_MILLIS - GatewayHarness.KEY_WINDOW_MILLIS);
        send(3, new GatewayHarness.ResponseRecorder());
        assertEquals(2, harness.runs.size());
    }

    @Test
    void neverRunsDuplicateWrittenWithinTheWindowAndReadAfterIt() {
        serveFirst();
        harness.advance(AFTER_WINDOW_MILLIS + 500);
        send(2, KEY, harness.now - 600, "body", second);
        assertEquals(1, harness.runs.size());
        assertEquals(List.of("SERVED RAN paid"), second.responses);
    }

    @Test
    void countsWindowFromStatedArrivalEvenWithAClientClockAhead() {
        send(1, KEY, harness.now + 1500, "body", first);
        endRun(1, Engine.RunOutcome.DONE, "paid");
        harness.advance(AFTER_WINDOW_MILLIS);
        send(2, second);
        assertEquals(1, harness.runs.size());
        assertEquals(List.of("SERVED RAN paid"), second.responses);
    }

    @Test
    void answersInvalidToKeyOfAnotherBody() {
        serveFirst();
        send(2, KEY, harness.now, "other body", second);
        assertEquals(List.of("INVALID NOT_SENT"), second.responses);
        assertEquals(1, harness.runs.size());
    }

    @Test
    void runsNothingWithoutAKey() {
        send(1, null, harness.now, "body", first);
        assertEquals(List.of("INVALID NOT_SENT"), first.responses);
        assertTrue(harness.runs.isEmpty());
    }

    @Test
    void failsDuplicatesOfFailedRunWithoutARun() {
        send(1, first);
        send(2, second);
        endRun(1, Engine.RunOutcome.CRASHED, "");
        GatewayHarness.ResponseRecorder third = new GatewayHarness.ResponseRecorder();
        send(3, third);
        assertEquals(List.of("FAILED RAN"), first.responses);
        assertEquals(List.of("FAILED NOT_SENT"), second.responses);
        assertEquals(List.of("FAILED NOT_SENT"), third.responses);
        assertEquals(1, harness.runs.size());
    }

    @Test
    void runsNextAttemptOfRejectedRequest() {
        harness.controller.onRequest =
                r -> {
                    harness.controller.actions.retainKey(r.id(), GatewayHarness.KEY_WINDOW_MILLIS);
                    harness.controller.actions.reject(r.id(), 0, false);
                };
        send(1, first);
        assertEquals(List.of("REJECTED NOT_SENT"), first.responses);
        harness.controller.onRequest = this::runOnceAsTheControllerDoes;
        send(2, second);
        assertNull(harness.controller.lastRequest.duplicateOf());
        assertEquals(1, harness.runs.size());
    }

    @Test
    void runsNextAttemptOfRunThatTheEngineRejected() {
        send(1, first);
        endRun(1, Engine.RunOutcome.REJECTED, "");
        send(2, second);
        assertEquals(2, harness.runs.size());
    }

    @Test
    void answersWaitingDuplicateAfterTheOriginalsClientDisconnected() {
        send(1, first);
        send(2, second);
        harness.gateway.cancel(id(1), first);
        harness.advance(100);
        endRun(1, Engine.RunOutcome.DONE, "paid");
        assertEquals(List.of("SERVED RAN paid"), second.responses);
    }

    @Test
    void cancelledDuplicateLeavesTheRunUndisturbed() {
        send(1, first);
        send(2, second);
        harness.gateway.cancel(id(2), second);
        endRun(1, Engine.RunOutcome.DONE, "paid");
        assertEquals(List.of("SERVED RAN paid"), first.responses);
        assertEquals(List.of("FAILED NOT_SENT"), second.responses);
    }

    @Test
    void rejectsNoAttemptOnceOneWasSentToRun() {
        send(1, first);
        harness.controller.onRequest = r -> harness.controller.actions.reject(r.id(), 0, false);
        send(2, second);
        send(3, KEY, harness.now - 5000, "body", second);
        assertEquals(List.of("FAILED NOT_SENT", "FAILED SENT"), second.responses);
    }

    @Test
    void ignoresSecondRunThatTheControllerAsksFor() {
        harness.controller.onRequest = r -> harness.controller.actions.run(r.id());
        send(1, first);
        send(2, second);
        assertEquals(1, harness.runs.size());
        assertEquals(List.of("FAILED NOT_SENT"), second.responses);
        assertEquals(List.of("ended " + id(2) + " IGNORED"), harness.controller.events);
    }

    @Test
    void runsOnceWhatWaitedForTheLink() {
        harness.linkUp = false;
        send(1, first);
        send(2, second);
        harness.linkUp = true;
        harness.gateway.onAttached(false, 60_000);
        assertEquals(1, harness.runs.size());
        endRun(1, Engine.RunOutcome.DONE, "paid");
        assertEquals(List.of("SERVED RAN paid"), second.responses);
    }

    @Test
    void fullTableRejectsNewRequestsAndDropsNoKey() {
        IntStream.range(0, IdempotencyTable.MAX_KEYS)
                .forEach(
                        i -> {
                            send(i, String.format("%032x", i), harness.now, "b", first);
                            endRun(i, Engine.RunOutcome.DONE, "");
                        });
        send(70_000, String.format("%032x", 70_000), harness.now, "b", second);
        assertEquals(List.of("REJECTED NOT_SENT"), second.responses);
        send(70_001, String.format("%032x", 0), harness.now, "b", second);
        assertEquals("SERVED RAN", second.responses.get(1));
        assertEquals(IdempotencyTable.MAX_KEYS, harness.runs.size());
        harness.advance(AFTER_WINDOW_MILLIS + 5000);
        send(70_002, String.format("%032x", 70_002), harness.now, "b", second);
        assertEquals(IdempotencyTable.MAX_KEYS + 1, harness.runs.size());
    }

    @Test
    void dropsOldestResultFirstAndFailsItsDuplicateWithoutARun() {
        String large = "r".repeat(4096);
        int maxResults = IdempotencyTable.MAX_RESULT_BYTES / 4096;
        IntStream.rangeClosed(0, maxResults)
                .forEach(
                        i -> {
                            send(i, String.format("%032x", i), harness.now, "b", first);
                            endRun(i, Engine.RunOutcome.DONE, large);
                        });
        send(70_000, String.format("%032x", 0), harness.now, "b", second);
        send(70_001, String.format("%032x", 1), harness.now, "b", second);
        assertEquals(List.of("FAILED NOT_SENT", "SERVED RAN " + large), second.responses);
        assertEquals(maxResults + 1, harness.runs.size());
    }

    @Test
    void takesClientTimeoutAsDeadlineAndRejectsAnExpiredOneAtOnce() {
        harness.controller.onRequest = r -> {};
        harness.gateway.handle(
                new IncomingRequest(
                        id(1),
                        harness.now,
                        "read",
                        "acme",
                        4,
                        20,
                        0.5,
                        null,
                        null,
                        300,
                        false,
                        bytes("")),
                first);
        assertEquals(harness.now + 300, harness.controller.lastRequest.deadlineAtMillis());
        harness.advance(299);
        assertTrue(first.responses.isEmpty());
        harness.advance(30);
        assertEquals(List.of("FAILED NOT_SENT"), first.responses);
        harness.gateway.handle(
                new IncomingRequest(
                        id(2),
                        harness.now,
                        "read",
                        "acme",
                        4,
                        20,
                        0.5,
                        null,
                        null,
                        0,
                        false,
                        bytes("")),
                second);
        assertEquals(List.of("REJECTED NOT_SENT"), second.responses);
    }

    @Property(seed = "20261204", tries = 200)
    void runsEachKeyOnceInItsWindowInAnyOrderOfEvents(@ForAll long seed) {
        Random random = new Random(seed);
        double[] ranAtMillis = {-1, -1, -1};
        List<Integer> running = new ArrayList<>();
        for (int n = 1; n < 120; n++) {
            harness.advance(random.nextInt(200));
            if (random.nextInt(3) == 0 && !running.isEmpty()) {
                int ended = running.remove(random.nextInt(running.size()));
                endRun(
                        ended,
                        random.nextBoolean() ? Engine.RunOutcome.DONE : Engine.RunOutcome.CRASHED,
                        "x");
            } else {
                int keyNumber = random.nextInt(3);
                int before = harness.runs.size();
                send(n, String.format("%032x", keyNumber), harness.now, "b" + keyNumber, a -> {});
                if (harness.runs.size() > before) {
                    assertTrue(
                            ranAtMillis[keyNumber] < 0
                                    || harness.now
                                            > ranAtMillis[keyNumber]
                                                    + GatewayHarness.KEY_WINDOW_MILLIS,
                            "ran twice within its window");
                    ranAtMillis[keyNumber] = harness.now;
                    running.add(n);
                }
            }
        }
        assertTrue(harness.runs.size() >= 3);
    }
}
