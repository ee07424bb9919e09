package tinroad.overload;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static tinroad.overload.Fixture.IDEMPOTENT_CLASS;
import static tinroad.overload.Fixture.KEYED_CLASS;
import static tinroad.overload.Fixture.NON_IDEMPOTENT_CLASS;

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

/**
 * Tests the decisions of the controller, each part of the design and each guard, with recorded
 * actions.
 */
@SuppressWarnings("StringSplitter") // Recorded lines have a fixed format.
class OverloadControllerTest {
    private final Fixture f = new Fixture();

    private List<String> take() {
        return f.recorder.take();
    }

    // --- idle timeout ---

    @Test
    void startsHealthyWithTheCalmIdleTimeout() {
        f.begin();
        assertEquals(List.of("health true true", "idle 5000", "timer tick 20"), take());
    }

    @Test
    void idleTimeoutShrinksWhileConnectionsExceedTheirBaselineAndGrowsBack() {
        f.begin();
        take();
        f.advance(8000);
        assertEquals(List.of(), f.recorder.take("idle"));
        f.advance(1000, new Gauges(0.3, 1, 0.1, 200));
        assertEquals(1, f.recorder.take("idle").size());
        f.advance(20000);
        List<String> idleLines = f.recorder.take("idle");
        assertEquals("idle 5000", idleLines.get(idleLines.size() - 1));
    }

    @Test
    void clientsThatConnectOneByOneAfterTheStartAreNoExcess() {
        f.begin();
        take();
        for (int n = 1; n <= 5; n++) {
            f.advance(1000, new Gauges(0.3, 1, 0.1, n * 10));
        }
        f.advance(5000);
        assertEquals(List.of(), f.recorder.take("idle"));
    }

    @Test
    void idleTimeoutIsShortWhereClientsDoNotReturnAndLongWhereTheyDo() {
        f.begin();
        for (int i = 0; i < 200; i++) {
            f.requestBy("s" + i, 100 + i);
            f.advance(100);
            f.complete("s" + i, Outcome.OK);
        }
        List<String> idle = f.recorder.take("idle");
        assertTrue(
                Double.parseDouble(idle.get(idle.size() - 1).substring(5)) < 1000, idle.toString());
        for (int i = 0; i < 200; i++) {
            f.requestBy("t" + i, i % 3);
            f.advance(100);
            f.complete("t" + i, Outcome.OK);
        }
        idle = f.recorder.take("idle");
        assertEquals("idle 5000", idle.get(idle.size() - 1));
    }

    @Test
    void idleTimeoutShrinksWithRunLatencyDownToTheFloor() {
        f.begin();
        f.serveCalmly("a", IDEMPOTENT_CLASS, 20, 100);
        take();
        f.serveCalmly("b", IDEMPOTENT_CLASS, 12, 1000);
        List<String> idle = f.recorder.take("idle");
        double last = Double.parseDouble(idle.get(idle.size() - 1).substring(5));
        assertTrue(last < 3000 && last >= 1000, idle.toString());
    }

    @Test
    void keepsConnectionsOpenWhileRequestsAreReadLate() {
        f.begin();
        for (int i = 0; i < 200; i++) {
            f.requestBy("s" + i, 100 + i, 0);
            f.advance(100);
            f.complete("s" + i, Outcome.OK);
        }
        assertTrue(lastIdleMillis() < 1000);
        for (int i = 0; i < 50; i++) {
            f.requestBy("t" + i, 1000 + i, 500);
            f.advance(100);
            f.complete("t" + i, Outcome.OK);
        }
        assertEquals(30000, lastIdleMillis());
        for (int i = 0; i < 250; i++) {
            f.requestBy("u" + i, 2000 + i, 0);
            f.advance(100);
            f.complete("u" + i, Outcome.OK);
        }
        assertTrue(lastIdleMillis() < 1000);
    }

    private double lastIdleMillis;

    private double lastIdleMillis() {
        for (String action : f.recorder.take("idle")) {
            lastIdleMillis = Double.parseDouble(action.substring(5));
        }
        return lastIdleMillis;
    }

    @Test
    void neverClosesSoonerThanTheActionAllows() {
        f.clientIdleTimeoutMillis = 20;
        f.begin();
        f.controller.beginDraining(f.nowMillis, f.nowMillis + 3000);
        assertEquals(List.of("idle 20", "idle 20"), f.recorder.take("idle"));
    }

    @Test
    void stateIsBoundedForAnyNumberOfClientsAndRequests() throws IllegalAccessException {
        f.begin();
        for (int i = 0; i < 3000; i++) {
            f.requestBy("s" + i, i);
            f.advance(100);
            f.complete("s" + i, Outcome.OK);
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

    /**
     * Collects the sizes of all collections that the controller and its decision classes own, by
     * field.
     */
    private static void collectSizes(Object owner, Map<String, Integer> sizes, Set<Object> visited)
            throws IllegalAccessException {
        if (!visited.add(owner)) {
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
                collectSizes(value, sizes, visited);
            }
        }
    }

    @Test
    void slowFailingServerClosesAdmissionAndRecovers() {
        f.begin();
        f.serveCalmly("s", IDEMPOTENT_CLASS, 20, 100);
        for (int i = 0; i < 14; i++) {
            f.request("bad" + i, IDEMPOTENT_CLASS);
            f.advance(800);
            f.complete("bad" + i, Outcome.FAILED);
        }
        f.advance(20);
        assertTrue(take().contains("health false true"));
        for (int i = 0; i < 60; i++) {
            f.request("ok" + i, IDEMPOTENT_CLASS);
            f.advance(300);
            f.complete("ok" + i, Outcome.OK);
        }
        f.advance(20000);
        List<String> lines = take();
        assertTrue(lines.contains("health true true"), lines.toString());
        f.request("x", IDEMPOTENT_CLASS);
        f.request("y", IDEMPOTENT_CLASS);
        assertEquals(List.of("run x", "run y"), f.recorder.take("run"));
    }

    @Test
    void hangDuringAColdStartIsDetectedAndRecovers() {
        f.coldStart = true;
        f.coldStartSpeedShare = 0;
        f.begin();
        f.request("a", IDEMPOTENT_CLASS);
        f.advance(1500);
        f.request("b", IDEMPOTENT_CLASS);
        f.advance(2000);
        assertTrue(take().contains("health false true"));
        f.complete("a", Outcome.OK);
        f.advance(20);
        assertTrue(take().contains("health true true"));
    }

    @Test
    void absentGaugesDoNoHarm() {
        f.begin();
        Gauges absentGauges = new Gauges(Double.NaN, Double.NaN, Double.NaN, Double.NaN);
        f.request("a", IDEMPOTENT_CLASS);
        f.advance(3000, absentGauges);
        assertEquals(List.of("run a"), f.recorder.take("run"));
    }

    // --- admission, queue and runs ---

    @Test
    void runsUpToTheConcurrencyLimitAndQueuesTheRest() {
        f.begin();
        f.request("a", IDEMPOTENT_CLASS);
        f.request("b", IDEMPOTENT_CLASS);
        f.request("c", IDEMPOTENT_CLASS);
        assertEquals(List.of("run a", "run b"), f.recorder.take("run"));
        f.complete("a", Outcome.OK);
        assertEquals(List.of("run c"), f.recorder.take("run"));
    }

    @Test
    void rejectsOnArrivalWhatWouldMissItsObjective() {
        f.begin();
        f.serveCalmly("s", IDEMPOTENT_CLASS, 20, 300);
        take();
        for (int i = 0; i < 12; i++) {
            f.request("q" + i, IDEMPOTENT_CLASS);
        }
        List<String> lines = take();
        assertTrue(lines.stream().anyMatch(l -> l.startsWith("refuse q11 ")), lines.toString());
        assertFalse(lines.stream().anyMatch(l -> l.startsWith("refuse q0 ")));
    }

    @Test
    void manyRetriesRaiseTheShareOfTheObjectiveThatMayBeUsed() {
        assertEquals(true, isRejectedBehindTwoRuns(0, 0));
        assertEquals(false, isRejectedBehindTwoRuns(150, 0));
        assertEquals(true, isRejectedBehindTwoRuns(150, 300));
    }

    /**
     * Whether a request behind two runs is rejected, after this many retries and then this many
     * fresh requests.
     */
    private boolean isRejectedBehindTwoRuns(int retryCount, int freshCount) {
        Fixture fixture = new Fixture();
        fixture.begin();
        fixture.serveCalmly("s", IDEMPOTENT_CLASS, 20, 500);
        for (int i = 0; i < retryCount + freshCount; i++) {
            fixture.request("x" + i, IDEMPOTENT_CLASS, 0, 0.9, null, 0, i < retryCount);
            fixture.advance(500);
            fixture.complete("x" + i, Outcome.OK);
        }
        fixture.request("a", IDEMPOTENT_CLASS);
        fixture.request("b", IDEMPOTENT_CLASS);
        fixture.recorder.take();
        fixture.request("c", IDEMPOTENT_CLASS);
        return !fixture.recorder.take("refuse").isEmpty();
    }

    @Test
    void withWeightByWorkALongClassIsNoLessUrgentThanAShortOne() {
        f.weightByWork = true;
        f.begin();
        f.serveCalmly("short", IDEMPOTENT_CLASS, 40, 60);
        f.serveCalmly("long", NON_IDEMPOTENT_CLASS, 40, 200);
        f.request("a", NON_IDEMPOTENT_CLASS);
        f.request("b", NON_IDEMPOTENT_CLASS);
        f.request("short", IDEMPOTENT_CLASS);
        f.request("long", NON_IDEMPOTENT_CLASS);
        take();
        f.complete("a", Outcome.OK);
        f.complete("b", Outcome.OK);
        assertEquals("run long", f.recorder.take("run").get(0));
    }

    @Test
    void rejectsARequestTooLargeForItsObjectiveOnBusyCores() {
        f.begin();
        f.request("a", IDEMPOTENT_CLASS);
        f.request("b", IDEMPOTENT_CLASS);
        take();
        f.requestOfWork("giant", 2000);
        assertEquals(1, f.recorder.take("refuse").size());
        f.requestOfWork("usual", 200);
        assertEquals(0, f.recorder.take("refuse").size());
    }

    @Test
    void failsAnOversizedRunPastItsObjectiveOnlyWhileOthersWait() {
        f.begin();
        f.request("a", IDEMPOTENT_CLASS);
        f.serveCalmly("s", IDEMPOTENT_CLASS, 24, 40);
        f.request("b", IDEMPOTENT_CLASS);
        f.request("held", IDEMPOTENT_CLASS);
        for (int i = 0; i < 10; i++) {
            f.request("missing" + i, IDEMPOTENT_CLASS);
        }
        take();
        f.advance(20);
        assertEquals(List.of(), f.recorder.take("fail"));
        f.advance(40);
        List<String> lines = take();
        assertTrue(lines.contains("fail a") && lines.contains("halt a"), lines.toString());
        f.controller.completed(f.nowMillis, "a", 1040, Outcome.CANCELED);
        f.controller.completed(f.nowMillis, "b", 1040, Outcome.CANCELED);
        f.request("alone", IDEMPOTENT_CLASS);
        take();
        f.advance(1200);
        assertEquals(List.of(), f.recorder.take("fail"));
    }

    @Test
    void allowsMoreRunsWhileTheyWaitOffTheCores() {
        f.begin();
        f.request("a", IDEMPOTENT_CLASS);
        f.request("b", IDEMPOTENT_CLASS);
        f.advance(200, new Gauges(0.95, 0.8, 0.1, 50));
        take();
        f.request("c", IDEMPOTENT_CLASS);
        f.request("d", IDEMPOTENT_CLASS);
        assertEquals(2, f.recorder.take("run").size());
        f.advance(400, new Gauges(0.95, 6, 0.1, 50));
        f.complete("a", Outcome.OK);
        f.request("e", IDEMPOTENT_CLASS);
        assertEquals(0, f.recorder.take("run").size());
    }

    @Test
    void withoutADeadlineAMarkedRetryHasSpentPartOfItsObjective() {
        f.requestsCarryDeadline = false;
        f.begin();
        f.serveCalmly("s", IDEMPOTENT_CLASS, 30, 250);
        f.request("a", IDEMPOTENT_CLASS);
        f.request("b", IDEMPOTENT_CLASS);
        take();
        f.request("fresh", IDEMPOTENT_CLASS, 0, 0.9, null, 0, false);
        assertEquals(List.of(), f.recorder.take("refuse"));
        f.controller.cancelled(f.nowMillis, "fresh");
        f.request("retry", IDEMPOTENT_CLASS, 0, 0.9, null, 0, true);
        assertEquals(1, f.recorder.take("refuse").size());
    }

    @Test
    void higherWeightRunsFirst() {
        f.begin();
        f.request("a", IDEMPOTENT_CLASS);
        f.request("b", IDEMPOTENT_CLASS);
        f.request("c", IDEMPOTENT_CLASS);
        f.request("d", KEYED_CLASS);
        take();
        f.advance(200);
        f.complete("a", Outcome.OK);
        assertEquals(List.of("run d"), f.recorder.take("run"));
    }

    @Test
    void priorityCutoffRisesUnderPressureRejectsLowPriorityAndFalls() {
        f.loadHint = LoadHint.MIN_RANK;
        f.begin();
        f.serveCalmly("s", IDEMPOTENT_CLASS, 20, 300);
        f.request("r0", IDEMPOTENT_CLASS);
        f.request("r1", IDEMPOTENT_CLASS);
        for (int i = 0; i < 60; i++) {
            f.request("q" + i, IDEMPOTENT_CLASS);
            f.advance(20);
        }
        assertFalse(f.recorder.take("say").isEmpty());
        f.request("low", KEYED_CLASS, 0, 0.0, null, 0, false);
        assertEquals(
                1, f.recorder.take().stream().filter(l -> l.startsWith("refuse low ")).count());
        f.complete("r0", Outcome.OK);
        f.complete("r1", Outcome.OK);
        for (int i = 0; i < 60; i++) {
            f.complete("q" + i, Outcome.OK);
        }
        f.advance(20000);
        List<String> loadHints = f.recorder.take("say");
        assertEquals("say 0.00", loadHints.get(loadHints.size() - 1));
        f.request("low2", KEYED_CLASS, 0, 0.0, null, 0, false);
        assertEquals(List.of("run low2"), f.recorder.take("run"));
    }

    @Test
    void freshRequestsRunBeforeRetriesOfTheSameWeight() {
        f.begin();
        f.request("a", IDEMPOTENT_CLASS);
        f.request("b", IDEMPOTENT_CLASS);
        f.request("again", IDEMPOTENT_CLASS, 0, 0.9, null, 0, true);
        f.request("fresh", IDEMPOTENT_CLASS);
        take();
        f.complete("a", Outcome.OK);
        assertEquals(List.of("run fresh"), f.recorder.take("run"));
    }

    @Test
    void requestsOfATenantOverItsQuotaRunLater() {
        f.tenants = List.of(new Controller.Tenant(1, 0.5), new Controller.Tenant(1, 0.5));
        f.begin();
        for (int i = 0; i < 5; i++) {
            f.request("s" + i, IDEMPOTENT_CLASS, 0, 0.9, null, 0, false);
        }
        f.request("other", IDEMPOTENT_CLASS, 1, 0.9, null, 0, false);
        take();
        f.complete("s0", Outcome.OK);
        assertEquals(List.of("run other"), f.recorder.take("run"));
    }

    @Test
    void fewMoreRequestsOfOneTenantAreNotOverItsQuota() {
        f.tenants = List.of(new Controller.Tenant(1, 0.5), new Controller.Tenant(1, 0.5));
        f.begin();
        f.request("a", IDEMPOTENT_CLASS);
        f.request("b", IDEMPOTENT_CLASS);
        f.request("c", IDEMPOTENT_CLASS);
        f.request("other", IDEMPOTENT_CLASS, 1, 0.9, null, 0, false);
        take();
        f.complete("a", Outcome.OK);
        assertEquals(List.of("run c"), f.recorder.take("run"));
    }

    @Test
    void warmingUpServerRunsFewer() {
        f.coldStart = true;
        f.coldStartSpeedShare = 0;
        f.begin();
        f.request("a", IDEMPOTENT_CLASS);
        f.request("b", IDEMPOTENT_CLASS);
        assertEquals(List.of("run a"), f.recorder.take("run"));
    }

    @Test
    void runsLongerThanExpectedRaiseTheEstimateUntilTheyEnd() {
        f.begin();
        f.serveCalmly("s", IDEMPOTENT_CLASS, 20, 300);
        f.request("a", IDEMPOTENT_CLASS);
        f.request("b", IDEMPOTENT_CLASS);
        f.advance(1200);
        take();
        f.request("c", IDEMPOTENT_CLASS);
        assertEquals(1, f.recorder.take("refuse").size());
        f.complete("a", Outcome.OK);
        f.complete("b", Outcome.OK);
        f.advance(20);
        f.request("d", IDEMPOTENT_CLASS);
        assertEquals(List.of("run d"), f.recorder.take("run"));
    }

    @Test
    void clientTimeoutLongerThanUsualShowsASpentObjective() {
        f.begin();
        for (int i = 0; i < 15; i++) {
            f.controller.requestArrived(f.nowMillis, requestWithTimeout("s" + i, 2000));
            f.advance(100);
            f.complete("s" + i, Outcome.OK);
        }
        f.request("busy", IDEMPOTENT_CLASS);
        take();
        f.controller.requestArrived(f.nowMillis, requestWithTimeout("fresh", 2000));
        f.controller.requestArrived(f.nowMillis, requestWithTimeout("spent", 2700));
        List<String> lines = take();
        assertTrue(lines.contains("run fresh"), lines.toString());
        assertTrue(lines.stream().anyMatch(l -> l.startsWith("refuse spent ")), lines.toString());
    }

    @Test
    void usualClientTimeoutsAreLearnedOverManyClientsEachSeenOnce() {
        f.begin();
        for (int i = 0; i < 30; i++) {
            f.controller.requestArrived(
                    f.nowMillis, requestWithTimeout("s" + i, i, i % 3 == 0 ? 2400 : 2000));
            f.advance(100);
            f.complete("s" + i, Outcome.OK);
        }
        f.request("busy", IDEMPOTENT_CLASS);
        take();
        f.controller.requestArrived(f.nowMillis, requestWithTimeout("one", 50, 2400));
        f.controller.requestArrived(f.nowMillis, requestWithTimeout("last", 51, 3000));
        List<String> lines = take();
        assertTrue(lines.contains("run one"), lines.toString());
        assertTrue(lines.stream().anyMatch(l -> l.startsWith("refuse last ")), lines.toString());
    }

    private Controller.Request requestWithTimeout(String id, double timeoutMillis) {
        return requestWithTimeout(id, 1, timeoutMillis);
    }

    private Controller.Request requestWithTimeout(String id, int caller, double timeoutMillis) {
        return new Controller.Request(
                id,
                IDEMPOTENT_CLASS,
                0,
                caller,
                20,
                f.nowMillis + timeoutMillis,
                0,
                0.9,
                0,
                null,
                null,
                false,
                false);
    }

    // --- rejections ---

    /**
     * The rejections in a burst of 12 requests on two cores, the last of them a retry if {@code
     * lastIsRetry}. Runs take 300 ms.
     */
    private List<String> rejectionsOfABurst(boolean lastIsRetry) {
        f.begin();
        f.serveCalmly("s", IDEMPOTENT_CLASS, 20, 300);
        take();
        for (int i = 0; i < 12; i++) {
            f.request("q" + i, IDEMPOTENT_CLASS, 0, 0.9, null, 0, lastIsRetry && i == 11);
        }
        return f.recorder.take("refuse");
    }

    @Test
    void retryAfterUnderLoadIsTheTimeOfTheQueuedWork() {
        List<String> rejections = rejectionsOfABurst(false);
        int queuedRequests = 12 - 2 - rejections.size();
        assertEquals(2, queuedRequests);
        String last = rejections.get(rejections.size() - 1);
        assertTrue(last.startsWith("refuse q11 ") && last.endsWith(" false"), last);
        assertEquals(queuedRequests * 300 / 2.0, retryAfterMillisOf(last), 10);
    }

    @Test
    void retryAfterGrowsWithTheReadDelayUpToItsMaximum() {
        rejectionsOfABurst(false);
        f.request("old", IDEMPOTENT_CLASS, 0, 0.9, null, 200, false);
        f.request("older", IDEMPOTENT_CLASS, 0, 0.9, null, 900, false);
        List<String> rejections = f.recorder.take("refuse");
        assertEquals(2, rejections.size());
        assertTrue(
                retryAfterMillisOf(rejections.get(0)) >= 200
                        && retryAfterMillisOf(rejections.get(0)) < 500,
                rejections.toString());
        assertEquals(500, retryAfterMillisOf(rejections.get(1)));
    }

    private static int retryAfterMillisOf(String rejection) {
        return Integer.parseInt(rejection.split(" ")[2]);
    }

    @Test
    void rejectedRetryIsAskedNotToRetryAgain() {
        List<String> rejections = rejectionsOfABurst(true);
        assertTrue(
                rejections.stream()
                        .anyMatch(l -> l.startsWith("refuse q11 ") && l.endsWith(" true")),
                rejections.toString());
        assertTrue(rejections.stream().anyMatch(l -> l.endsWith(" false")), rejections.toString());
    }

    @Test
    void withUnmarkedRetriesRejectionsUnderLoadAskNotToRetryElsewhere() {
        f.requestsMarkRetries = false;
        List<String> rejections = rejectionsOfABurst(false);
        assertFalse(rejections.isEmpty());
        assertTrue(rejections.stream().allMatch(l -> l.endsWith(" true")), rejections.toString());
    }

    // --- health ---

    private void failRequests(int requests) {
        for (int i = 0; i < requests; i++) {
            f.request("a" + i, IDEMPOTENT_CLASS);
            f.advance(20);
            f.complete("a" + i, Outcome.FAILED);
        }
        f.advance(20);
    }

    @Test
    void failingServerWithoutArrivalsBecomesHealthyByItself() {
        f.begin();
        failRequests(80);
        assertTrue(take().contains("health false true"));
        f.advance(10000);
        List<String> lines = take();
        assertTrue(
                lines.contains("health true true") && lines.contains("log admission open again"),
                lines.toString());
    }

    @Test
    void serverThatFailsInPartStaysHealthy() {
        f.begin();
        for (int i = 0; i < 80; i++) {
            f.request("a" + i, IDEMPOTENT_CLASS);
            f.advance(20);
            f.complete("a" + i, i % 3 == 2 ? Outcome.OK : Outcome.FAILED);
        }
        f.advance(20);
        List<String> lines = take();
        assertTrue(lines.contains("log admission closed: runs fail"), lines.toString());
        assertFalse(lines.contains("health false true"), lines.toString());
    }

    @Test
    void failingRunsCloseAdmissionButForTrialRequestsWhichReopenIt() {
        f.begin();
        failRequests(80);
        List<String> lines = take();
        assertTrue(lines.contains("health false true"), lines.toString());
        f.advance(300);
        f.request("p", IDEMPOTENT_CLASS);
        f.request("x", IDEMPOTENT_CLASS);
        assertEquals(List.of("run p"), f.recorder.take("run"));
        for (int i = 0; i < 30; i++) {
            f.request("b" + i, IDEMPOTENT_CLASS);
            f.advance(40);
            f.complete("b" + i, Outcome.OK);
        }
        f.complete("p", Outcome.OK);
        f.advance(20);
        assertTrue(take().contains("health true true"));
    }

    /**
     * A dependency of all servers fails: clients retry everywhere what is rejected everywhere, so
     * arrivals grow.
     */
    @Test
    void failingServerWithGrowingArrivalsStaysHealthy() {
        f.begin();
        f.serveCalmly("s", IDEMPOTENT_CLASS, 100, 40);
        take();
        for (int i = 0; i < 600; i++) {
            f.request("a" + i, IDEMPOTENT_CLASS);
            f.request("b" + i, IDEMPOTENT_CLASS);
            f.advance(20);
            f.complete("a" + i, Outcome.FAILED);
            f.complete("b" + i, Outcome.FAILED);
        }
        List<String> lines = take();
        assertTrue(lines.contains("log admission closed: runs fail"), lines.toString());
        assertFalse(lines.contains("health false true"));
        // Nothing arrives and no run completes any more, so the share of failed runs decays.
        f.advance(10_000);
        lines = take();
        assertTrue(lines.contains("log admission open again"), lines.toString());
    }

    @Test
    void spreadsRetryAfterOverClientsWhileAdmissionIsClosed() {
        f.begin();
        failRequests(80);
        take();
        List<Double> retryAfters = new ArrayList<>();
        for (int caller = 0; caller < 8; caller++) {
            f.requestBy("x" + caller, 100 + caller);
            retryAfters.addAll(
                    f.recorder.take("refuse").stream()
                            .map(l -> Double.parseDouble(l.split(" ")[2]))
                            .toList());
        }
        assertTrue(
                retryAfters.size() >= 7
                        && retryAfters.stream().distinct().count() == retryAfters.size(),
                retryAfters.toString());
        assertTrue(
                retryAfters.stream().allMatch(millis -> millis >= 200 && millis <= 600),
                retryAfters.toString());
    }

    @Test
    void hangClosesAdmissionUntilARunCompletes() {
        f.begin();
        f.serveCalmly("s", IDEMPOTENT_CLASS, 5, 100);
        f.request("a", IDEMPOTENT_CLASS);
        f.request("b", IDEMPOTENT_CLASS);
        f.advance(2000);
        List<String> lines = take();
        assertTrue(lines.contains("health false true"), lines.toString());
        f.complete("a", Outcome.OK);
        f.advance(20);
        assertTrue(take().contains("health true true"));
    }

    @Test
    void oneShortFirstRunDoesNotMakeUsualOnesLookHung() {
        f.begin();
        f.serveCalmly("tiny", IDEMPOTENT_CLASS, 1, 20);
        f.request("a", IDEMPOTENT_CLASS);
        f.request("b", IDEMPOTENT_CLASS);
        f.advance(500);
        assertFalse(take().contains("health false true"));
        f.request("c", IDEMPOTENT_CLASS);
        assertEquals(List.of(), f.recorder.take("refuse"));
    }

    @Test
    void oneOversizedRequestIsNoHangAndLeavesTheOtherCoreInUse() {
        f.begin();
        f.serveCalmly("s", IDEMPOTENT_CLASS, 20, 100);
        f.request("giant", IDEMPOTENT_CLASS);
        f.advance(3000);
        assertFalse(take().contains("health false true"));
        f.request("next", IDEMPOTENT_CLASS);
        assertEquals(List.of("run next"), f.recorder.take("run"));
    }

    @Test
    void threeFailuresInARowDoNotCloseAdmission() {
        f.begin();
        f.serveCalmly("s", IDEMPOTENT_CLASS, 5, 100);
        for (int i = 0; i < 3; i++) {
            f.request("a" + i, IDEMPOTENT_CLASS);
            f.advance(100);
            f.complete("a" + i, Outcome.FAILED);
        }
        f.advance(20);
        assertFalse(take().contains("health false true"));
    }

    // --- guards: deadlines, memory, keys and draining ---

    @Test
    void answersRunningRequestsBeforeTheirDeadline() {
        f.begin();
        f.request("a", KEYED_CLASS);
        f.advance(3920);
        assertFalse(take().contains("fail a"));
        f.advance(60);
        List<String> lines = take();
        assertTrue(lines.contains("fail a"), lines.toString());
        assertTrue(lines.contains("halt a"), lines.toString());
    }

    @Test
    void neverCancelsWhereCancellationIsNotPossible() {
        f.cancellationMode = CancellationMode.NONE;
        f.begin();
        f.request("a", IDEMPOTENT_CLASS);
        f.advance(4000);
        f.controller.cancelled(f.nowMillis, "a");
        assertTrue(take().stream().noneMatch(l -> l.startsWith("halt")));
    }

    @Test
    void withoutADeadlineTheClassDeadlineFromArrivalCounts() {
        f.requestsCarryDeadline = false;
        f.begin();
        f.request("a", IDEMPOTENT_CLASS, 0, 0.9, null, 1000, false);
        f.advance(2990);
        assertTrue(take().contains("fail a"));
    }

    @Test
    void retainsKeysForTheWholeWindowAndJoinsDuplicates() {
        f.begin();
        f.request("a", KEYED_CLASS);
        assertTrue(take().contains("keep a 9005"));
        f.request("b", KEYED_CLASS, "a");
        assertEquals(List.of("reuse b"), take());
        f.advance(4000);
        assertTrue(take().contains("fail b"));
    }

    @Test
    void rejectsARequestWhoseKeyDoesNotFitIntoMemory() {
        f.memoryKb = 40;
        f.begin();
        f.request("a", KEYED_CLASS);
        List<String> lines = take();
        assertTrue(lines.contains("refuse a 0 false"), lines.toString());
        assertTrue(lines.stream().noneMatch(l -> l.startsWith("run")));
    }

    @Test
    void runsOnlyWhatFitsIntoMemory() {
        f.memoryKb = 150;
        f.begin();
        f.request("a", IDEMPOTENT_CLASS);
        f.request("b", IDEMPOTENT_CLASS);
        assertEquals(List.of("run a"), f.recorder.take("run"));
    }

    @Test
    void releasesKeysOfRequestsThatNeverRan() {
        f.begin();
        f.request("a", IDEMPOTENT_CLASS);
        f.request("b", IDEMPOTENT_CLASS);
        f.request("c", KEYED_CLASS);
        f.controller.cancelled(f.nowMillis, "c");
        assertTrue(take().contains("forget c"));
    }

    @Test
    void nonIdempotentRequestRunsOnceWithoutAKey() {
        f.begin();
        f.request("a", NON_IDEMPOTENT_CLASS);
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
        f.resultReplayMillis = 500;
        f.begin();
        f.request("a", IDEMPOTENT_CLASS);
        assertTrue(take().contains("keep a 4500"));
        f.request("b", IDEMPOTENT_CLASS, "a");
        assertEquals(List.of("reuse b"), take());
    }

    @Test
    void rejectsWhatArrivesAfterTheGracePeriodAndAnswersAllBeforeTheShutdown() {
        f.begin();
        f.request("old", IDEMPOTENT_CLASS);
        f.controller.beginDraining(f.nowMillis, f.nowMillis + 3000);
        List<String> lines = take();
        assertTrue(
                lines.contains("health false true") && lines.contains("idle 1000"),
                lines.toString());
        f.advance(2100);
        take();
        f.request("new", IDEMPOTENT_CLASS);
        assertEquals(List.of("refuse new 1000 false"), take());
        f.advance(880);
        assertTrue(take().contains("fail old"));
    }

    @Test
    void eventsForUnknownRequestsDoNoHarm() {
        f.begin();
        take();
        f.complete("nobody", Outcome.OK);
        f.controller.dependencyCallNeeded(f.nowMillis, "nobody");
        f.controller.dependencyCallCompleted(f.nowMillis, "nobody", 5, Outcome.OK);
        f.controller.cancelled(f.nowMillis, "nobody");
        assertEquals(List.of(), take());
    }

    // --- dependency calls ---

    private Fixture withDependency() {
        f.dependency = new Dependency(DependencyKind.SHARED, 1.5, 1000, 200);
        return f.begin();
    }

    @Test
    void callsStayWithinTheQuotaAndTheTimeLeft() {
        withDependency();
        f.request("a", IDEMPOTENT_CLASS);
        f.request("b", IDEMPOTENT_CLASS);
        f.controller.dependencyCallNeeded(f.nowMillis, "a");
        f.controller.dependencyCallNeeded(f.nowMillis, "b");
        assertEquals(List.of("call a 3970"), f.recorder.take("call"));
        f.advance(100);
        f.controller.dependencyCallCompleted(f.nowMillis, "a", 100, Outcome.OK);
        assertEquals(List.of("call b 3870"), f.recorder.take("call"));
    }

    private void needsCall(String id) {
        f.request(id, IDEMPOTENT_CLASS);
        f.controller.dependencyCallNeeded(f.nowMillis, id);
    }

    private void completeCallAfter(String id, double millis, Outcome outcome) {
        f.advance(millis);
        f.controller.dependencyCallCompleted(f.nowMillis, id, millis, outcome);
    }

    @Test
    void timedOutCallsCountUntilTheyHaveLeftTheDependency() {
        f.dependency = new Dependency(DependencyKind.SHARED, 2.5, 5000, 200);
        f.begin();
        needsCall("a");
        needsCall("b");
        f.controller.dependencyCallCompleted(f.nowMillis, "a", 500, Outcome.TIMED_OUT);
        assertEquals(2, f.recorder.take("call").size());
        f.advance(180);
        assertEquals(0, f.recorder.take("call").size());
        f.advance(40);
        assertEquals(1, f.recorder.take("call").size());
    }

    @Test
    void quotaBelowOneCallIsSpentByTimeAndTheRestIsDegraded() {
        f.dependency = new Dependency(DependencyKind.SHARED, 0.5, 5000, 200);
        f.degradedWeightShare = 0.5;
        f.begin();
        double[] callMillisBySecond = new double[30];
        int skipped = 0;
        for (int i = 0; i < 75; i++) {
            needsCall("a" + i);
            f.advance(30);
            boolean called = take().stream().anyMatch(action -> action.startsWith("call"));
            skipped += called ? 0 : 1;
            if (called) {
                completeCallAfter("a" + i, 220, Outcome.OK);
                callMillisBySecond[(int) ((f.nowMillis - 1000) / 1000)] += 250;
            }
            f.advance(150);
            f.complete("a" + i, Outcome.OK);
        }
        assertTrue(skipped > 10, "skipped " + skipped);
        for (int t = 0; t + 5 <= callMillisBySecond.length; t++) {
            double sum =
                    callMillisBySecond[t]
                            + callMillisBySecond[t + 1]
                            + callMillisBySecond[t + 2]
                            + callMillisBySecond[t + 3]
                            + callMillisBySecond[t + 4];
            assertTrue(sum <= 0.5 * 5000, "from second " + t + ": " + sum);
        }
    }

    @Test
    void slowDependencyGetsFewerConcurrentCallsUntilItIsQuickAgain() {
        f.dependency = new Dependency(DependencyKind.SHARED, 20, 5000, 200);
        f.degradedWeightShare = 0.5;
        f.begin();
        assertEquals(3, concurrentCallsOfThree("calm", 20));
        for (int i = 0; i < 12; i++) {
            needsCall("slow" + i);
            completeCallAfter("slow" + i, 260, Outcome.TIMED_OUT);
            f.complete("slow" + i, Outcome.OK);
        }
        assertEquals(1, concurrentCallsOfThree("pressed", 20));
        for (int i = 0; i < 12; i++) {
            needsCall("quick" + i);
            completeCallAfter("quick" + i, 20, Outcome.OK);
            f.complete("quick" + i, Outcome.OK);
        }
        assertEquals(3, concurrentCallsOfThree("again", 20));
    }

    private int concurrentCallsOfThree(String prefix, double millis) {
        take();
        for (int i = 0; i < 3; i++) {
            needsCall(prefix + i);
        }
        int calls = f.recorder.take("call").size();
        f.advance(millis);
        for (int i = 0; i < 3; i++) {
            f.controller.dependencyCallCompleted(f.nowMillis, prefix + i, millis, Outcome.OK);
            f.complete(prefix + i, Outcome.OK);
        }
        return calls;
    }

    @Test
    void timeInCallsIsNoSlowdownOfThisServer() {
        f.dependency = new Dependency(DependencyKind.SHARED, 20, 5000, 200);
        f.begin();
        f.serveCalmly("s", IDEMPOTENT_CLASS, 40, 100);
        f.advance(4000);
        take();
        for (int i = 0; i < 20; i++) {
            f.request("r" + i, IDEMPOTENT_CLASS);
            f.advance(60);
            f.controller.dependencyCallNeeded(f.nowMillis, "r" + i);
            completeCallAfter("r" + i, 700, Outcome.OK);
            f.advance(40);
            f.complete("r" + i, Outcome.OK);
        }
        assertEquals(List.of(), f.recorder.take("idle"));
    }

    @Test
    void runsPausedForCallsCountTowardsTheConcurrency() {
        withDependency();
        for (int i = 0; i < 8; i++) {
            f.request("a" + i, IDEMPOTENT_CLASS);
            f.controller.dependencyCallNeeded(f.nowMillis, "a" + i);
        }
        assertEquals(6, f.recorder.take("run").size());
    }

    @Test
    void unknownMemoryIsNoLimit() {
        f.memoryKb = 0;
        f.begin();
        f.request("a", KEYED_CLASS);
        assertTrue(take().contains("run a"));
    }

    @Test
    void retriesACallOfANonIdempotentClassOnlyIfItNeverRan() {
        withDependency();
        f.request("a", KEYED_CLASS);
        f.controller.dependencyCallNeeded(f.nowMillis, "a");
        f.controller.dependencyCallCompleted(f.nowMillis, "a", 10, Outcome.QUEUE_FULL);
        f.advance(20);
        assertEquals(2, f.recorder.take("call").size());
        f.controller.dependencyCallCompleted(f.nowMillis, "a", 10, Outcome.TIMED_OUT);
        f.advance(20);
        List<String> lines = take();
        assertTrue(lines.contains("fail a"), lines.toString());
        assertTrue(lines.stream().noneMatch(l -> l.startsWith("call")));
    }

    @Test
    void skipsAFailedCallWhereADegradedAnswerHasWeight() {
        f.degradedWeightShare = 0.5;
        withDependency();
        f.request("a", IDEMPOTENT_CLASS);
        f.controller.dependencyCallNeeded(f.nowMillis, "a");
        f.controller.dependencyCallCompleted(f.nowMillis, "a", 10, Outcome.FAILED);
        assertTrue(take().contains("skip a"));
    }

    /**
     * The number of requests that run or are paused for a call at once, after this many replayed
     * duplicates.
     */
    private static long concurrencyOfAColdServer(int duplicates) {
        Fixture server = new Fixture();
        server.coldStart = true;
        server.begin();
        server.request("original", IDEMPOTENT_CLASS);
        server.complete("original", Outcome.OK);
        for (int i = 0; i < duplicates; i++) {
            server.request("duplicate" + i, IDEMPOTENT_CLASS, "original");
            server.complete("duplicate" + i, Outcome.OK);
        }
        for (int i = 0; i < 20; i++) {
            server.request("request" + i, IDEMPOTENT_CLASS);
            server.controller.dependencyCallNeeded(server.nowMillis, "request" + i);
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
