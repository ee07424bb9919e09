package tinroad.overload;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static tinroad.overload.Fixture.IDEMPOTENT_CLASS;
import static tinroad.overload.Fixture.KEYED_CLASS;
import static tinroad.overload.Fixture.NON_IDEMPOTENT_CLASS;

import java.lang.reflect.Field;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import tinroad.overload.Controller.CancellationMode;
import tinroad.overload.Controller.ClassSlot;
import tinroad.overload.Controller.Dependency;
import tinroad.overload.Controller.DependencyKind;
import tinroad.overload.Controller.Estimate;
import tinroad.overload.Controller.Gauges;
import tinroad.overload.Controller.Idempotency;
import tinroad.overload.Controller.LoadHint;
import tinroad.overload.Controller.ObjectiveWeights;
import tinroad.overload.Controller.OperatingLimits;
import tinroad.overload.Controller.Outcome;
import tinroad.overload.Controller.Request;
import tinroad.overload.Controller.RequestClass;
import tinroad.overload.Controller.Settings;
import tinroad.overload.Controller.Tenant;
import tinroad.overload.Controller.TenantSlot;

/** Changes of classes and tenants while the controller serves requests. */
@SuppressWarnings("EnumOrdinal") // Random draws choose by index.
class SettingsChangeTest {
    private static final RequestClass LONG_DEADLINE_SPEC =
            new RequestClass(3900, 0, 4000, 1, 0, Idempotency.IDEMPOTENT, 0, false, 0);
    private static final RequestClass SHORT_DEADLINE_SPEC =
            new RequestClass(400, 0, 500, 1, 0, Idempotency.IDEMPOTENT, 0, false, 0);
    private static final RequestClass KEYED_SPEC =
            new RequestClass(1000, 0, 4000, 2, 0.2, Idempotency.IDEMPOTENT_WITH_KEY, 9000, true, 0);

    private static final Gauges BUSY_GAUGES = new Gauges(1, 2, 0.1, 50);

    private final Fixture f = new Fixture();

    private void change(int slot, RequestClass spec) {
        f.controller.stage(List.of(new ClassSlot(slot, spec)), List.of());
        f.controller.commit(f.nowMillis);
    }

    private static Object field(Object owner, String name) {
        try {
            Field field = owner.getClass().getDeclaredField(name);
            field.setAccessible(true);
            return field.get(owner);
        } catch (ReflectiveOperationException e) {
            throw new LinkageError(owner.getClass() + " has no field " + name, e);
        }
    }

    // --- removal of a class ---

    @Test
    void queuedRequestsOfARemovedClassStillRun() {
        f.begin();
        f.request("a", KEYED_CLASS);
        f.request("b", KEYED_CLASS);
        f.request("held", KEYED_CLASS);
        assertEquals(List.of("run a", "run b"), f.recorder.take("run"));
        change(KEYED_CLASS, null);
        assertEquals(List.of(), f.recorder.take());
        f.advance(100);
        f.complete("a", Outcome.OK);
        assertEquals(List.of("run held"), f.recorder.take("run"));
        f.complete("b", Outcome.FAILED);
        f.complete("held", Outcome.OK);
        f.advance(9100);
        assertEquals(List.of(), f.recorder.take("fail"));
        // Their keys are retained for the whole window, and then all memory is released.
        assertEquals(0.0, field(field(f.controller, "memory"), "usedKb"));
    }

    @Test
    void runningRequestsOfARemovedClassAreAnsweredBeforeTheirDeadline() {
        f.begin();
        f.request("a", NON_IDEMPOTENT_CLASS);
        change(NON_IDEMPOTENT_CLASS, null);
        f.recorder.take();
        f.advance(3900);
        assertEquals(List.of(), f.recorder.take("fail"));
        f.advance(100);
        assertEquals(List.of("fail a"), f.recorder.take("fail"));
    }

    @Test
    void duplicateOfARetainedRequestGetsItsResultAfterItsClassChanged() {
        f.begin();
        f.request("first", KEYED_CLASS);
        change(
                KEYED_CLASS,
                new RequestClass(
                        500, 0, 1000, 1, 0, Idempotency.IDEMPOTENT_WITH_KEY, 100, true, 0));
        f.recorder.take();
        f.request("again", KEYED_CLASS, "first");
        assertEquals(List.of("reuse again"), f.recorder.take("reuse"));
        f.complete("first", Outcome.OK);
        f.complete("again", Outcome.OK);
        assertEquals(List.of(), f.recorder.take("run"));
    }

    @Test
    void requestOfNoClassIsRejectedAndNothingIsRetained() {
        f.begin();
        change(KEYED_CLASS, null);
        f.recorder.take();
        f.request("late", KEYED_CLASS);
        f.request("never", 900);
        assertEquals(List.of("refuse late 0 false", "refuse never 0 false"), f.recorder.take());
        assertEquals(Map.of(), field(f.controller, "requests"));
        assertEquals(0.0, field(field(f.controller, "memory"), "usedKb"));
    }

    @Test
    void removedClassNoLongerCountsAsUnderserved() {
        f.begin();
        ClassTable classes = (ClassTable) field(f.controller, "classes");
        for (int i = 0; i < 30; i++) {
            f.request("f" + i, IDEMPOTENT_CLASS);
            f.advance(20);
            f.complete("f" + i, Outcome.OK);
            f.request("o" + i, NON_IDEMPOTENT_CLASS);
            f.complete("o" + i, Outcome.FAILED);
        }
        ClassStatistics free = classes.requestArrived(IDEMPOTENT_CLASS);
        double lagShareBefore = classes.lagShare(free);
        change(NON_IDEMPOTENT_CLASS, null);
        assertTrue(lagShareBefore < 0.01, "" + lagShareBefore);
        // Of the two classes that are left, the one without requests counts as well served.
        assertTrue(classes.lagShare(free) > 0.4, "" + classes.lagShare(free));
        assertEquals(2, classes.size());
    }

    @Test
    void maximumPriorityCutoffFollowsTheNumberOfClasses() {
        f.loadHint = LoadHint.MIN_RANK;
        f.begin();
        f.controller.stage(
                IntStream.range(3, 20).mapToObj(i -> new ClassSlot(i, KEYED_SPEC)).toList(),
                List.of());
        f.controller.commit(f.nowMillis);
        f.serveCalmly("s", IDEMPOTENT_CLASS, 20, 300);
        assertEquals("say 0.10", lastLoadHintUnderOverload("a"));
        // Ends the runs, so that the controller does not take them for hung.
        f.complete("a", Outcome.OK);
        f.complete("aa", Outcome.OK);
        f.controller.stage(
                IntStream.range(3, 20).mapToObj(i -> new ClassSlot(i, null)).toList(), List.of());
        f.controller.commit(f.nowMillis);
        assertEquals("say 0.65", lastLoadHintUnderOverload("b"));
    }

    private String lastLoadHintUnderOverload(String prefix) {
        f.request(prefix, IDEMPOTENT_CLASS);
        f.request(prefix + prefix, IDEMPOTENT_CLASS);
        for (int i = 0; i < 100; i++) {
            f.request(prefix + i, IDEMPOTENT_CLASS);
            f.advance(20);
        }
        List<String> loadHints = f.recorder.take("say");
        return loadHints.get(loadHints.size() - 1);
    }

    // --- removal and addition of the same class ---

    @Test
    void classRemovedAndAddedInOneChangeKeepsItsStatistics() {
        f.begin();
        f.serveCalmly("g", KEYED_CLASS, 30, 40);
        Estimate before = f.controller.learnedEstimates().get("run." + KEYED_CLASS);
        f.controller.stage(List.of(new ClassSlot(KEYED_CLASS, null)), List.of());
        f.controller.stage(List.of(new ClassSlot(KEYED_CLASS, KEYED_SPEC)), List.of());
        f.controller.commit(f.nowMillis);
        assertEquals(before, f.controller.learnedEstimates().get("run." + KEYED_CLASS));
    }

    @Test
    void classRemovedAndAddedInTwoChangesBeginsAnewAndItsStatisticsStayReadableUntilThen() {
        f.begin();
        f.serveCalmly("g", KEYED_CLASS, 30, 40);
        Estimate before = f.controller.learnedEstimates().get("run." + KEYED_CLASS);
        change(KEYED_CLASS, null);
        assertEquals(before, f.controller.learnedEstimates().get("run." + KEYED_CLASS));
        f.controller.stage(List.of(new ClassSlot(KEYED_CLASS, KEYED_SPEC)), List.of());
        f.controller.discardStaged();
        assertEquals(before, f.controller.learnedEstimates().get("run." + KEYED_CLASS));
        change(KEYED_CLASS, null);
        assertEquals(before, f.controller.learnedEstimates().get("run." + KEYED_CLASS));
        change(KEYED_CLASS, KEYED_SPEC);
        assertEquals(null, f.controller.learnedEstimates().get("run." + KEYED_CLASS));
        f.request("new", KEYED_CLASS);
        f.complete("new", Outcome.OK);
        // The assumed 250 ms weigh two samples, and this run took 1 ms.
        assertEquals(
                new Estimate(250 + (1 - 250) / 3.0, 3),
                f.controller.learnedEstimates().get("run." + KEYED_CLASS));
    }

    @Test
    void activeRequestsAddSamplesOnlyToTheClassTheyArrivedUnder() {
        // During a cold start the calm run time is not learned, so any sample would show as a
        // slowdown.
        f.coldStart = true;
        f.begin();
        f.request("old", KEYED_CLASS);
        change(KEYED_CLASS, null);
        change(KEYED_CLASS, KEYED_SPEC);
        f.advance(200);
        f.complete("old", Outcome.OK);
        assertEquals(null, f.controller.learnedEstimates().get("run." + KEYED_CLASS));
        assertEquals(1, ((ClassTable) field(f.controller, "classes")).slowdown());
    }

    // --- changes of a class ---

    @Test
    void queuedRequestKeepsItsDeadlineWhenTheClassDeadlineIsShortenedBelowItsAge() {
        f.requestsCarryDeadline = false;
        f.begin();
        change(IDEMPOTENT_CLASS, LONG_DEADLINE_SPEC);
        f.request("a", IDEMPOTENT_CLASS);
        f.request("b", IDEMPOTENT_CLASS);
        f.request("held", IDEMPOTENT_CLASS);
        f.advance(1000, BUSY_GAUGES);
        f.recorder.take();
        change(IDEMPOTENT_CLASS, SHORT_DEADLINE_SPEC);
        f.advance(1000, BUSY_GAUGES);
        assertEquals(
                List.of(), f.recorder.take().stream().filter(l -> !l.startsWith("timer")).toList());
        f.complete("a", Outcome.OK);
        assertEquals(List.of("run held"), f.recorder.take("run"));
        f.complete("b", Outcome.OK);
        // Requests that arrive now get the new deadline.
        f.request("new", IDEMPOTENT_CLASS);
        f.advance(440);
        assertEquals(List.of(), f.recorder.take("fail"));
        f.advance(60);
        assertEquals(List.of("fail new"), f.recorder.take("fail"));
    }

    @Test
    void assumedRunTimeFollowsTheNewObjectiveAndLearnedOneStays() {
        f.begin();
        f.serveCalmly("f", IDEMPOTENT_CLASS, 30, 40);
        Estimate learned = f.controller.learnedEstimates().get("run." + IDEMPOTENT_CLASS);
        f.request("o", NON_IDEMPOTENT_CLASS);
        change(IDEMPOTENT_CLASS, LONG_DEADLINE_SPEC);
        change(NON_IDEMPOTENT_CLASS, SHORT_DEADLINE_SPEC);
        assertEquals(learned, f.controller.learnedEstimates().get("run." + IDEMPOTENT_CLASS));
        ClassTable classes = (ClassTable) field(f.controller, "classes");
        double calm = f.controller.learnedEstimates().get("calm." + IDEMPOTENT_CLASS).value();
        assertEquals((learned.value() + 250 + 100) / (calm + 250 + 100), classes.slowdown(), 1e-12);
    }

    @Test
    void changeWhileDrainingLeavesDrainingAsItIs() {
        f.begin();
        f.request("a", IDEMPOTENT_CLASS);
        f.controller.beginDraining(f.nowMillis, f.nowMillis + 5000);
        f.advance(1000);
        f.recorder.take();
        change(IDEMPOTENT_CLASS, LONG_DEADLINE_SPEC);
        f.request("in the grace", IDEMPOTENT_CLASS);
        assertEquals(List.of("run in the grace"), f.recorder.take("run"));
        f.advance(1500);
        f.request("after it", IDEMPOTENT_CLASS);
        assertEquals(List.of("refuse after it 1000 false"), f.recorder.take("refuse"));
        f.advance(2500);
        assertEquals(List.of("fail a", "fail in the grace"), f.recorder.take("fail"));
    }

    // --- tenants ---

    @Test
    void tenantRateSurvivesAQuotaChangeAndIsZeroInAReusedSlot() {
        f.begin();
        TenantTable tenants = (TenantTable) field(f.controller, "tenants");
        for (int i = 0; i < 20; i++) {
            f.request("r" + i, IDEMPOTENT_CLASS, 1, 0.5, null, 0, false);
        }
        double rate = tenants.rate(1, f.nowMillis);
        assertTrue(rate > 6);
        f.controller.stage(
                List.of(),
                List.of(
                        new TenantSlot(1, new Tenant(3, 0.1)),
                        new TenantSlot(700, new Tenant(1, 0.1))));
        f.controller.commit(f.nowMillis);
        assertEquals(rate, tenants.rate(1, f.nowMillis));
        f.controller.stage(List.of(), List.of(new TenantSlot(1, null)));
        f.controller.commit(f.nowMillis);
        f.controller.stage(List.of(), List.of(new TenantSlot(1, new Tenant(3, 0.1))));
        f.controller.commit(f.nowMillis);
        assertEquals(0, tenants.rate(1, f.nowMillis));
        assertEquals(new Tenant(1, 0.1), tenants.at(700));
    }

    // --- changes without effect on decisions ---

    /**
     * Plays mixed traffic and returns the recorded actions; {@code afterEachEvent} runs after each
     * event.
     */
    private static List<String> playMixedTraffic(
            long seed,
            List<RequestClass> classes,
            int[] slots,
            List<Tenant> tenants,
            Controller controller,
            Recorder recorder,
            Runnable afterEachEvent) {
        return playMixedTraffic(
                seed, 2000, classes, slots, tenants, controller, recorder, afterEachEvent);
    }

    private static List<String> playMixedTraffic(
            long seed,
            double startMillis,
            List<RequestClass> classes,
            int[] slots,
            List<Tenant> tenants,
            Controller controller,
            Recorder recorder,
            Runnable afterEachEvent) {
        Random rnd = new Random(seed);
        recorder.take();
        double nowMillis = startMillis;
        double nextTickMillis = nowMillis;
        List<String> allActions = new ArrayList<>();
        ArrayList<String> running = new ArrayList<>();
        for (int i = 0; i < 4000; i++) {
            nowMillis += 10 * rnd.nextDouble();
            if (nowMillis >= nextTickMillis) {
                nextTickMillis = nowMillis + 20;
                controller.timerFired(
                        nowMillis,
                        "tick",
                        new Gauges(
                                0.5 + rnd.nextDouble() / 2,
                                rnd.nextInt(5),
                                0.5,
                                40 + rnd.nextInt(9)));
            } else if (rnd.nextInt(5) < 2 && !running.isEmpty()) {
                controller.completed(
                        nowMillis,
                        running.remove(rnd.nextInt(running.size())),
                        50,
                        rnd.nextInt(30) == 0 ? Outcome.FAILED : Outcome.OK);
            } else {
                int classIndex = (int) (classes.size() * rnd.nextDouble() * rnd.nextDouble());
                int tenant = (int) (tenants.size() * rnd.nextDouble() * rnd.nextDouble());
                double deadlineAtMillis = nowMillis + classes.get(classIndex).deadlineMillis();
                controller.requestArrived(
                        nowMillis,
                        new Request(
                                "r" + i,
                                slots[classIndex],
                                tenant,
                                rnd.nextInt(9),
                                20,
                                deadlineAtMillis,
                                0,
                                rnd.nextDouble(),
                                0,
                                "k" + i,
                                null,
                                rnd.nextInt(9) == 0,
                                false));
            }
            afterEachEvent.run();
            for (String line : recorder.take()) {
                allActions.add(line);
                if (line.startsWith("run ")) {
                    running.add(line.substring(4));
                }
            }
        }
        assertTrue(allActions.stream().filter(l -> l.startsWith("refuse")).count() > 50);
        return allActions;
    }

    private static Settings settings(List<RequestClass> classes, List<Tenant> tenants) {
        return new Settings(
                classes,
                tenants,
                new ObjectiveWeights(0.5, 0.2, 0.2, 0.1),
                new OperatingLimits(60, 0.25, 10000, 2000, 5, 1500),
                new Dependency(DependencyKind.NONE, 0, 0, 0),
                LoadHint.MIN_RANK,
                CancellationMode.PAUSE,
                2,
                4,
                3,
                false,
                true,
                30000,
                100000,
                4,
                20,
                0,
                1000,
                true,
                true,
                0.1,
                5,
                false);
    }

    private static final int[] IDENTITY_SLOTS = IntStream.range(0, 1000).toArray();

    private static RequestClass spec(Random rnd) {
        return new RequestClass(
                200 + rnd.nextInt(900),
                0,
                2000 + rnd.nextInt(2000),
                1 + 5 * rnd.nextDouble(),
                rnd.nextInt(2) * 0.2,
                Idempotency.values()[rnd.nextInt(3)],
                4000,
                false,
                0);
    }

    private static final List<RequestClass> CLASSES =
            new Random(1).ints(12).mapToObj(i -> spec(new Random(i))).toList();
    private static final List<Tenant> TENANTS =
            List.of(new Tenant(5, 0.4), new Tenant(60, 0.3), new Tenant(9, 0.3));

    /**
     * Asserts that the actions are the same whether or not {@code extraStep} is called after each
     * event. Returns the controller for which it was called.
     */
    private static Controller assertDecisionsUnchangedBy(BiConsumer<Controller, Random> extraStep) {
        List<List<String>> actionsByRun = new ArrayList<>();
        Controller controller = null;
        for (BiConsumer<Controller, Random> after :
                List.<BiConsumer<Controller, Random>>of((c, r) -> {}, extraStep)) {
            Recorder recorder = new Recorder();
            Controller target = new OverloadController(recorder);
            target.start(1000, 7, settings(CLASSES, TENANTS));
            Random rnd = new Random(9);
            actionsByRun.add(
                    playMixedTraffic(
                            5,
                            CLASSES,
                            IDENTITY_SLOTS,
                            TENANTS,
                            target,
                            recorder,
                            () -> after.accept(target, rnd)));
            controller = target;
        }
        assertEquals(actionsByRun.get(0), actionsByRun.get(1));
        return controller;
    }

    @Test
    void unchangedQuotasSetAThousandTimesASecondChangeNoDecision() {
        // The mean time between events is 5 ms.
        assertDecisionsUnchangedBy(
                (controller, rnd) -> {
                    for (int i = 0; i < 5; i++) {
                        controller.stage(
                                List.of(), List.of(new TenantSlot(i % 3, TENANTS.get(i % 3))));
                        controller.commit(0);
                    }
                });
    }

    @Test
    void quotasOfOtherTenantsChangedAThousandTimesASecondChangeNoDecisionAndTheLastCounts() {
        Controller controller =
                assertDecisionsUnchangedBy(
                        (target, rnd) -> {
                            for (int i = 1; i <= 5; i++) {
                                target.stage(
                                        List.of(),
                                        List.of(
                                                new TenantSlot(
                                                        3 + rnd.nextInt(500),
                                                        new Tenant(rnd.nextInt(99), 0.1)),
                                                new TenantSlot(700, new Tenant(i, 0.1))));
                                target.commit(0);
                            }
                        });
        assertEquals(new Tenant(5, 0.1), ((TenantTable) field(controller, "tenants")).at(700));
    }

    @Test
    void unchangedClassesSetAgainChangeNoDecision() {
        assertDecisionsUnchangedBy(
                (controller, rnd) -> {
                    int slot = rnd.nextInt(CLASSES.size());
                    controller.stage(List.of(new ClassSlot(slot, CLASSES.get(slot))), List.of());
                    controller.commit(0);
                });
    }

    @Test
    void stagedChangesAndEmptyCommitsChangeNoDecision() {
        Controller controller =
                assertDecisionsUnchangedBy(
                        (target, rnd) -> {
                            if (rnd.nextInt(10) == 0) {
                                target.discardStaged();
                                target.commit(0);
                            }
                            target.stage(
                                    List.of(
                                            new ClassSlot(
                                                    rnd.nextInt(40),
                                                    rnd.nextBoolean() ? null : spec(rnd))),
                                    List.of(
                                            new TenantSlot(
                                                    rnd.nextInt(9),
                                                    rnd.nextBoolean()
                                                            ? null
                                                            : new Tenant(rnd.nextInt(9), 0.1))));
                        });
        controller.commit(0);
        assertNotEquals(CLASSES.size(), ((ClassTable) field(controller, "classes")).size());
    }

    // --- large changes ---

    @Test
    void changesInAnyNumberOfPartsTakeEffectAtOnce() {
        Random rnd = new Random(4);
        List<RequestClass> before = IntStream.range(0, 1000).mapToObj(i -> spec(rnd)).toList();
        List<RequestClass> after = IntStream.range(0, 1000).mapToObj(i -> spec(rnd)).toList();
        for (int partSize : new int[] {100, 1}) {
            Controller controller = new OverloadController(new Recorder());
            controller.start(1000, 7, settings(before, TENANTS));
            ClassTable classes = (ClassTable) field(controller, "classes");
            for (int i = 0; i < 1000; i += partSize) {
                controller.stage(List.of(new ClassSlot(i, after.get(i))), List.of());
                assertEquals(before.get(i), classes.at(i));
            }
            controller.commit(1000);
            for (int i = 0; i < 1000; i++) {
                assertEquals(i % partSize == 0 ? after.get(i) : before.get(i), classes.at(i));
            }
        }
    }

    @Property(tries = 40, seed = "34")
    void anyOrderOfChangesDecidesAsAControllerStartedOnTheLastSettings(@ForAll long seed) {
        Random rnd = new Random(seed);
        Recorder recorder = new Recorder();
        Controller controller = new OverloadController(recorder);
        List<RequestClass> initialClasses = List.of(spec(rnd), spec(rnd));
        List<Tenant> initialTenants = List.of(new Tenant(1, 0.5), new Tenant(2, 0.5));
        controller.start(1000, 7, settings(initialClasses, initialTenants));
        TreeMap<Integer, RequestClass> classes = new TreeMap<>();
        classes.put(0, initialClasses.get(0));
        classes.put(1, initialClasses.get(1));
        List<Tenant> tenants = new ArrayList<>(initialTenants);
        for (int i = 0; i < 200; i++) {
            int slot = rnd.nextInt(rnd.nextInt(20) == 0 ? 2000 : 20);
            RequestClass changedSpec = rnd.nextInt(3) == 0 ? null : spec(rnd);
            Tenant changedTenant = new Tenant(1 + rnd.nextInt(60), 0.2);
            int tenant = rnd.nextInt(2);
            controller.stage(
                    List.of(new ClassSlot(slot, changedSpec)),
                    List.of(new TenantSlot(tenant, changedTenant)));
            if (rnd.nextInt(5) == 0) {
                controller.discardStaged();
                continue;
            }
            if (rnd.nextInt(5) == 0) {
                // Within one change, the last value staged for a slot counts.
                changedSpec = spec(rnd);
                controller.stage(List.of(new ClassSlot(slot, changedSpec)), List.of());
            }
            controller.commit(1000 + i);
            classes.put(slot, changedSpec);
            tenants.set(tenant, changedTenant);
        }
        classes.put(0, SHORT_DEADLINE_SPEC);
        controller.stage(List.of(new ClassSlot(0, SHORT_DEADLINE_SPEC)), List.of());
        controller.commit(1900);
        classes.values().removeIf(requestClass -> requestClass == null);
        List<RequestClass> remainingClasses = List.copyOf(classes.values());
        int[] slots = classes.keySet().stream().mapToInt(i -> i).toArray();
        Recorder expectedRecorder = new Recorder();
        Controller freshController = new OverloadController(expectedRecorder);
        freshController.start(1000, 7, settings(remainingClasses, tenants));
        assertEquals(
                playMixedTraffic(
                        seed,
                        remainingClasses,
                        IDENTITY_SLOTS,
                        tenants,
                        freshController,
                        expectedRecorder,
                        () -> {}),
                playMixedTraffic(
                        seed, remainingClasses, slots, tenants, controller, recorder, () -> {}));
    }

    // --- cost ---

    /**
     * Returns how many slots are read by ticks, light traffic, heavy traffic, a change, and an
     * export of what was learned.
     */
    private static long[] slotReads(int classCount, int tenantCount) {
        List<RequestClass> classes =
                IntStream.range(0, classCount).mapToObj(i -> SHORT_DEADLINE_SPEC).toList();
        List<Tenant> tenants =
                IntStream.range(0, tenantCount).mapToObj(i -> new Tenant(9, 1.0 / 4)).toList();
        Recorder recorder = new Recorder();
        Controller controller = new OverloadController(recorder);
        controller.start(1000, 7, settings(classes, tenants));
        List<Long> reads = new ArrayList<>(List.of(reads(controller)));
        for (int i = 1; i <= 200; i++) {
            controller.timerFired(1000 + 20 * i, "tick", Fixture.CALM_GAUGES);
        }
        reads.add(reads(controller));
        for (int i = 0; i < 200; i++) {
            double nowMillis = 6000 + 20 * i;
            controller.requestArrived(
                    nowMillis,
                    new Request(
                            "c" + i,
                            i % 2,
                            i % 4,
                            1,
                            20,
                            nowMillis + 500,
                            0,
                            0.5,
                            0,
                            null,
                            null,
                            false,
                            false));
            controller.timerFired(nowMillis + 5, "tick", Fixture.CALM_GAUGES);
            controller.completed(nowMillis + 10, "c" + i, 10, Outcome.OK);
        }
        reads.add(reads(controller));
        playMixedTraffic(
                3,
                11_000,
                classes.subList(0, 2),
                IDENTITY_SLOTS,
                tenants.subList(0, 4),
                controller,
                recorder,
                () -> {});
        reads.add(reads(controller));
        controller.stage(
                List.of(new ClassSlot(1, LONG_DEADLINE_SPEC)),
                List.of(new TenantSlot(1, new Tenant(8, 0.1))));
        controller.commit(90_000);
        reads.add(reads(controller));
        assertEquals(5, controller.learnedEstimates().size());
        reads.add(reads(controller));
        return IntStream.range(1, reads.size())
                .mapToLong(i -> reads.get(i) - reads.get(i - 1))
                .toArray();
    }

    private static long reads(Controller controller) {
        return ((ClassTable) field(controller, "classes")).reads()
                + ((TenantTable) field(controller, "tenants")).reads();
    }

    @Test
    void tickRequestAndChangeReadNoMoreSlotsOfALargeTableThanOfASmallOne() {
        long[] small = slotReads(2, 4);
        long[] large = slotReads(24_000, 58_000);
        assertEquals(0, large[0]);
        assertEquals(small[1], large[1]);
        assertTrue(large[1] <= 200 * 20, "calm: " + large[1]);
        // The queue is ordered anew at each event, and which requests are queued depends on the
        // number of classes.
        assertTrue(large[2] < 2 * small[2], "busy: " + small[2] + ", " + large[2]);
        assertEquals(small[3], large[3]);
        assertTrue(large[3] <= 10, "change: " + large[3]);
        assertEquals(small[4], large[4]);
    }
}
