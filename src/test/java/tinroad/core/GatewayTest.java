package tinroad.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import tinroad.overload.Controller.Gauges;

/**
 * Tests a request from arrival to answer: it gets one answer, in time, and never a second run,
 * whatever the client, the engine and the controller do.
 */
class GatewayTest {
    private static final String ID = "9b1f03aa5c7e2d41";
    private static final String OTHER_ID = "9b1f03aa5c7e2d42";

    private final GatewayHarness harness = GatewayHarness.started();
    private final GatewayHarness.ResponseRecorder answers = new GatewayHarness.ResponseRecorder();

    private static ByteBuf bytes(String text) {
        return Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1);
    }

    private void send(GatewayHarness target, String id, String className, double arrivedAtMillis) {
        ByteBuf body = bytes("body");
        target.gateway.handle(
                new IncomingRequest(id, arrivedAtMillis, className, "acme", 4, 20, 0.5, "k", body),
                answers);
        // The frontend releases its buffer after the call.
        body.setZero(0, body.capacity()).release();
    }

    private void send(String className) {
        send(harness, ID, className, harness.now);
    }

    private void completeRun(GatewayHarness target, String id, String result) {
        target.gateway.onRunEnded(id, Engine.RunOutcome.DONE, 5, bytes(result));
    }

    @Test
    void servesTheEnginesResult() {
        harness.controller.onRequest = r -> harness.controller.actions.run(r.id());
        send("order");
        assertEquals(List.of("RUN " + ID + " order body"), harness.runs);
        completeRun(harness, ID, "result");
        assertEquals(List.of("SERVED RAN result"), answers.responses);
        assertEquals(List.of("ended " + ID + " OK"), harness.controller.events);
        assertTrue(harness.gateway.allAnswered());
    }

    @Test
    void keepsBodyOfQueuedRequestBeyondItsReadBuffer() {
        send("order");
        harness.controller.actions.run(ID);
        assertEquals(List.of("RUN " + ID + " order body"), harness.runs);
    }

    @Test
    void sendsRejectionAtOnceAndDropsSecondAnswer() {
        harness.controller.onRequest = r -> harness.controller.actions.reject(r.id(), 500, true);
        send("read");
        assertEquals(List.of("REJECTED NOT_SENT"), answers.responses);
        harness.controller.actions.fail(ID);
        harness.advance(5000);
        assertEquals(1, answers.responses.size());
    }

    @Test
    void failsInsteadOfRejectingWhatWasSentToRun() {
        send("order");
        harness.controller.actions.run(ID);
        harness.controller.actions.reject(ID, 500, false);
        completeRun(harness, ID, "late");
        assertEquals(List.of("FAILED SENT"), answers.responses);
    }

    @Test
    void servesWhileEvacuatedAndReportsHealthOnlyOnceItRejoins() {
        List<Boolean> reportedHealth = new ArrayList<>();
        harness.gateway.onHealth(reportedHealth::add);
        harness.gateway.evacuate();
        harness.controller.actions.setHealth(false, true);
        harness.controller.actions.setHealth(true, true);
        harness.controller.onRequest = r -> harness.controller.actions.run(r.id());
        send("order");
        completeRun(harness, ID, "result");
        assertEquals(List.of("SERVED RAN result"), answers.responses);
        assertEquals(List.of("ended " + ID + " OK"), harness.controller.events);
        assertTrue(harness.gateway.rejoin());
        assertEquals(List.of(false, true), reportedHealth);
    }

    @Test
    void neverRunsAnExecutedIdAgain() {
        harness.controller.onRequest = r -> harness.controller.actions.run(r.id());
        send("order");
        send("order");
        harness.controller.actions.run(ID);
        completeRun(harness, ID, "result");
        completeRun(harness, ID, "again");
        send("order");
        assertEquals(1, harness.runs.size());
        assertEquals(
                List.of("INVALID NOT_SENT", "SERVED RAN result", "INVALID NOT_SENT"),
                answers.responses);
    }

    @Test
    void failsAtItsDeadlineWhatTheControllerForgets() {
        send("read");
        harness.advance(999);
        assertEquals(List.of(), answers.responses);
        harness.advance(DeadlineGuard.PERIOD_MILLIS + 1);
        assertEquals(List.of("FAILED NOT_SENT"), answers.responses);
        // The controller runs the request after its answer has left: it must not start, and the
        // controller gets its capacity back.
        harness.controller.actions.run(ID);
        assertEquals(List.of(), harness.runs);
        assertEquals(List.of("ended " + ID + " IGNORED"), harness.controller.events);
    }

    @Test
    void countsAgeFromArrivalAndNeverNegative() {
        send(harness, ID, "read", harness.now - 900);
        assertEquals(900, harness.controller.lastRequest.ageMillis());
        harness.advance(100 + DeadlineGuard.PERIOD_MILLIS);
        assertEquals(1, answers.responses.size());
        send(harness, OTHER_ID, "read", harness.now + 5000);
        assertEquals(0, harness.controller.lastRequest.ageMillis());
        harness.advance(1000 + DeadlineGuard.PERIOD_MILLIS);
        assertEquals(2, answers.responses.size());
    }

    @Test
    void reportsEveryRunOutcomeAndServesOnlyDone() {
        harness.controller.onRequest = r -> harness.controller.actions.run(r.id());
        int lastId = 0;
        for (Engine.RunOutcome outcome : Engine.RunOutcome.values()) {
            String id = String.format("%016x", lastId++);
            send(harness, id, "read", harness.now);
            harness.gateway.onRunEnded(id, outcome, 5, bytes("r"));
        }
        assertEquals(
                List.of(
                        "SERVED RAN r",
                        "FAILED RAN",
                        "FAILED RAN",
                        "FAILED RAN",
                        "FAILED NOT_SENT"),
                answers.responses);
        assertEquals(
                List.of("OK", "FAILED", "CANCELED", "IGNORED", "IGNORED"),
                harness.controller.events.stream()
                        .map(event -> event.substring(event.lastIndexOf(' ') + 1))
                        .toList());
    }

    @Test
    void runsOnceTheLinkIsBackWhatWasDecidedWhileItWasDown() {
        harness.linkUp = false;
        harness.controller.onRequest = r -> harness.controller.actions.run(r.id());
        send("order");
        harness.linkUp = true;
        harness.gateway.onAttached(false, 0);
        harness.gateway.onAttached(false, 0);
        assertEquals(List.of("RUN " + ID + " order body"), harness.runs);
        completeRun(harness, ID, "result");
        assertEquals(List.of("SERVED RAN result"), answers.responses);
    }

    @Test
    void keepsUnsentRunsWhenTheLinkBreaksAgain() {
        harness.linkUp = false;
        harness.controller.onRequest = r -> harness.controller.actions.run(r.id());
        send("order");
        harness.gateway.onAttached(false, 0);
        harness.linkUp = true;
        harness.gateway.onAttached(false, 0);
        assertEquals(List.of("RUN " + ID + " order body"), harness.runs);
    }

    @Test
    void survivesAnErrorInTheController() {
        harness.controller.onRequest =
                r -> {
                    throw new OutOfMemoryError("on purpose");
                };
        assertThrows(OutOfMemoryError.class, () -> send("read"));
        harness.controller.onRequest = r -> harness.controller.actions.run(r.id());
        send(harness, OTHER_ID, "read", harness.now);
        completeRun(harness, OTHER_ID, "fine");
        harness.advance(1100);
        assertEquals(List.of("SERVED RAN fine", "FAILED NOT_SENT"), answers.responses);
    }

    @Test
    void failsAndNeverRunsWhatCouldNotBeSentByItsDeadline() {
        harness.linkUp = false;
        harness.controller.onRequest = r -> harness.controller.actions.run(r.id());
        send("read");
        harness.advance(1100);
        harness.linkUp = true;
        harness.gateway.onAttached(false, 0);
        assertEquals(List.of(), harness.runs);
        assertEquals(List.of("FAILED NOT_SENT"), answers.responses);
        assertEquals(List.of("ended " + ID + " IGNORED"), harness.controller.events);
    }

    @Test
    void releasesCapacityOfRunLostWithItsLink() {
        harness.controller.onRequest = r -> harness.controller.actions.run(r.id());
        send("read");
        harness.gateway.onDetached();
        harness.gateway.onAttached(false, 0);
        harness.controller.actions.reject(ID, 0, false);
        assertEquals(List.of("FAILED SENT"), answers.responses);
        harness.advance(
                1000 + DeadlineGuard.LOST_RUN_RETENTION_MILLIS + 2 * DeadlineGuard.PERIOD_MILLIS);
        assertEquals(List.of("ended " + ID + " IGNORED"), harness.controller.events);
        assertEquals(1, harness.runs.size());
    }

    @Test
    void resendsRunThatMayBeLostOnceAllEventsAreRead() {
        harness.controller.onRequest = r -> harness.controller.actions.run(r.id());
        send("order");
        send(harness, OTHER_ID, "read", harness.now);
        harness.gateway.onDetached();
        harness.gateway.onAttached(false, 0);
        completeRun(harness, OTHER_ID, "told again");
        harness.gateway.onCaughtUp();
        harness.gateway.onCaughtUp();
        String order = "RUN " + ID + " order body";
        assertEquals(List.of(order, "RUN " + OTHER_ID + " read body", order), harness.runs);
        completeRun(harness, ID, "result");
        harness.gateway.onRunEnded(ID, Engine.RunOutcome.STALE, 0, bytes(""));
        assertEquals(List.of("SERVED RAN told again", "SERVED RAN result"), answers.responses);
        assertEquals(
                List.of("ended " + OTHER_ID + " OK", "ended " + ID + " OK"),
                harness.controller.events);
    }

    @Test
    void resendsNothingToRestartedEngine() {
        harness.controller.onRequest = r -> harness.controller.actions.run(r.id());
        harness.advance(5000);
        send("order");
        harness.gateway.onDetached();
        harness.gateway.onAttached(true, 10);
        harness.gateway.onCaughtUp();
        assertEquals(1, harness.runs.size());
        harness.advance(
                2000 + DeadlineGuard.LOST_RUN_RETENTION_MILLIS + 2 * DeadlineGuard.PERIOD_MILLIS);
        assertEquals(List.of("FAILED SENT"), answers.responses);
        assertEquals(List.of("ended " + ID + " IGNORED"), harness.controller.events);
    }

    @Test
    void doesNotResendWhatWasAnsweredWhileTheLinkWasDown() {
        harness.controller.onRequest = r -> harness.controller.actions.run(r.id());
        send("order");
        harness.gateway.onDetached();
        harness.controller.actions.fail(ID);
        harness.gateway.onAttached(false, 0);
        harness.gateway.onCaughtUp();
        assertEquals(1, harness.runs.size());
    }

    @Test
    void keepsIdFreeOfRunThatTheEngineRejected() {
        harness.controller.onRequest = r -> harness.controller.actions.run(r.id());
        send("read");
        harness.gateway.onRunEnded(ID, Engine.RunOutcome.REJECTED, 0, bytes(""));
        send("read");
        completeRun(harness, ID, "result");
        assertEquals(List.of("FAILED NOT_SENT", "SERVED RAN result"), answers.responses);
    }

    @Test
    void cancelsQueuedRequestForItsOwnClientOnly() {
        send("read");
        harness.gateway.cancel(ID, a -> {});
        harness.gateway.cancel(OTHER_ID, answers);
        assertEquals(List.of(), answers.responses);
        harness.gateway.cancel(ID, answers);
        harness.gateway.cancel(ID, answers);
        assertEquals(List.of("FAILED NOT_SENT"), answers.responses);
        send(harness, OTHER_ID, "read", harness.now);
        harness.controller.actions.run(OTHER_ID);
        harness.gateway.cancel(OTHER_ID, answers);
        completeRun(harness, OTHER_ID, "ran all the same");
        assertEquals("SERVED RAN ran all the same", answers.responses.get(1));
        assertEquals(List.of("gone " + ID, "ended " + OTHER_ID + " OK"), harness.controller.events);
    }

    @Test
    void neverRunsWhatWasCancelledBeforeItWasSent() {
        harness.linkUp = false;
        harness.controller.onRequest = r -> harness.controller.actions.run(r.id());
        send("order");
        harness.gateway.cancel(ID, answers);
        harness.linkUp = true;
        harness.gateway.onAttached(false, 0);
        assertEquals(List.of(), harness.runs);
        assertEquals(List.of("ended " + ID + " IGNORED"), harness.controller.events);
    }

    @Test
    void passesNoExpiredOrImplausibleArrivalToTheController() {
        send(harness, ID, "read", harness.now - 1000);
        send(harness, ID, "read", harness.now - ActiveCatalog.MAX_ARRIVAL_OFFSET_MILLIS - 1);
        send(harness, ID, "read", harness.now + ActiveCatalog.MAX_ARRIVAL_OFFSET_MILLIS + 1);
        assertEquals(
                List.of("REJECTED NOT_SENT", "INVALID NOT_SENT", "INVALID NOT_SENT"),
                answers.responses);
        assertNull(harness.controller.lastRequest);
    }

    @Test
    void timerWaitsForItsGaugesWithinItsBound() {
        harness.controller.actions.scheduleTimer("tick", 20);
        harness.advance(20);
        harness.gateway.onGauges(harness.gaugesRequested.get(0), new Gauges(0.5, 3, 0.1, 9));
        assertEquals(List.of("timer tick 3.0"), harness.controller.events);
        harness.controller.actions.scheduleTimer("late", 20);
        harness.advance(20 + ControllerDriver.MAX_GAUGES_WAIT_MILLIS);
        assertEquals("timer late 3.0", harness.controller.events.get(1));
        harness.gateway.onGauges(harness.gaugesRequested.get(1), new Gauges(0.5, 4, 0.1, 9));
        assertEquals(2, harness.controller.events.size());
        harness.linkUp = false;
        harness.controller.actions.scheduleTimer(
                "none", ControllerDriver.MAX_GAUGES_AGE_MILLIS + 1);
        harness.advance(ControllerDriver.MAX_GAUGES_AGE_MILLIS + 1);
        assertEquals("timer none NaN", harness.controller.events.get(2));
    }

    @Test
    void rejectsAndIsUnhealthyBeforeTheEngineIsAttached() {
        GatewayHarness early = new GatewayHarness(0);
        assertFalse(early.gateway.healthy());
        send(early, ID, "read", early.now);
        assertEquals(List.of("REJECTED NOT_SENT"), answers.responses);
        early.gateway.onAttached(true, 10);
        assertTrue(early.gateway.healthy());
    }

    @Test
    void notifiesControllerOfShutdownOnceAndStaysUnhealthy() {
        List<Boolean> reportedHealth = new ArrayList<>();
        harness.gateway.onHealth(reportedHealth::add);
        harness.gateway.beginDraining(harness.now - 40, harness.now + 2960);
        harness.gateway.beginDraining(harness.now, harness.now + 3000);
        harness.controller.actions.setHealth(true, true);
        assertEquals(List.of("drain 3000"), harness.controller.events);
        assertEquals(List.of(false), reportedHealth);
        assertFalse(harness.gateway.healthy());
    }

    @Test
    void failsOnlyTheRequestWhoseRunCannotBeWritten() {
        harness.controller.onRequest = r -> harness.controller.actions.run(r.id());
        harness.failNextRunOutOfMemory = true;
        send("order");
        assertEquals(List.of("FAILED NOT_SENT"), answers.responses);
        assertEquals(List.of("ended " + ID + " IGNORED"), harness.controller.events);
        send(harness, OTHER_ID, "order", harness.now);
        completeRun(harness, OTHER_ID, "fine");
        assertEquals("SERVED RAN fine", answers.responses.get(1));
    }

    @Test
    void countsRequestCompletedAfterTheGraceAsArrivedAfterIt() {
        double noticedAtMillis = harness.now;
        harness.gateway.beginDraining(noticedAtMillis, noticedAtMillis + 5000);
        harness.advance(2490);
        send(harness, ID, "order", harness.now - 300);
        assertEquals(300, harness.controller.lastRequest.ageMillis());
        harness.advance(110);
        send(harness, OTHER_ID, "order", harness.now - 300);
        assertTrue(
                harness.now - harness.controller.lastRequest.ageMillis() > noticedAtMillis + 2500,
                "arrived "
                        + (harness.now
                                - harness.controller.lastRequest.ageMillis()
                                - noticedAtMillis));
        harness.advance(1699);
        assertEquals(
                1,
                answers.responses.size(),
                "the deadline still counts from the arrival that the request states");
        harness.advance(30);
        assertEquals(2, answers.responses.size());
    }

    @Test
    void lastSeenAliveLiesBeforeAStall() {
        harness.advance(200);
        double before = harness.now;
        harness.now += 5000;
        harness.advance(DeadlineGuard.PERIOD_MILLIS / 2);
        assertTrue(
                harness.gateway.lastSeenAliveMillis() <= before,
                "a shutdown notice may have come during the stall");
        assertTrue(
                harness.gateway.lastSeenAliveMillis() >= before - 2 * DeadlineGuard.PERIOD_MILLIS);
        harness.advance(100);
        assertTrue(
                harness.gateway.lastSeenAliveMillis()
                        >= harness.now - 2 * DeadlineGuard.PERIOD_MILLIS - 1);
    }

    @Test
    void notifiesControllerOfShutdownThatCameBeforeTheEngine() {
        GatewayHarness early = new GatewayHarness(0);
        early.gateway.beginDraining(early.now, early.now + 3000);
        early.gateway.onAttached(true, 10);
        assertEquals(List.of("drain 3000"), early.controller.events);
        assertFalse(early.gateway.healthy());
    }

    @Test
    void answersInvalidToUnknownClassesAndTenants() {
        send("nothing");
        harness.gateway.handle(
                new IncomingRequest(
                        OTHER_ID, harness.now, "read", "nobody", 4, 20, 0.5, null, bytes("")),
                answers);
        assertEquals(List.of("INVALID NOT_SENT", "INVALID NOT_SENT"), answers.responses);
        assertNull(harness.controller.lastRequest);
    }

    @Test
    void controllerFailureAffectsNoOtherRequest() {
        harness.controller.onRequest =
                r -> {
                    throw new IllegalStateException("on purpose");
                };
        send("read");
        harness.controller.onRequest = r -> harness.controller.actions.run(r.id());
        send(harness, OTHER_ID, "read", harness.now);
        completeRun(harness, OTHER_ID, "fine");
        harness.advance(1100);
        assertEquals(List.of("SERVED RAN fine", "FAILED NOT_SENT"), answers.responses);
    }

    @Test
    void replaysRetainedReadWhileItIsFresh() {
        GatewayHarness fresh = new GatewayHarness(300);
        fresh.gateway.onAttached(false, 0);
        fresh.controller.onRequest =
                r -> {
                    if (r.duplicateOf() != null) {
                        fresh.controller.actions.replayResult(r.id());
                    } else {
                        fresh.controller.actions.retainKey(r.id(), 2000);
                        fresh.controller.actions.run(r.id());
                    }
                };
        send(fresh, ID, "read", fresh.now);
        send(fresh, OTHER_ID, "read", fresh.now);
        completeRun(fresh, ID, "shared");
        send(fresh, "9b1f03aa5c7e2d43", "read", fresh.now);
        fresh.advance(301);
        send(fresh, "9b1f03aa5c7e2d44", "read", fresh.now);
        assertEquals(
                List.of("SERVED RAN shared", "SERVED RAN shared", "SERVED RAN shared"),
                answers.responses);
        assertEquals(2, fresh.runs.size());
        fresh.gateway.onRunEnded("9b1f03aa5c7e2d44", Engine.RunOutcome.CRASHED, 5, bytes(""));
        assertEquals("FAILED RAN", answers.responses.get(3));
    }
}
