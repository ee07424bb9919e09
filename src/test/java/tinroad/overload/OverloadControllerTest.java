package tinroad.overload;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static tinroad.overload.Fixture.FREE;
import static tinroad.overload.Fixture.GUARDED;
import static tinroad.overload.Fixture.ONCE;

import java.lang.reflect.Field;
import java.lang.reflect.Modifier;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import tinroad.overload.Controller.Actions;
import tinroad.overload.Controller.CancellationMode;
import tinroad.overload.Controller.Dependency;
import tinroad.overload.Controller.DependencyKind;
import tinroad.overload.Controller.Gauges;
import tinroad.overload.Controller.LoadHint;
import tinroad.overload.Controller.Outcome;

/** The module against a recording {@code Actions}: each part of the design and each guard. */
@SuppressWarnings("StringSplitter") // Recorded lines have a fixed form.
class OverloadControllerTest {
    private final Fixture f = new Fixture();

    private List<String> take() {
        return f.recorder.take();
    }

    // --- idle control ---

    @Test
    void startsHealthyWithTheCalmIdleTimeout() {
        f.begin();
        assertEquals(List.of("health true true", "idle 5000", "timer tick 20"), take());
    }

    @Test
    void idleTimeoutShrinksWhileConnectionsExceedTheirBaselineAndGrowsBack() {
        f.begin();
        take();
        f.after(8000);
        assertEquals(List.of(), f.recorder.take("idle"));
        f.after(1000, new Gauges(0.3, 1, 0.1, 200));
        assertEquals(1, f.recorder.take("idle").size());
        f.after(20000);
        List<String> back = f.recorder.take("idle");
        assertEquals("idle 5000", back.get(back.size() - 1));
    }

    @Test
    void clientsThatConnectOneByOneAfterTheStartAreNoExcess() {
        f.begin();
        take();
        for (int n = 1; n <= 5; n++) {
            f.after(1000, new Gauges(0.3, 1, 0.1, n * 10));
        }
        f.after(5000);
        assertEquals(List.of(), f.recorder.take("idle"));
    }

    @Test
    void idleTimeoutIsShortWhereClientsDoNotReturnAndLongWhereTheyDo() {
        f.begin();
        for (int i = 0; i < 200; i++) {
            f.requestBy("s" + i, 100 + i);
            f.after(100);
            f.ended("s" + i, Outcome.OK);
        }
        List<String> idle = f.recorder.take("idle");
        assertTrue(
                Double.parseDouble(idle.get(idle.size() - 1).substring(5)) < 1000, idle.toString());
        for (int i = 0; i < 200; i++) {
            f.requestBy("t" + i, i % 3);
            f.after(100);
            f.ended("t" + i, Outcome.OK);
        }
        idle = f.recorder.take("idle");
        assertEquals("idle 5000", idle.get(idle.size() - 1));
    }

    @Test
    void idleTimeoutShrinksWithRunLatencyDownToTheFloor() {
        f.begin();
        f.serveCalmly("a", FREE, 20, 100);
        take();
        f.serveCalmly("b", FREE, 12, 1000);
        List<String> idle = f.recorder.take("idle");
        double last = Double.parseDouble(idle.get(idle.size() - 1).substring(5));
        assertTrue(last < 3000 && last >= 1000, idle.toString());
    }

    @Test
    void keepsConnectionsOpenWhileRequestsAreReadLate() {
        f.begin();
        for (int i = 0; i < 200; i++) {
            f.requestBy("s" + i, 100 + i, 0);
            f.after(100);
            f.ended("s" + i, Outcome.OK);
        }
        assertTrue(lastIdle() < 1000);
        for (int i = 0; i < 50; i++) {
            f.requestBy("t" + i, 1000 + i, 500);
            f.after(100);
            f.ended("t" + i, Outcome.OK);
        }
        assertEquals(30000, lastIdle());
        for (int i = 0; i < 250; i++) {
            f.requestBy("u" + i, 2000 + i, 0);
            f.after(100);
            f.ended("u" + i, Outcome.OK);
        }
        assertTrue(lastIdle() < 1000);
    }

    private double lastIdle;

    private double lastIdle() {
        for (String action : f.recorder.take("idle")) {
            lastIdle = Double.parseDouble(action.substring(5));
        }
        return lastIdle;
    }

    @Test
    void neverClosesSoonerThanTheActionAllows() {
        f.callersIdle = 20;
        f.begin();
        f.controller.beginDraining(f.now, f.now + 3000);
        assertEquals(List.of("idle 20", "idle 20"), f.recorder.take("idle"));
    }

    @Test
    void stateIsBoundedForAnyNumberOfClientsAndRequests() throws IllegalAccessException {
        f.begin();
        for (int i = 0; i < 3000; i++) {
            f.requestBy("s" + i, i);
            f.after(100);
            f.ended("s" + i, Outcome.OK);
        }
        Map<String, Integer> sizes = new TreeMap<>();
        collectSizes(f.controller, sizes, Collections.newSetFromMap(new IdentityHashMap<>()));
        assertTrue(
                sizes.keySet()
                        .containsAll(
                                List.of(
                                        "DependencyCalls.lingeringUntilMillis",
                                        "DependencyCalls.waiting",
                                        "ExpiringSet.byExpiry",
                                        "ExpiringSet.entries",
                                        "IdleTimeoutControl.lastSeenMillis",
                                        "OverloadController.requests",
                                        "RequestQueue.queued",
                                        "RetryAfterSchedule.slotMillisByCaller")),
                sizes.toString());
        sizes.forEach((name, size) -> assertTrue(size <= 60, name + " holds " + size));
    }

    /** Sizes of all collections that the controller and its decision classes own, by field. */
    private static void collectSizes(Object owner, Map<String, Integer> sizes, Set<Object> seen)
            throws IllegalAccessException {
        if (!seen.add(owner)) {
            return;
        }
        for (Field field : owner.getClass().getDeclaredFields()) {
            if (Modifier.isStatic(field.getModifiers())) {
                continue;
            }
            field.setAccessible(true);
            Object value = field.get(owner);
            String name = owner.getClass().getSimpleName() + "." + field.getName();
            if (value instanceof Map<?, ?> map) {
                sizes.merge(name, map.size(), Math::max);
            } else if (value instanceof Collection<?> collection) {
                sizes.merge(name, collection.size(), Math::max);
            } else if (value != null
                    && value.getClass().getPackage() == OverloadController.class.getPackage()
                    && !(value instanceof Actions)) {
                collectSizes(value, sizes, seen);
            }
        }
    }

    @Test
    void slowFailingServerClosesAdmissionAndRecovers() {
        f.begin();
        f.serveCalmly("s", FREE, 20, 100);
        for (int i = 0; i < 14; i++) {
            f.request("bad" + i, FREE);
            f.after(800);
            f.ended("bad" + i, Outcome.FAILED);
        }
        f.after(20);
        assertTrue(take().contains("health false true"));
        for (int i = 0; i < 60; i++) {
            f.request("ok" + i, FREE);
            f.after(300);
            f.ended("ok" + i, Outcome.OK);
        }
        f.after(20000);
        List<String> lines = take();
        assertTrue(lines.contains("health true true"), lines.toString());
        f.request("x", FREE);
        f.request("y", FREE);
        assertEquals(List.of("run x", "run y"), f.recorder.take("run"));
    }

    @Test
    void hangDuringAColdStartIsDetectedAndRecovers() {
        f.cold = true;
        f.coldFrom = 0;
        f.begin();
        f.request("a", FREE);
        f.after(1500);
        f.request("b", FREE);
        f.after(2000);
        assertTrue(take().contains("health false true"));
        f.ended("a", Outcome.OK);
        f.after(20);
        assertTrue(take().contains("health true true"));
    }

    @Test
    void absentGaugesDoNoHarm() {
        f.begin();
        Gauges none = new Gauges(Double.NaN, Double.NaN, Double.NaN, Double.NaN);
        f.request("a", FREE);
        f.after(3000, none);
        assertEquals(List.of("run a"), f.recorder.take("run"));
    }

    // --- admission, hold and run ---

    @Test
    void runsUpToTheConcurrencyLimitAndQueuesTheRest() {
        f.begin();
        f.request("a", FREE);
        f.request("b", FREE);
        f.request("c", FREE);
        assertEquals(List.of("run a", "run b"), f.recorder.take("run"));
        f.ended("a", Outcome.OK);
        assertEquals(List.of("run c"), f.recorder.take("run"));
    }

    @Test
    void rejectsOnArrivalWhatWouldMissItsObjective() {
        f.begin();
        f.serveCalmly("s", FREE, 20, 300);
        take();
        for (int i = 0; i < 12; i++) {
            f.request("q" + i, FREE);
        }
        List<String> lines = take();
        assertTrue(lines.stream().anyMatch(l -> l.startsWith("refuse q11 ")), lines.toString());
        assertFalse(lines.stream().anyMatch(l -> l.startsWith("refuse q0 ")));
    }

    @Test
    void manyRetriesRaiseTheShareOfTheObjectiveThatMayBeUsed() {
        assertEquals(true, refusedBehindTwo(0, 0));
        assertEquals(false, refusedBehindTwo(150, 0));
        assertEquals(true, refusedBehindTwo(150, 300));
    }

    /**
     * Whether a request behind two runs is refused, after so many retries and then fresh requests.
     */
    private boolean refusedBehindTwo(int retries, int fresh) {
        Fixture g = new Fixture();
        g.begin();
        g.serveCalmly("s", FREE, 20, 500);
        for (int i = 0; i < retries + fresh; i++) {
            g.request("x" + i, FREE, 0, 0.9, null, 0, i < retries);
            g.after(500);
            g.ended("x" + i, Outcome.OK);
        }
        g.request("a", FREE);
        g.request("b", FREE);
        g.recorder.take();
        g.request("c", FREE);
        return !g.recorder.take("refuse").isEmpty();
    }

    @Test
    void withWeightByWorkALongClassIsNoLessUrgentThanAShortOne() {
        f.worthByWork = true;
        f.begin();
        f.serveCalmly("short", FREE, 40, 60);
        f.serveCalmly("long", ONCE, 40, 200);
        f.request("a", ONCE);
        f.request("b", ONCE);
        f.request("short", FREE);
        f.request("long", ONCE);
        take();
        f.ended("a", Outcome.OK);
        f.ended("b", Outcome.OK);
        assertEquals("run long", f.recorder.take("run").get(0));
    }

    @Test
    void rejectsARequestTooLargeForItsObjectiveOnBusyCores() {
        f.begin();
        f.request("a", FREE);
        f.request("b", FREE);
        take();
        f.requestOfWork("giant", 2000);
        assertEquals(1, f.recorder.take("refuse").size());
        f.requestOfWork("usual", 200);
        assertEquals(0, f.recorder.take("refuse").size());
    }

    @Test
    void failsAnOversizedRunPastItsObjectiveOnlyWhileOthersWait() {
        f.begin();
        f.request("a", FREE);
        f.serveCalmly("s", FREE, 24, 40);
        f.request("b", FREE);
        f.request("held", FREE);
        for (int i = 0; i < 10; i++) {
            f.request("missing" + i, FREE);
        }
        take();
        f.after(20);
        assertEquals(List.of(), f.recorder.take("fail"));
        f.after(40);
        List<String> lines = take();
        assertTrue(lines.contains("fail a") && lines.contains("halt a"), lines.toString());
        f.controller.completed(f.now, "a", 1040, Outcome.CANCELED);
        f.controller.completed(f.now, "b", 1040, Outcome.CANCELED);
        f.request("alone", FREE);
        take();
        f.after(1200);
        assertEquals(List.of(), f.recorder.take("fail"));
    }

    @Test
    void allowsMoreRunsWhileTheyWaitOffTheCores() {
        f.begin();
        f.request("a", FREE);
        f.request("b", FREE);
        f.after(200, new Gauges(0.95, 0.8, 0.1, 50));
        take();
        f.request("c", FREE);
        f.request("d", FREE);
        assertEquals(2, f.recorder.take("run").size());
        f.after(400, new Gauges(0.95, 6, 0.1, 50));
        f.ended("a", Outcome.OK);
        f.request("e", FREE);
        assertEquals(0, f.recorder.take("run").size());
    }

    @Test
    void withoutADeadlineAMarkedRetryHasSpentPartOfItsObjective() {
        f.passesDeadline = false;
        f.begin();
        f.serveCalmly("s", FREE, 30, 250);
        f.request("a", FREE);
        f.request("b", FREE);
        take();
        f.request("fresh", FREE, 0, 0.9, null, 0, false);
        assertEquals(List.of(), f.recorder.take("refuse"));
        f.controller.cancelled(f.now, "fresh");
        f.request("retry", FREE, 0, 0.9, null, 0, true);
        assertEquals(1, f.recorder.take("refuse").size());
    }

    @Test
    void higherWeightRunsFirst() {
        f.begin();
        f.request("a", FREE);
        f.request("b", FREE);
        f.request("c", FREE);
        f.request("d", GUARDED);
        take();
        f.after(200);
        f.ended("a", Outcome.OK);
        assertEquals(List.of("run d"), f.recorder.take("run"));
    }

    @Test
    void priorityCutoffRisesUnderPressureRejectsLowPriorityAndFalls() {
        f.say = LoadHint.MIN_RANK;
        f.begin();
        f.serveCalmly("s", FREE, 20, 300);
        f.request("r0", FREE);
        f.request("r1", FREE);
        for (int i = 0; i < 60; i++) {
            f.request("q" + i, FREE);
            f.after(20);
        }
        assertFalse(f.recorder.take("say").isEmpty());
        f.request("low", GUARDED, 0, 0.0, null, 0, false);
        assertEquals(
                1, f.recorder.take().stream().filter(l -> l.startsWith("refuse low ")).count());
        f.ended("r0", Outcome.OK);
        f.ended("r1", Outcome.OK);
        for (int i = 0; i < 60; i++) {
            f.ended("q" + i, Outcome.OK);
        }
        f.after(20000);
        List<String> said = f.recorder.take("say");
        assertEquals("say 0.00", said.get(said.size() - 1));
        f.request("low2", GUARDED, 0, 0.0, null, 0, false);
        assertEquals(List.of("run low2"), f.recorder.take("run"));
    }

    @Test
    void freshRequestsRunBeforeRetriesOfTheSameWeight() {
        f.begin();
        f.request("a", FREE);
        f.request("b", FREE);
        f.request("again", FREE, 0, 0.9, null, 0, true);
        f.request("fresh", FREE);
        take();
        f.ended("a", Outcome.OK);
        assertEquals(List.of("run fresh"), f.recorder.take("run"));
    }

    @Test
    void requestsOfATenantOverItsQuotaRunLater() {
        f.tenants = List.of(new Controller.Tenant(1, 0.5), new Controller.Tenant(1, 0.5));
        f.begin();
        for (int i = 0; i < 5; i++) {
            f.request("s" + i, FREE, 0, 0.9, null, 0, false);
        }
        f.request("other", FREE, 1, 0.9, null, 0, false);
        take();
        f.ended("s0", Outcome.OK);
        assertEquals(List.of("run other"), f.recorder.take("run"));
    }

    @Test
    void fewMoreRequestsOfOneTenantAreNotOverItsQuota() {
        f.tenants = List.of(new Controller.Tenant(1, 0.5), new Controller.Tenant(1, 0.5));
        f.begin();
        f.request("a", FREE);
        f.request("b", FREE);
        f.request("c", FREE);
        f.request("other", FREE, 1, 0.9, null, 0, false);
        take();
        f.ended("a", Outcome.OK);
        assertEquals(List.of("run c"), f.recorder.take("run"));
    }

    @Test
    void warmingUpServerRunsFewer() {
        f.cold = true;
        f.coldFrom = 0;
        f.begin();
        f.request("a", FREE);
        f.request("b", FREE);
        assertEquals(List.of("run a"), f.recorder.take("run"));
    }

    @Test
    void runsLongerThanExpectedRaiseTheEstimateUntilTheyEnd() {
        f.begin();
        f.serveCalmly("s", FREE, 20, 300);
        f.request("a", FREE);
        f.request("b", FREE);
        f.after(1200);
        take();
        f.request("c", FREE);
        assertEquals(1, f.recorder.take("refuse").size());
        f.ended("a", Outcome.OK);
        f.ended("b", Outcome.OK);
        f.after(20);
        f.request("d", FREE);
        assertEquals(List.of("run d"), f.recorder.take("run"));
    }

    @Test
    void clientTimeoutLongerThanUsualShowsASpentObjective() {
        f.begin();
        for (int i = 0; i < 15; i++) {
            f.controller.requestArrived(f.now, wait("s" + i, 2000));
            f.after(100);
            f.ended("s" + i, Outcome.OK);
        }
        f.request("busy", FREE);
        take();
        f.controller.requestArrived(f.now, wait("fresh", 2000));
        f.controller.requestArrived(f.now, wait("spent", 2700));
        List<String> lines = take();
        assertTrue(lines.contains("run fresh"), lines.toString());
        assertTrue(lines.stream().anyMatch(l -> l.startsWith("refuse spent ")), lines.toString());
    }

    @Test
    void usualClientTimeoutsAreLearnedOverManyClientsEachSeenOnce() {
        f.begin();
        for (int i = 0; i < 30; i++) {
            f.controller.requestArrived(f.now, wait("s" + i, i, i % 3 == 0 ? 2400 : 2000));
            f.after(100);
            f.ended("s" + i, Outcome.OK);
        }
        f.request("busy", FREE);
        take();
        f.controller.requestArrived(f.now, wait("one", 50, 2400));
        f.controller.requestArrived(f.now, wait("last", 51, 3000));
        List<String> lines = take();
        assertTrue(lines.contains("run one"), lines.toString());
        assertTrue(lines.stream().anyMatch(l -> l.startsWith("refuse last ")), lines.toString());
    }

    private Controller.Request wait(String id, double wait) {
        return wait(id, 1, wait);
    }

    private Controller.Request wait(String id, int caller, double wait) {
        return new Controller.Request(
                id, FREE, 0, caller, 20, f.now + wait, 0, 0.9, 0, null, null, false, false);
    }

    // --- refusals ---

    /**
     * The refusals of a burst of 12 on two cores, the last of them perhaps a retry; runs take 300
     * ms.
     */
    private List<String> refusalsOfABurst(boolean lastIsRetry) {
        f.begin();
        f.serveCalmly("s", FREE, 20, 300);
        take();
        for (int i = 0; i < 12; i++) {
            f.request("q" + i, FREE, 0, 0.9, null, 0, lastIsRetry && i == 11);
        }
        return f.recorder.take("refuse");
    }

    @Test
    void retryAfterUnderLoadIsTheTimeOfTheQueuedWork() {
        List<String> refusals = refusalsOfABurst(false);
        int held = 12 - 2 - refusals.size();
        assertEquals(2, held);
        String last = refusals.get(refusals.size() - 1);
        assertTrue(last.startsWith("refuse q11 ") && last.endsWith(" false"), last);
        assertEquals(held * 300 / 2.0, adviceOf(last), 10);
    }

    @Test
    void retryAfterGrowsWithTheReadDelayUpToItsMaximum() {
        refusalsOfABurst(false);
        f.request("old", FREE, 0, 0.9, null, 200, false);
        f.request("older", FREE, 0, 0.9, null, 900, false);
        List<String> refusals = f.recorder.take("refuse");
        assertEquals(2, refusals.size());
        assertTrue(
                adviceOf(refusals.get(0)) >= 200 && adviceOf(refusals.get(0)) < 500,
                refusals.toString());
        assertEquals(500, adviceOf(refusals.get(1)));
    }

    private static int adviceOf(String refusal) {
        return Integer.parseInt(refusal.split(" ")[2]);
    }

    @Test
    void rejectedRetryIsAskedNotToRetryAgain() {
        List<String> refusals = refusalsOfABurst(true);
        assertTrue(
                refusals.stream().anyMatch(l -> l.startsWith("refuse q11 ") && l.endsWith(" true")),
                refusals.toString());
        assertTrue(refusals.stream().anyMatch(l -> l.endsWith(" false")), refusals.toString());
    }

    @Test
    void withUnmarkedRetriesRejectionsUnderLoadAskNotToRetryElsewhere() {
        f.marksRetry = false;
        List<String> refusals = refusalsOfABurst(false);
        assertFalse(refusals.isEmpty());
        assertTrue(refusals.stream().allMatch(l -> l.endsWith(" true")), refusals.toString());
    }

    // --- health ---

    private void failAllOf(int requests) {
        for (int i = 0; i < requests; i++) {
            f.request("a" + i, FREE);
            f.after(20);
            f.ended("a" + i, Outcome.FAILED);
        }
        f.after(20);
    }

    @Test
    void failingServerWithoutArrivalsBecomesHealthyByItself() {
        f.begin();
        failAllOf(80);
        assertTrue(take().contains("health false true"));
        f.after(10000);
        List<String> lines = take();
        assertTrue(
                lines.contains("health true true") && lines.contains("log admission open again"),
                lines.toString());
    }

    @Test
    void serverThatFailsInPartStaysHealthy() {
        f.begin();
        for (int i = 0; i < 80; i++) {
            f.request("a" + i, FREE);
            f.after(20);
            f.ended("a" + i, i % 3 == 2 ? Outcome.OK : Outcome.FAILED);
        }
        f.after(20);
        List<String> lines = take();
        assertTrue(lines.contains("log admission closed: runs fail"), lines.toString());
        assertFalse(lines.contains("health false true"), lines.toString());
    }

    @Test
    void failingRunsCloseAdmissionButForTrialRequestsWhichReopenIt() {
        f.begin();
        failAllOf(80);
        List<String> lines = take();
        assertTrue(lines.contains("health false true"), lines.toString());
        f.after(300);
        f.request("p", FREE);
        f.request("x", FREE);
        assertEquals(List.of("run p"), f.recorder.take("run"));
        for (int i = 0; i < 30; i++) {
            f.request("b" + i, FREE);
            f.after(40);
            f.ended("b" + i, Outcome.OK);
        }
        f.ended("p", Outcome.OK);
        f.after(20);
        assertTrue(take().contains("health true true"));
    }

    /** What lies behind all servers fails: what is refused everywhere is tried everywhere. */
    @Test
    void failingServerWithGrowingArrivalsStaysHealthy() {
        f.begin();
        f.serveCalmly("s", FREE, 100, 40);
        take();
        for (int i = 0; i < 600; i++) {
            f.request("a" + i, FREE);
            f.request("b" + i, FREE);
            f.after(20);
            f.ended("a" + i, Outcome.FAILED);
            f.ended("b" + i, Outcome.FAILED);
        }
        List<String> lines = take();
        assertTrue(lines.contains("log admission closed: runs fail"), lines.toString());
        assertFalse(lines.contains("health false true"));
        // Nobody asks any more, and nothing ends: the evidence fades.
        f.after(10_000);
        lines = take();
        assertTrue(lines.contains("log admission open again"), lines.toString());
    }

    @Test
    void spreadsRetryAfterOverClientsWhileAdmissionIsClosed() {
        f.begin();
        failAllOf(80);
        take();
        List<Double> told = new ArrayList<>();
        for (int caller = 0; caller < 8; caller++) {
            f.requestBy("x" + caller, 100 + caller);
            told.addAll(
                    f.recorder.take("refuse").stream()
                            .map(l -> Double.parseDouble(l.split(" ")[2]))
                            .toList());
        }
        assertTrue(
                told.size() >= 7 && told.stream().distinct().count() == told.size(),
                told.toString());
        assertTrue(told.stream().allMatch(ms -> ms >= 200 && ms <= 600), told.toString());
    }

    @Test
    void hangClosesAdmissionUntilARunCompletes() {
        f.begin();
        f.serveCalmly("s", FREE, 5, 100);
        f.request("a", FREE);
        f.request("b", FREE);
        f.after(2000);
        List<String> lines = take();
        assertTrue(lines.contains("health false true"), lines.toString());
        f.ended("a", Outcome.OK);
        f.after(20);
        assertTrue(take().contains("health true true"));
    }

    @Test
    void oneShortFirstRunDoesNotMakeUsualOnesLookHung() {
        f.begin();
        f.serveCalmly("tiny", FREE, 1, 20);
        f.request("a", FREE);
        f.request("b", FREE);
        f.after(500);
        assertFalse(take().contains("health false true"));
        f.request("c", FREE);
        assertEquals(List.of(), f.recorder.take("refuse"));
    }

    @Test
    void oneOversizedRequestIsNoHangAndLeavesTheOtherCoreInUse() {
        f.begin();
        f.serveCalmly("s", FREE, 20, 100);
        f.request("giant", FREE);
        f.after(3000);
        assertFalse(take().contains("health false true"));
        f.request("next", FREE);
        assertEquals(List.of("run next"), f.recorder.take("run"));
    }

    @Test
    void threeFailuresInARowDoNotCloseAdmission() {
        f.begin();
        f.serveCalmly("s", FREE, 5, 100);
        for (int i = 0; i < 3; i++) {
            f.request("a" + i, FREE);
            f.after(100);
            f.ended("a" + i, Outcome.FAILED);
        }
        f.after(20);
        assertFalse(take().contains("health false true"));
    }

    // --- guards ---

    @Test
    void answersRunningRequestsBeforeTheirDeadline() {
        f.begin();
        f.request("a", GUARDED);
        f.after(3920);
        assertFalse(take().contains("fail a"));
        f.after(60);
        List<String> lines = take();
        assertTrue(lines.contains("fail a"), lines.toString());
        assertTrue(lines.contains("halt a"), lines.toString());
    }

    @Test
    void neverCancelsWhereCancellationIsNotPossible() {
        f.halt = CancellationMode.NONE;
        f.begin();
        f.request("a", FREE);
        f.after(4000);
        f.controller.cancelled(f.now, "a");
        assertTrue(take().stream().noneMatch(l -> l.startsWith("halt")));
    }

    @Test
    void withoutADeadlineTheClassDeadlineFromArrivalCounts() {
        f.passesDeadline = false;
        f.begin();
        f.request("a", FREE, 0, 0.9, null, 1000, false);
        f.after(2990);
        assertTrue(take().contains("fail a"));
    }

    @Test
    void retainsKeysForTheWholeWindowAndJoinsDuplicates() {
        f.begin();
        f.request("a", GUARDED);
        assertTrue(take().contains("keep a 9005"));
        f.request("b", GUARDED, "a");
        assertEquals(List.of("reuse b"), take());
        f.after(4000);
        assertTrue(take().contains("fail b"));
    }

    @Test
    void rejectsARequestWhoseKeyDoesNotFitIntoMemory() {
        f.memoryKb = 40;
        f.begin();
        f.request("a", GUARDED);
        List<String> lines = take();
        assertTrue(lines.contains("refuse a 0 false"), lines.toString());
        assertTrue(lines.stream().noneMatch(l -> l.startsWith("run")));
    }

    @Test
    void runsOnlyWhatFitsIntoMemory() {
        f.memoryKb = 150;
        f.begin();
        f.request("a", FREE);
        f.request("b", FREE);
        assertEquals(List.of("run a"), f.recorder.take("run"));
    }

    @Test
    void releasesKeysOfRequestsThatNeverRan() {
        f.begin();
        f.request("a", FREE);
        f.request("b", FREE);
        f.request("c", GUARDED);
        f.controller.cancelled(f.now, "c");
        assertTrue(take().contains("forget c"));
    }

    @Test
    void nonIdempotentRequestRunsOnceWithoutAKey() {
        f.begin();
        f.request("a", ONCE);
        assertEquals(
                List.of("run a"),
                take().stream()
                        .filter(
                                l ->
                                        !l.startsWith("health")
                                                && !l.startsWith("idle")
                                                && !l.startsWith("timer"))
                        .toList());
    }

    @Test
    void sharedReadsAreRetainedAndJoined() {
        f.freshFor = 500;
        f.begin();
        f.request("a", FREE);
        assertTrue(take().contains("keep a 4500"));
        f.request("b", FREE, "a");
        assertEquals(List.of("reuse b"), take());
    }

    @Test
    void rejectsWhatArrivesAfterTheGracePeriodAndAnswersAllBeforeTheShutdown() {
        f.begin();
        f.request("old", FREE);
        f.controller.beginDraining(f.now, f.now + 3000);
        List<String> lines = take();
        assertTrue(
                lines.contains("health false true") && lines.contains("idle 1000"),
                lines.toString());
        f.after(2100);
        take();
        f.request("new", FREE);
        assertEquals(List.of("refuse new 1000 false"), take());
        f.after(880);
        assertTrue(take().contains("fail old"));
    }

    @Test
    void eventsForUnknownRequestsDoNoHarm() {
        f.begin();
        take();
        f.ended("nobody", Outcome.OK);
        f.controller.dependencyCallNeeded(f.now, "nobody");
        f.controller.dependencyCallCompleted(f.now, "nobody", 5, Outcome.OK);
        f.controller.cancelled(f.now, "nobody");
        assertEquals(List.of(), take());
    }

    // --- calls below ---

    private Fixture withDependency() {
        f.below = new Dependency(DependencyKind.SHARED, 1.5, 1000, 200);
        return f.begin();
    }

    @Test
    void callsStayWithinTheQuotaAndTheTimeLeft() {
        withDependency();
        f.request("a", FREE);
        f.request("b", FREE);
        f.controller.dependencyCallNeeded(f.now, "a");
        f.controller.dependencyCallNeeded(f.now, "b");
        assertEquals(List.of("call a 3970"), f.recorder.take("call"));
        f.after(100);
        f.controller.dependencyCallCompleted(f.now, "a", 100, Outcome.OK);
        assertEquals(List.of("call b 3870"), f.recorder.take("call"));
    }

    private void needsCall(String id) {
        f.request(id, FREE);
        f.controller.dependencyCallNeeded(f.now, id);
    }

    private void calledIn(String id, double ms, Outcome outcome) {
        f.after(ms);
        f.controller.dependencyCallCompleted(f.now, id, ms, outcome);
    }

    @Test
    void timedOutCallsCountUntilTheyHaveLeftTheDependency() {
        f.below = new Dependency(DependencyKind.SHARED, 2.5, 5000, 200);
        f.begin();
        needsCall("a");
        needsCall("b");
        f.controller.dependencyCallCompleted(f.now, "a", 500, Outcome.TIMED_OUT);
        assertEquals(2, f.recorder.take("call").size());
        f.after(180);
        assertEquals(0, f.recorder.take("call").size());
        f.after(40);
        assertEquals(1, f.recorder.take("call").size());
    }

    @Test
    void quotaBelowOneCallIsSpentByTimeAndTheRestIsDegraded() {
        f.below = new Dependency(DependencyKind.SHARED, 0.5, 5000, 200);
        f.skipWorth = 0.5;
        f.begin();
        double[] inHand = new double[30];
        int skipped = 0;
        for (int i = 0; i < 75; i++) {
            needsCall("a" + i);
            f.after(30);
            boolean called = take().stream().anyMatch(action -> action.startsWith("call"));
            skipped += called ? 0 : 1;
            if (called) {
                calledIn("a" + i, 220, Outcome.OK);
                inHand[(int) ((f.now - 1000) / 1000)] += 250;
            }
            f.after(150);
            f.ended("a" + i, Outcome.OK);
        }
        assertTrue(skipped > 10, "skipped " + skipped);
        for (int t = 0; t + 5 <= inHand.length; t++) {
            double sum = inHand[t] + inHand[t + 1] + inHand[t + 2] + inHand[t + 3] + inHand[t + 4];
            assertTrue(sum <= 0.5 * 5000, "from second " + t + ": " + sum);
        }
    }

    @Test
    void slowDependencyGetsFewerConcurrentCallsUntilItIsQuickAgain() {
        f.below = new Dependency(DependencyKind.SHARED, 20, 5000, 200);
        f.skipWorth = 0.5;
        f.begin();
        assertEquals(3, callsOfThree("calm", 20));
        for (int i = 0; i < 12; i++) {
            needsCall("slow" + i);
            calledIn("slow" + i, 260, Outcome.TIMED_OUT);
            f.ended("slow" + i, Outcome.OK);
        }
        assertEquals(1, callsOfThree("pressed", 20));
        for (int i = 0; i < 12; i++) {
            needsCall("quick" + i);
            calledIn("quick" + i, 20, Outcome.OK);
            f.ended("quick" + i, Outcome.OK);
        }
        assertEquals(3, callsOfThree("again", 20));
    }

    private int callsOfThree(String prefix, double ms) {
        take();
        for (int i = 0; i < 3; i++) {
            needsCall(prefix + i);
        }
        int calls = f.recorder.take("call").size();
        f.after(ms);
        for (int i = 0; i < 3; i++) {
            f.controller.dependencyCallCompleted(f.now, prefix + i, ms, Outcome.OK);
            f.ended(prefix + i, Outcome.OK);
        }
        return calls;
    }

    @Test
    void timeInCallsIsNoSlowdownOfThisServer() {
        f.below = new Dependency(DependencyKind.SHARED, 20, 5000, 200);
        f.begin();
        f.serveCalmly("s", FREE, 40, 100);
        f.after(4000);
        take();
        for (int i = 0; i < 20; i++) {
            f.request("r" + i, FREE);
            f.after(60);
            f.controller.dependencyCallNeeded(f.now, "r" + i);
            calledIn("r" + i, 700, Outcome.OK);
            f.after(40);
            f.ended("r" + i, Outcome.OK);
        }
        assertEquals(List.of(), f.recorder.take("idle"));
    }

    @Test
    void runsPausedForCallsCountTowardsTheConcurrency() {
        withDependency();
        for (int i = 0; i < 8; i++) {
            f.request("a" + i, FREE);
            f.controller.dependencyCallNeeded(f.now, "a" + i);
        }
        assertEquals(6, f.recorder.take("run").size());
    }

    @Test
    void unknownMemoryIsNoLimit() {
        f.memoryKb = 0;
        f.begin();
        f.request("a", GUARDED);
        assertTrue(take().contains("run a"));
    }

    @Test
    void retriesACallOfANonIdempotentClassOnlyIfItNeverRan() {
        withDependency();
        f.request("a", GUARDED);
        f.controller.dependencyCallNeeded(f.now, "a");
        f.controller.dependencyCallCompleted(f.now, "a", 10, Outcome.QUEUE_FULL);
        f.after(20);
        assertEquals(2, f.recorder.take("call").size());
        f.controller.dependencyCallCompleted(f.now, "a", 10, Outcome.TIMED_OUT);
        f.after(20);
        List<String> lines = take();
        assertTrue(lines.contains("fail a"), lines.toString());
        assertTrue(lines.stream().noneMatch(l -> l.startsWith("call")));
    }

    @Test
    void skipsAFailedCallWhereADegradedAnswerHasWeight() {
        f.skipWorth = 0.5;
        withDependency();
        f.request("a", FREE);
        f.controller.dependencyCallNeeded(f.now, "a");
        f.controller.dependencyCallCompleted(f.now, "a", 10, Outcome.FAILED);
        assertTrue(take().contains("skip a"));
    }

    /**
     * How many requests run or are paused for a call at once, after so many replayed duplicates.
     */
    private static long concurrencyOfAColdServer(int duplicates) {
        Fixture server = new Fixture();
        server.cold = true;
        server.begin();
        server.request("original", FREE);
        server.ended("original", Outcome.OK);
        for (int i = 0; i < duplicates; i++) {
            server.request("duplicate" + i, FREE, "original");
            server.ended("duplicate" + i, Outcome.OK);
        }
        for (int i = 0; i < 20; i++) {
            server.request("request" + i, FREE);
            server.controller.dependencyCallNeeded(server.now, "request" + i);
        }
        return server.recorder.lines.stream()
                .filter(line -> line.startsWith("run request"))
                .count();
    }

    @Test
    void replayedDuplicatesDoNotRaiseTheConcurrencyOfAColdServer() {
        assertEquals(concurrencyOfAColdServer(0), concurrencyOfAColdServer(5));
    }
}
