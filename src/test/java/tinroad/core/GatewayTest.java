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

/** The life of a request: one answer, in time, and never a second run, whatever the parties do. */
class GatewayTest {
    private static final String ID = "9b1f03aa5c7e2d41";
    private static final String OTHER = "9b1f03aa5c7e2d42";

    private final Harness h = Harness.started();
    private final Harness.Answers answers = new Harness.Answers();

    private static ByteBuf bytes(String text) {
        return Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1);
    }

    private void ask(Harness on, String id, String kind, double arrivedAt) {
        ByteBuf body = bytes("body");
        on.gateway.handle(
                new IncomingRequest(id, arrivedAt, kind, "acme", 4, 20, 0.5, "k", body), answers);
        // The front's buffer is gone after the call.
        body.setZero(0, body.capacity()).release();
    }

    private void ask(String kind) {
        ask(h, ID, kind, h.now);
    }

    private void done(Harness on, String id, String result) {
        on.gateway.onRunEnded(id, Engine.RunOutcome.DONE, 5, bytes(result));
    }

    @Test
    void aRequestThatRunsIsServedWithTheEnginesBytes() {
        h.module.onRequest = r -> h.module.act.run(r.id());
        ask("order");
        assertEquals(List.of("RUN " + ID + " order body"), h.runs);
        done(h, ID, "result");
        assertEquals(List.of("SERVED RAN result"), answers.got);
        assertEquals(List.of("ended " + ID + " OK"), h.module.heard);
        assertTrue(h.gateway.allAnswered());
    }

    @Test
    void aHeldRequestKeepsItsBodyBeyondTheReadBuffer() {
        ask("order");
        h.module.act.run(ID);
        assertEquals(List.of("RUN " + ID + " order body"), h.runs);
    }

    @Test
    void aRefusalGoesOutAtOnceAndASecondAnswerIsDropped() {
        h.module.onRequest = r -> h.module.act.reject(r.id(), 500, true);
        ask("read");
        assertEquals(List.of("REJECTED NOT_SENT"), answers.got);
        h.module.act.fail(ID);
        h.pass(5000);
        assertEquals(1, answers.got.size());
    }

    @Test
    void whatWasSentToRunIsNeverRefused() {
        ask("order");
        h.module.act.run(ID);
        h.module.act.reject(ID, 500, false);
        done(h, ID, "late");
        assertEquals(List.of("FAILED SENT"), answers.got);
    }

    @Test
    void anEvacuatedGatewayServesOnAndHearsNothingOfItsModulesOpinionUntilItRejoins() {
        List<Boolean> told = new ArrayList<>();
        h.gateway.onHealth(told::add);
        h.gateway.evacuate();
        h.module.act.setHealth(false, true);
        h.module.act.setHealth(true, true);
        h.module.onRequest = r -> h.module.act.run(r.id());
        ask("order");
        done(h, ID, "result");
        assertEquals(List.of("SERVED RAN result"), answers.got);
        assertEquals(List.of("ended " + ID + " OK"), h.module.heard);
        assertTrue(h.gateway.rejoin());
        assertEquals(List.of(false, true), told);
    }

    @Test
    void whatRanIsNeverRunAgain() {
        h.module.onRequest = r -> h.module.act.run(r.id());
        ask("order");
        ask("order");
        h.module.act.run(ID);
        done(h, ID, "result");
        done(h, ID, "again");
        ask("order");
        assertEquals(1, h.runs.size());
        assertEquals(
                List.of("INVALID NOT_SENT", "SERVED RAN result", "INVALID NOT_SENT"), answers.got);
    }

    @Test
    void aRequestThatTheModuleForgetsFailsByItsDueTime() {
        ask("read");
        h.pass(999);
        assertEquals(List.of(), answers.got);
        h.pass(DeadlineGuard.PERIOD_MILLIS + 1);
        assertEquals(List.of("FAILED NOT_SENT"), answers.got);
        // Run after its answer went out: it must not start, and the module gets its place back.
        h.module.act.run(ID);
        assertEquals(List.of(), h.runs);
        assertEquals(List.of("ended " + ID + " IGNORED"), h.module.heard);
    }

    @Test
    void timeIsCountedFromTheArrivalAndNeverNegative() {
        ask(h, ID, "read", h.now - 900);
        assertEquals(900, h.module.last.ageMillis());
        h.pass(100 + DeadlineGuard.PERIOD_MILLIS);
        assertEquals(1, answers.got.size());
        ask(h, OTHER, "read", h.now + 5000);
        assertEquals(0, h.module.last.ageMillis());
        h.pass(1000 + DeadlineGuard.PERIOD_MILLIS);
        assertEquals(2, answers.got.size());
    }

    @Test
    void everyEndOfARunIsToldAndOnlyDoneIsServed() {
        h.module.onRequest = r -> h.module.act.run(r.id());
        for (Engine.RunOutcome end : Engine.RunOutcome.values()) {
            ask(h, "000000000000000" + end.ordinal(), "read", h.now);
            h.gateway.onRunEnded("000000000000000" + end.ordinal(), end, 5, bytes("r"));
        }
        assertEquals(
                List.of(
                        "SERVED RAN r",
                        "FAILED RAN",
                        "FAILED RAN",
                        "FAILED RAN",
                        "FAILED NOT_SENT"),
                answers.got);
        assertEquals(
                List.of("OK", "FAILED", "CANCELED", "IGNORED", "IGNORED"),
                h.module.heard.stream().map(l -> l.split(" ")[2]).toList());
    }

    @Test
    void whatIsDecidedWhileTheLinkIsDownRunsOnceItIsBack() {
        h.linkUp = false;
        h.module.onRequest = r -> h.module.act.run(r.id());
        ask("order");
        h.linkUp = true;
        h.gateway.onAttached(false, 0);
        h.gateway.onAttached(false, 0);
        assertEquals(List.of("RUN " + ID + " order body"), h.runs);
        done(h, ID, "result");
        assertEquals(List.of("SERVED RAN result"), answers.got);
    }

    @Test
    void aLinkThatBreaksAnewKeepsWhatIsStillToBeSent() {
        h.linkUp = false;
        h.module.onRequest = r -> h.module.act.run(r.id());
        ask("order");
        h.gateway.onAttached(false, 0);
        h.linkUp = true;
        h.gateway.onAttached(false, 0);
        assertEquals(List.of("RUN " + ID + " order body"), h.runs);
    }

    @Test
    void anErrorWhileTheModuleActsLeavesTheGatewayAlive() {
        h.module.onRequest =
                r -> {
                    throw new OutOfMemoryError("on purpose");
                };
        assertThrows(OutOfMemoryError.class, () -> ask("read"));
        h.module.onRequest = r -> h.module.act.run(r.id());
        ask(h, OTHER, "read", h.now);
        done(h, OTHER, "fine");
        h.pass(1100);
        assertEquals(List.of("SERVED RAN fine", "FAILED NOT_SENT"), answers.got);
    }

    @Test
    void whatCouldNotBeSentInTimeFailsAndNeverRuns() {
        h.linkUp = false;
        h.module.onRequest = r -> h.module.act.run(r.id());
        ask("read");
        h.pass(1100);
        h.linkUp = true;
        h.gateway.onAttached(false, 0);
        assertEquals(List.of(), h.runs);
        assertEquals(List.of("FAILED NOT_SENT"), answers.got);
        assertEquals(List.of("ended " + ID + " IGNORED"), h.module.heard);
    }

    @Test
    void aRunLostWithItsLinkMayHaveRunAndFreesItsPlace() {
        h.module.onRequest = r -> h.module.act.run(r.id());
        ask("read");
        h.gateway.onDetached();
        h.gateway.onAttached(false, 0);
        h.module.act.reject(ID, 0, false);
        assertEquals(List.of("FAILED SENT"), answers.got);
        h.pass(1000 + DeadlineGuard.LOST_RUN_KEPT_MILLIS + 2 * DeadlineGuard.PERIOD_MILLIS);
        assertEquals(List.of("ended " + ID + " IGNORED"), h.module.heard);
        assertEquals(1, h.runs.size());
    }

    @Test
    void anOrderThatMayBeLostWithItsLinkIsRepeatedOnceAllNoticesAreRead() {
        h.module.onRequest = r -> h.module.act.run(r.id());
        ask("order");
        ask(h, OTHER, "read", h.now);
        h.gateway.onDetached();
        h.gateway.onAttached(false, 0);
        done(h, OTHER, "told again");
        h.gateway.onCaughtUp();
        h.gateway.onCaughtUp();
        String order = "RUN " + ID + " order body";
        assertEquals(List.of(order, "RUN " + OTHER + " read body", order), h.runs);
        done(h, ID, "result");
        h.gateway.onRunEnded(ID, Engine.RunOutcome.STALE, 0, bytes(""));
        assertEquals(List.of("SERVED RAN told again", "SERVED RAN result"), answers.got);
        assertEquals(List.of("ended " + OTHER + " OK", "ended " + ID + " OK"), h.module.heard);
    }

    @Test
    void toAnEngineThatWasStartedAnewNothingIsRepeated() {
        h.module.onRequest = r -> h.module.act.run(r.id());
        h.pass(5000);
        ask("order");
        h.gateway.onDetached();
        h.gateway.onAttached(true, 10);
        h.gateway.onCaughtUp();
        assertEquals(1, h.runs.size());
        h.pass(2000 + DeadlineGuard.LOST_RUN_KEPT_MILLIS + 2 * DeadlineGuard.PERIOD_MILLIS);
        assertEquals(List.of("FAILED SENT"), answers.got);
        assertEquals(List.of("ended " + ID + " IGNORED"), h.module.heard);
    }

    @Test
    void whatWasAnsweredWhileTheLinkWasDownIsNotOrderedAgain() {
        h.module.onRequest = r -> h.module.act.run(r.id());
        ask("order");
        h.gateway.onDetached();
        h.module.act.fail(ID);
        h.gateway.onAttached(false, 0);
        h.gateway.onCaughtUp();
        assertEquals(1, h.runs.size());
    }

    @Test
    void whatTheEngineDoesNotKnowTakesNoCallersId() {
        h.module.onRequest = r -> h.module.act.run(r.id());
        ask("read");
        h.gateway.onRunEnded(ID, Engine.RunOutcome.REJECTED, 0, bytes(""));
        ask("read");
        done(h, ID, "result");
        assertEquals(List.of("FAILED NOT_SENT", "SERVED RAN result"), answers.got);
    }

    @Test
    void whatIsHeldMayBeWithdrawnByItsRequesterAlone() {
        ask("read");
        h.gateway.cancel(ID, a -> {});
        h.gateway.cancel(OTHER, answers);
        assertEquals(List.of(), answers.got);
        h.gateway.cancel(ID, answers);
        h.gateway.cancel(ID, answers);
        assertEquals(List.of("FAILED NOT_SENT"), answers.got);
        ask(h, OTHER, "read", h.now);
        h.module.act.run(OTHER);
        h.gateway.cancel(OTHER, answers);
        done(h, OTHER, "ran all the same");
        assertEquals("SERVED RAN ran all the same", answers.got.get(1));
        assertEquals(List.of("gone " + ID, "ended " + OTHER + " OK"), h.module.heard);
    }

    @Test
    void whatIsWithdrawnBeforeItsOrderWasSentNeverRuns() {
        h.linkUp = false;
        h.module.onRequest = r -> h.module.act.run(r.id());
        ask("order");
        h.gateway.cancel(ID, answers);
        h.linkUp = true;
        h.gateway.onAttached(false, 0);
        assertEquals(List.of(), h.runs);
        assertEquals(List.of("ended " + ID + " IGNORED"), h.module.heard);
    }

    @Test
    void whatWasDueBeforeItWasReadOrCameAtNoTimeNeverReachesTheModule() {
        ask(h, ID, "read", h.now - 1000);
        ask(h, ID, "read", h.now - ActiveCatalog.MAX_ARRIVAL_OFFSET_MILLIS - 1);
        ask(h, ID, "read", h.now + ActiveCatalog.MAX_ARRIVAL_OFFSET_MILLIS + 1);
        assertEquals(
                List.of("REJECTED NOT_SENT", "INVALID NOT_SENT", "INVALID NOT_SENT"), answers.got);
        assertNull(h.module.last);
    }

    @Test
    void aTimerWaitsForItsGaugesButNotForLong() {
        h.module.act.scheduleTimer("tick", 20);
        h.pass(20);
        h.gateway.onGauges(h.gaugesAsked.get(0), new Gauges(0.5, 3, 0.1, 9));
        assertEquals(List.of("timer tick 3.0"), h.module.heard);
        h.module.act.scheduleTimer("late", 20);
        h.pass(20 + ControllerDriver.GAUGES_WAIT_MILLIS);
        assertEquals("timer late 3.0", h.module.heard.get(1));
        h.gateway.onGauges(h.gaugesAsked.get(1), new Gauges(0.5, 4, 0.1, 9));
        assertEquals(2, h.module.heard.size());
        h.linkUp = false;
        h.module.act.scheduleTimer("none", ControllerDriver.GAUGES_VALID_MILLIS + 1);
        h.pass(ControllerDriver.GAUGES_VALID_MILLIS + 1);
        assertEquals("timer none NaN", h.module.heard.get(2));
    }

    @Test
    void beforeTheEngineIsThereNothingIsTakenAndHealthIsBad() {
        Harness early = new Harness(0);
        assertFalse(early.gateway.healthy());
        ask(early, ID, "read", early.now);
        assertEquals(List.of("REJECTED NOT_SENT"), answers.got);
        early.gateway.onAttached(true, 10);
        assertTrue(early.gateway.healthy());
    }

    @Test
    void theNoticeToLeaveReachesTheModuleOnceAndHealthStaysBad() {
        List<Boolean> told = new ArrayList<>();
        h.gateway.onHealth(told::add);
        h.gateway.beginDraining(h.now - 40, h.now + 2960);
        h.gateway.beginDraining(h.now, h.now + 3000);
        h.module.act.setHealth(true, true);
        assertEquals(List.of("drain 3000"), h.module.heard);
        assertEquals(List.of(false), told);
        assertFalse(h.gateway.healthy());
    }

    @Test
    void anOrderThatCanNotBeWrittenFailsAloneAndItsPlaceIsGivenBack() {
        h.module.onRequest = r -> h.module.act.run(r.id());
        h.outOfMemory = true;
        ask("order");
        assertEquals(List.of("FAILED NOT_SENT"), answers.got);
        assertEquals(List.of("ended " + ID + " IGNORED"), h.module.heard);
        ask(h, OTHER, "order", h.now);
        done(h, OTHER, "fine");
        assertEquals("SERVED RAN fine", answers.got.get(1));
    }

    @Test
    void whatBeganToArriveInTheGraceAndIsWholeAfterItCountsAsArrivedAfterIt() {
        double noticedAt = h.now;
        h.gateway.beginDraining(noticedAt, noticedAt + 5000);
        h.pass(2490);
        ask(h, ID, "order", h.now - 300);
        assertEquals(300, h.module.last.ageMillis());
        h.pass(110);
        ask(h, OTHER, "order", h.now - 300);
        assertTrue(
                h.now - h.module.last.ageMillis() > noticedAt + 2500,
                "arrived " + (h.now - h.module.last.ageMillis() - noticedAt));
        h.pass(1699);
        assertEquals(1, answers.got.size(), "the due time still counts from what the request said");
        h.pass(30);
        assertEquals(2, answers.got.size());
    }

    @Test
    void aProcessThatWasSetAsideKnowsAMomentBeforeIt() {
        h.pass(200);
        double before = h.now;
        h.now += 5000;
        h.pass(DeadlineGuard.PERIOD_MILLIS / 2);
        assertTrue(
                h.gateway.lastSeenAliveMillis() <= before,
                "a notice may have come during the stall");
        assertTrue(h.gateway.lastSeenAliveMillis() >= before - 2 * DeadlineGuard.PERIOD_MILLIS);
        h.pass(100);
        assertTrue(h.gateway.lastSeenAliveMillis() >= h.now - 2 * DeadlineGuard.PERIOD_MILLIS - 1);
    }

    @Test
    void aNoticeThatComesBeforeTheEngineIsToldToTheModuleToo() {
        Harness early = new Harness(0);
        early.gateway.beginDraining(early.now, early.now + 3000);
        early.gateway.onAttached(true, 10);
        assertEquals(List.of("drain 3000"), early.module.heard);
        assertFalse(early.gateway.healthy());
    }

    @Test
    void unknownClassesAndTenantsAreInvalid() {
        ask("nothing");
        h.gateway.handle(
                new IncomingRequest(OTHER, h.now, "read", "nobody", 4, 20, 0.5, null, bytes("")),
                answers);
        assertEquals(List.of("INVALID NOT_SENT", "INVALID NOT_SENT"), answers.got);
        assertNull(h.module.last);
    }

    @Test
    void aFailureOfTheModuleCostsNoOtherRequest() {
        h.module.onRequest =
                r -> {
                    throw new IllegalStateException("on purpose");
                };
        ask("read");
        h.module.onRequest = r -> h.module.act.run(r.id());
        ask(h, OTHER, "read", h.now);
        done(h, OTHER, "fine");
        h.pass(1100);
        assertEquals(List.of("SERVED RAN fine", "FAILED NOT_SENT"), answers.got);
    }

    @Test
    void repeatsOfAKeptReadAreAnsweredAlikeWhileItIsFresh() {
        Harness fresh = new Harness(300);
        fresh.gateway.onAttached(false, 0);
        fresh.module.onRequest =
                r -> {
                    if (r.duplicateOf() != null) {
                        fresh.module.act.replayResult(r.id());
                    } else {
                        fresh.module.act.retainKey(r.id(), 2000);
                        fresh.module.act.run(r.id());
                    }
                };
        ask(fresh, ID, "read", fresh.now);
        ask(fresh, OTHER, "read", fresh.now);
        done(fresh, ID, "shared");
        ask(fresh, "9b1f03aa5c7e2d43", "read", fresh.now);
        fresh.pass(301);
        ask(fresh, "9b1f03aa5c7e2d44", "read", fresh.now);
        assertEquals(
                List.of("SERVED RAN shared", "SERVED RAN shared", "SERVED RAN shared"),
                answers.got);
        assertEquals(2, fresh.runs.size());
        fresh.gateway.onRunEnded("9b1f03aa5c7e2d44", Engine.RunOutcome.CRASHED, 5, bytes(""));
        assertEquals("FAILED RAN", answers.got.get(3));
    }
}
