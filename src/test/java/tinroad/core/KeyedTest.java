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
 * Keyed classes: whatever the tries of one request meet, one of them runs, and no other's answer is
 * given.
 */
class KeyedTest {
    private static final String TOKEN = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211";
    private static final double LATER = Harness.WINDOW + IdempotencyTable.WINDOW_MARGIN_MILLIS + 1;

    private Harness h;
    private final Harness.Answers first = new Harness.Answers();
    private final Harness.Answers second = new Harness.Answers();

    @BeforeEach
    @BeforeTry
    void start() {
        h = Harness.keyed();
        h.module.onRequest = this::runOnceAsTheModuleDoes;
    }

    private void runOnceAsTheModuleDoes(Request r) {
        if (r.duplicateOf() != null) {
            h.module.act.replayResult(r.id());
        } else {
            h.module.act.retainKey(r.id(), Harness.WINDOW);
            h.module.act.run(r.id());
        }
    }

    private static String id(int n) {
        return String.format("%016x", n);
    }

    private static ByteBuf bytes(String text) {
        return Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1);
    }

    private void ask(int n, String token, double arrivedAt, String body, ResponseSink requester) {
        h.gateway.handle(
                new IncomingRequest(
                        id(n),
                        arrivedAt,
                        "pay",
                        "acme",
                        4,
                        20,
                        0.5,
                        null,
                        token,
                        Double.NaN,
                        n > 1,
                        bytes(body)),
                requester);
    }

    private void ask(int n, ResponseSink requester) {
        ask(n, TOKEN, h.now, "body", requester);
    }

    private void ended(int n, Engine.RunOutcome end, String result) {
        h.gateway.onRunEnded(id(n), end, 5, bytes(result));
    }

    private void served() {
        ask(1, first);
        ended(1, Engine.RunOutcome.DONE, "paid");
    }

    @Test
    void aRepeatWhileTheFirstRunsGetsTheFirstOnesResultOnBothConnections() {
        ask(1, first);
        ask(2, second);
        assertEquals(1, h.runs.size());
        ended(1, Engine.RunOutcome.DONE, "paid");
        assertEquals(List.of("SERVED RAN paid"), first.got);
        assertEquals(List.of("SERVED RAN paid"), second.got);
    }

    @Test
    void aRepeatInTheInstantInWhichTheFirstEndsIsAnsweredOnceAndNeverRun() {
        ask(1, first);
        // The answer is on its way out, and its caller asks again from within.
        ResponseSink again = answer -> ask(2, second);
        h.gateway.handle(
                new IncomingRequest(
                        id(3),
                        h.now,
                        "pay",
                        "acme",
                        4,
                        20,
                        0.5,
                        null,
                        TOKEN,
                        Double.NaN,
                        true,
                        bytes("body")),
                again);
        ended(1, Engine.RunOutcome.DONE, "paid");
        assertEquals(1, h.runs.size());
        assertEquals(List.of("SERVED RAN paid"), second.got);
    }

    @Test
    void aRepeatJustBeforeTheEndOfTheWindowIsAnsweredAndOneJustAfterItRuns() {
        served();
        h.pass(Harness.WINDOW);
        ask(2, second);
        assertEquals(List.of("SERVED RAN paid"), second.got);
        assertEquals(1, h.runs.size());
        h.pass(LATER - Harness.WINDOW);
        ask(3, new Harness.Answers());
        assertEquals(2, h.runs.size());
    }

    @Test
    void aRepeatWrittenWithinTheWindowAndReadAfterItNeverRuns() {
        served();
        h.pass(LATER + 500);
        ask(2, TOKEN, h.now - 600, "body", second);
        assertEquals(1, h.runs.size());
        assertEquals(List.of("SERVED RAN paid"), second.got);
    }

    @Test
    void theWindowCountsFromTheArrivalOfTheTryThatRanEvenWithACallersClockThatRunsAhead() {
        ask(1, TOKEN, h.now + 1500, "body", first);
        ended(1, Engine.RunOutcome.DONE, "paid");
        h.pass(LATER);
        ask(2, second);
        assertEquals(1, h.runs.size());
        assertEquals(List.of("SERVED RAN paid"), second.got);
    }

    @Test
    void theTokenOfAnotherBodyOrClassIsToldSoAndNeverRunsNorGetsTheOthersAnswer() {
        served();
        ask(2, TOKEN, h.now, "other body", second);
        assertEquals(List.of("INVALID NOT_SENT"), second.got);
        assertEquals(1, h.runs.size());
    }

    @Test
    void withoutATokenNothingRuns() {
        ask(1, null, h.now, "body", first);
        assertEquals(List.of("INVALID NOT_SENT"), first.got);
        assertTrue(h.runs.isEmpty());
    }

    @Test
    void aRepeatOfARunThatFailedFailsAndNeverRuns() {
        ask(1, first);
        ask(2, second);
        ended(1, Engine.RunOutcome.CRASHED, "");
        Harness.Answers third = new Harness.Answers();
        ask(3, third);
        assertEquals(List.of("FAILED RAN"), first.got);
        assertEquals(List.of("FAILED NOT_SENT"), second.got);
        assertEquals(List.of("FAILED NOT_SENT"), third.got);
        assertEquals(1, h.runs.size());
    }

    @Test
    void whatWasTurnedAwayUnrunMayRunAtItsNextTry() {
        h.module.onRequest =
                r -> {
                    h.module.act.retainKey(r.id(), Harness.WINDOW);
                    h.module.act.reject(r.id(), 0, false);
                };
        ask(1, first);
        assertEquals(List.of("REJECTED NOT_SENT"), first.got);
        h.module.onRequest = this::runOnceAsTheModuleDoes;
        ask(2, second);
        assertNull(h.module.last.duplicateOf());
        assertEquals(1, h.runs.size());
    }

    @Test
    void whatTheEngineWouldNotTakeMayRunAtItsNextTry() {
        ask(1, first);
        ended(1, Engine.RunOutcome.REJECTED, "");
        ask(2, second);
        assertEquals(2, h.runs.size());
    }

    @Test
    void theRunOfACallerThatIsGoneStillAnswersTheRepeatThatWaitsForIt() {
        ask(1, first);
        ask(2, second);
        h.gateway.cancel(id(1), first);
        h.pass(100);
        ended(1, Engine.RunOutcome.DONE, "paid");
        assertEquals(List.of("SERVED RAN paid"), second.got);
    }

    @Test
    void aRepeatLeavesWhileItWaitsAndTheRunIsNotDisturbed() {
        ask(1, first);
        ask(2, second);
        h.gateway.cancel(id(2), second);
        ended(1, Engine.RunOutcome.DONE, "paid");
        assertEquals(List.of("SERVED RAN paid"), first.got);
        assertEquals(List.of("FAILED NOT_SENT"), second.got);
    }

    @Test
    void noTryIsTurnedAwayAsUnrunOnceOneWasSentToRun() {
        ask(1, first);
        h.module.onRequest = r -> h.module.act.reject(r.id(), 0, false);
        ask(2, second);
        ask(3, TOKEN, h.now - 5000, "body", second);
        assertEquals(List.of("FAILED NOT_SENT", "FAILED SENT"), second.got);
    }

    @Test
    void aModuleThatOrdersASecondRunIsNotObeyed() {
        h.module.onRequest = r -> h.module.act.run(r.id());
        ask(1, first);
        ask(2, second);
        assertEquals(1, h.runs.size());
        assertEquals(List.of("FAILED NOT_SENT"), second.got);
        assertEquals(List.of("ended " + id(2) + " IGNORED"), h.module.heard);
    }

    @Test
    void whatWaitsForTheLinkIsOneRunOnly() {
        h.linkUp = false;
        ask(1, first);
        ask(2, second);
        h.linkUp = true;
        h.gateway.onAttached(false, 60_000);
        assertEquals(1, h.runs.size());
        ended(1, Engine.RunOutcome.DONE, "paid");
        assertEquals(List.of("SERVED RAN paid"), second.got);
    }

    @Test
    void aFullTableTurnsNewRequestsAwayAndForgetsNone() {
        IntStream.range(0, IdempotencyTable.MAX_KEYS)
                .forEach(
                        i -> {
                            ask(i, String.format("%032x", i), h.now, "b", first);
                            ended(i, Engine.RunOutcome.DONE, "");
                        });
        ask(70_000, String.format("%032x", 70_000), h.now, "b", second);
        assertEquals(List.of("REJECTED NOT_SENT"), second.got);
        ask(70_001, String.format("%032x", 0), h.now, "b", second);
        assertEquals("SERVED RAN", second.got.get(1));
        assertEquals(IdempotencyTable.MAX_KEYS, h.runs.size());
        h.pass(LATER + 5000);
        ask(70_002, String.format("%032x", 70_002), h.now, "b", second);
        assertEquals(IdempotencyTable.MAX_KEYS + 1, h.runs.size());
    }

    @Test
    void theOldestResultIsLetGoFirstAndItsRepeatFailsWithoutARun() {
        String large = "r".repeat(4096);
        int most = IdempotencyTable.MAX_RESULT_BYTES / 4096;
        IntStream.rangeClosed(0, most)
                .forEach(
                        i -> {
                            ask(i, String.format("%032x", i), h.now, "b", first);
                            ended(i, Engine.RunOutcome.DONE, large);
                        });
        ask(70_000, String.format("%032x", 0), h.now, "b", second);
        ask(70_001, String.format("%032x", 1), h.now, "b", second);
        assertEquals(List.of("FAILED NOT_SENT", "SERVED RAN " + large), second.got);
        assertEquals(most + 1, h.runs.size());
    }

    @Test
    void theCallersWaitIsTheDueTimeAndALapsedOneIsTurnedAwayAtOnce() {
        h.module.onRequest = r -> {};
        h.gateway.handle(
                new IncomingRequest(
                        id(1), h.now, "read", "acme", 4, 20, 0.5, null, null, 300, false,
                        bytes("")),
                first);
        assertEquals(h.now + 300, h.module.last.deadlineAtMillis());
        h.pass(299);
        assertTrue(first.got.isEmpty());
        h.pass(30);
        assertEquals(List.of("FAILED NOT_SENT"), first.got);
        h.gateway.handle(
                new IncomingRequest(
                        id(2), h.now, "read", "acme", 4, 20, 0.5, null, null, 0, false, bytes("")),
                second);
        assertEquals(List.of("REJECTED NOT_SENT"), second.got);
    }

    @Property(seed = "20261204", tries = 200)
    void howeverTriesAndEndsMeetEachTokenRunsOnceInItsWindow(@ForAll long seed) {
        Random random = new Random(seed);
        double[] ranAt = {-1, -1, -1};
        List<Integer> running = new ArrayList<>();
        for (int n = 1; n < 120; n++) {
            h.pass(random.nextInt(200));
            if (random.nextInt(3) == 0 && !running.isEmpty()) {
                int end = running.remove(random.nextInt(running.size()));
                ended(
                        end,
                        random.nextBoolean() ? Engine.RunOutcome.DONE : Engine.RunOutcome.CRASHED,
                        "x");
            } else {
                int token = random.nextInt(3);
                int before = h.runs.size();
                ask(n, String.format("%032x", token), h.now, "b" + token, a -> {});
                if (h.runs.size() > before) {
                    assertTrue(
                            ranAt[token] < 0 || h.now > ranAt[token] + Harness.WINDOW,
                            "ran twice in its window");
                    ranAt[token] = h.now;
                    running.add(n);
                }
            }
        }
        assertTrue(h.runs.size() >= 3);
    }
}
