package tinroad.overload;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static tinroad.overload.Fixture.FREE;
import static tinroad.overload.Fixture.GUARDED;
import static tinroad.overload.Fixture.ONCE;

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
import tinroad.overload.Controller.Outcome;
import tinroad.overload.Controller.Request;
import tinroad.overload.Controller.RequestClass;
import tinroad.overload.Controller.Rules;
import tinroad.overload.Controller.Settings;
import tinroad.overload.Controller.Tenant;
import tinroad.overload.Controller.TenantSlot;

/** Classes and tenants that change while the module serves. */
@SuppressWarnings("EnumOrdinal") // Random draws choose by index.
class SettingsChangeTest {
    private static final RequestClass PATIENT =
            new RequestClass(3900, 0, 4000, 1, 0, Idempotency.IDEMPOTENT, 0, false, 0);
    private static final RequestClass HASTY =
            new RequestClass(400, 0, 500, 1, 0, Idempotency.IDEMPOTENT, 0, false, 0);
    private static final RequestClass KEYED =
            new RequestClass(1000, 0, 4000, 2, 0.2, Idempotency.IDEMPOTENT_WITH_KEY, 9000, true, 0);

    private static final Gauges FULL = new Gauges(1, 2, 0.1, 50);

    private final Fixture f = new Fixture();

    private void change(int slot, RequestClass spec) {
        f.controller.stage(List.of(new ClassSlot(slot, spec)), List.of());
        f.controller.commit(f.now);
    }

    private static Object field(Object of, String name) {
        try {
            Field field = of.getClass().getDeclaredField(name);
            field.setAccessible(true);
            return field.get(of);
        } catch (ReflectiveOperationException e) {
            throw new LinkageError(of.getClass() + " has no field " + name, e);
        }
    }

    // --- a class is taken out ---

    @Test
    void queuedRequestsOfARemovedClassStillRun() {
        f.begin();
        f.request("a", GUARDED);
        f.request("b", GUARDED);
        f.request("held", GUARDED);
        assertEquals(List.of("run a", "run b"), f.recorder.take("run"));
        change(GUARDED, null);
        assertEquals(List.of(), f.recorder.take());
        f.after(100);
        f.ended("a", Outcome.OK);
        assertEquals(List.of("run held"), f.recorder.take("run"));
        f.ended("b", Outcome.FAILED);
        f.ended("held", Outcome.OK);
        f.after(9100);
        assertEquals(List.of(), f.recorder.take("fail"));
        // Their keys were held for as long as ever, and then all memory is given back.
        assertEquals(0.0, field(field(f.controller, "memory"), "usedKb"));
    }

    @Test
    void runningRequestsOfARemovedClassAreAnsweredBeforeTheirDeadline() {
        f.begin();
        f.request("a", ONCE);
        change(ONCE, null);
        f.recorder.take();
        f.after(3900);
        assertEquals(List.of(), f.recorder.take("fail"));
        f.after(100);
        assertEquals(List.of("fail a"), f.recorder.take("fail"));
    }

    @Test
    void duplicateOfARetainedRequestGetsItsResultAfterItsClassChanged() {
        f.begin();
        f.request("first", GUARDED);
        change(
                GUARDED,
                new RequestClass(
                        500, 0, 1000, 1, 0, Idempotency.IDEMPOTENT_WITH_KEY, 100, true, 0));
        f.recorder.take();
        f.request("again", GUARDED, "first");
        assertEquals(List.of("reuse again"), f.recorder.take("reuse"));
        f.ended("first", Outcome.OK);
        f.ended("again", Outcome.OK);
        assertEquals(List.of(), f.recorder.take("run"));
    }

    @Test
    void requestOfNoClassIsRejectedAndNothingIsRetained() {
        f.begin();
        change(GUARDED, null);
        f.recorder.take();
        f.request("late", GUARDED);
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
            f.request("f" + i, FREE);
            f.after(20);
            f.ended("f" + i, Outcome.OK);
            f.request("o" + i, ONCE);
            f.ended("o" + i, Outcome.FAILED);
        }
        ClassStatistics free = classes.requestArrived(FREE);
        double behind = classes.lagShare(free);
        change(ONCE, null);
        assertTrue(behind < 0.01, "" + behind);
        // Of the two that are left the one never asked counts as well served.
        assertTrue(classes.lagShare(free) > 0.4, "" + classes.lagShare(free));
        assertEquals(2, classes.size());
    }

    @Test
    void topOfThePriorityCutoffFollowsTheNumberOfClasses() {
        f.say = LoadHint.MIN_RANK;
        f.begin();
        f.controller.stage(
                IntStream.range(3, 20).mapToObj(i -> new ClassSlot(i, KEYED)).toList(), List.of());
        f.controller.commit(f.now);
        f.serveCalmly("s", FREE, 20, 300);
        assertEquals("say 0.10", lastSaidUnderPressure("a"));
        // Guards the test against a module that takes the work for hung.
        f.ended("a", Outcome.OK);
        f.ended("aa", Outcome.OK);
        f.controller.stage(
                IntStream.range(3, 20).mapToObj(i -> new ClassSlot(i, null)).toList(), List.of());
        f.controller.commit(f.now);
        assertEquals("say 0.65", lastSaidUnderPressure("b"));
    }

    private String lastSaidUnderPressure(String prefix) {
        f.request(prefix, FREE);
        f.request(prefix + prefix, FREE);
        for (int i = 0; i < 100; i++) {
            f.request(prefix + i, FREE);
            f.after(20);
        }
        List<String> said = f.recorder.take("say");
        return said.get(said.size() - 1);
    }

    // --- taken out and put back ---

    @Test
    void classRemovedAndAddedInOneChangeKeepsItsStatistics() {
        f.begin();
        f.serveCalmly("g", GUARDED, 30, 40);
        Estimate before = f.controller.learnedEstimates().get("run." + GUARDED);
        f.controller.stage(List.of(new ClassSlot(GUARDED, null)), List.of());
        f.controller.stage(List.of(new ClassSlot(GUARDED, KEYED)), List.of());
        f.controller.commit(f.now);
        assertEquals(before, f.controller.learnedEstimates().get("run." + GUARDED));
    }

    @Test
    void classRemovedAndAddedInTwoChangesBeginsAnewAndItsStatisticsStayReadableUntilThen() {
        f.begin();
        f.serveCalmly("g", GUARDED, 30, 40);
        Estimate before = f.controller.learnedEstimates().get("run." + GUARDED);
        change(GUARDED, null);
        assertEquals(before, f.controller.learnedEstimates().get("run." + GUARDED));
        f.controller.stage(List.of(new ClassSlot(GUARDED, KEYED)), List.of());
        f.controller.discardStaged();
        assertEquals(before, f.controller.learnedEstimates().get("run." + GUARDED));
        change(GUARDED, null);
        assertEquals(before, f.controller.learnedEstimates().get("run." + GUARDED));
        change(GUARDED, KEYED);
        assertEquals(null, f.controller.learnedEstimates().get("run." + GUARDED));
        f.request("new", GUARDED);
        f.ended("new", Outcome.OK);
        // The assumed 250 ms weigh two samples, and this one took a ms.
        assertEquals(
                new Estimate(250 + (1 - 250) / 3.0, 3),
                f.controller.learnedEstimates().get("run." + GUARDED));
    }

    @Test
    void activeRequestsAddSamplesOnlyToTheClassTheyArrivedUnder() {
        // While it is cold the calm run is not learned, so that any sample would show as a
        // slowdown.
        f.cold = true;
        f.begin();
        f.request("old", GUARDED);
        change(GUARDED, null);
        change(GUARDED, KEYED);
        f.after(200);
        f.ended("old", Outcome.OK);
        assertEquals(null, f.controller.learnedEstimates().get("run." + GUARDED));
        assertEquals(1, ((ClassTable) field(f.controller, "classes")).slowdown());
    }

    // --- a class is changed ---

    @Test
    void queuedRequestKeepsItsDeadlineWhenTheClassDeadlineIsShortenedBelowItsAge() {
        f.passesDeadline = false;
        f.begin();
        change(FREE, PATIENT);
        f.request("a", FREE);
        f.request("b", FREE);
        f.request("held", FREE);
        f.after(1000, FULL);
        f.recorder.take();
        change(FREE, HASTY);
        f.after(1000, FULL);
        assertEquals(
                List.of(), f.recorder.take().stream().filter(l -> !l.startsWith("timer")).toList());
        f.ended("a", Outcome.OK);
        assertEquals(List.of("run held"), f.recorder.take("run"));
        f.ended("b", Outcome.OK);
        // What comes now is due by the new one.
        f.request("new", FREE);
        f.after(440);
        assertEquals(List.of(), f.recorder.take("fail"));
        f.after(60);
        assertEquals(List.of("fail new"), f.recorder.take("fail"));
    }

    @Test
    void assumedRunTimeFollowsTheNewObjectiveAndLearnedOneStays() {
        f.begin();
        f.serveCalmly("f", FREE, 30, 40);
        Estimate learned = f.controller.learnedEstimates().get("run." + FREE);
        f.request("o", ONCE);
        change(FREE, PATIENT);
        change(ONCE, HASTY);
        assertEquals(learned, f.controller.learnedEstimates().get("run." + FREE));
        ClassTable classes = (ClassTable) field(f.controller, "classes");
        double calm = f.controller.learnedEstimates().get("calm." + FREE).value();
        assertEquals((learned.value() + 250 + 100) / (calm + 250 + 100), classes.slowdown(), 1e-12);
    }

    @Test
    void changeWhileDrainingLeavesDrainingAsItIs() {
        f.begin();
        f.request("a", FREE);
        f.controller.beginDraining(f.now, f.now + 5000);
        f.after(1000);
        f.recorder.take();
        change(FREE, PATIENT);
        f.request("in the grace", FREE);
        assertEquals(List.of("run in the grace"), f.recorder.take("run"));
        f.after(1500);
        f.request("after it", FREE);
        assertEquals(List.of("refuse after it 1000 false"), f.recorder.take("refuse"));
        f.after(2500);
        assertEquals(List.of("fail a", "fail in the grace"), f.recorder.take("fail"));
    }

    // --- tenants ---

    @Test
    void tenantRateSurvivesAQuotaChangeAndIsZeroInAReusedSlot() {
        f.begin();
        TenantTable tenants = (TenantTable) field(f.controller, "tenants");
        for (int i = 0; i < 20; i++) {
            f.request("r" + i, FREE, 1, 0.5, null, 0, false);
        }
        double rate = tenants.rate(1, f.now);
        assertTrue(rate > 6);
        f.controller.stage(
                List.of(),
                List.of(
                        new TenantSlot(1, new Tenant(3, 0.1)),
                        new TenantSlot(700, new Tenant(1, 0.1))));
        f.controller.commit(f.now);
        assertEquals(rate, tenants.rate(1, f.now));
        f.controller.stage(List.of(), List.of(new TenantSlot(1, null)));
        f.controller.commit(f.now);
        f.controller.stage(List.of(), List.of(new TenantSlot(1, new Tenant(3, 0.1))));
        f.controller.commit(f.now);
        assertEquals(0, tenants.rate(1, f.now));
        assertEquals(new Tenant(1, 0.1), tenants.at(700));
    }

    // --- changes that change nothing ---

    /** A day of mixed traffic; after each event something else may happen to the module. */
    private static List<String> day(
            long seed,
            List<RequestClass> classes,
            int[] places,
            List<Tenant> tenants,
            Controller controller,
            Recorder recorder,
            Runnable each) {
        return day(seed, 2000, classes, places, tenants, controller, recorder, each);
    }

    private static List<String> day(
            long seed,
            double start,
            List<RequestClass> classes,
            int[] places,
            List<Tenant> tenants,
            Controller controller,
            Recorder recorder,
            Runnable each) {
        Random rnd = new Random(seed);
        recorder.take();
        double nowMillis = start;
        double tick = nowMillis;
        List<String> all = new ArrayList<>();
        ArrayList<String> running = new ArrayList<>();
        for (int i = 0; i < 4000; i++) {
            nowMillis += 10 * rnd.nextDouble();
            if (nowMillis >= tick) {
                tick = nowMillis + 20;
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
                int cls = (int) (classes.size() * rnd.nextDouble() * rnd.nextDouble());
                int tenant = (int) (tenants.size() * rnd.nextDouble() * rnd.nextDouble());
                double due = nowMillis + classes.get(cls).deadlineMillis();
                controller.requestArrived(
                        nowMillis,
                        new Request(
                                "r" + i,
                                places[cls],
                                tenant,
                                rnd.nextInt(9),
                                20,
                                due,
                                0,
                                rnd.nextDouble(),
                                0,
                                "k" + i,
                                null,
                                rnd.nextInt(9) == 0,
                                false));
            }
            each.run();
            for (String line : recorder.take()) {
                all.add(line);
                if (line.startsWith("run ")) {
                    running.add(line.substring(4));
                }
            }
        }
        assertTrue(all.stream().filter(l -> l.startsWith("refuse")).count() > 50);
        return all;
    }

    private static Settings settings(List<RequestClass> classes, List<Tenant> tenants) {
        return new Settings(
                classes,
                tenants,
                new ObjectiveWeights(0.5, 0.2, 0.2, 0.1),
                new Rules(60, 0.25, 10000, 2000, 5, 1500),
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

    private static final int[] SAME_PLACES = IntStream.range(0, 1000).toArray();

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

    /** A day is the same whether this is done after each event or not; the module after it. */
    private static Controller decidesNothing(BiConsumer<Controller, Random> each) {
        List<List<String>> days = new ArrayList<>();
        Controller controller = null;
        for (BiConsumer<Controller, Random> after :
                List.<BiConsumer<Controller, Random>>of((c, r) -> {}, each)) {
            Recorder recorder = new Recorder();
            Controller module = new OverloadController(recorder);
            module.start(1000, 7, settings(CLASSES, TENANTS));
            Random rnd = new Random(9);
            days.add(
                    day(
                            5,
                            CLASSES,
                            SAME_PLACES,
                            TENANTS,
                            module,
                            recorder,
                            () -> after.accept(module, rnd)));
            controller = module;
        }
        assertEquals(days.get(0), days.get(1));
        return controller;
    }

    @Test
    void unchangedQuotasSetAThousandTimesASecondChangeNoDecision() {
        // An event comes each 5 ms in the mean.
        decidesNothing(
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
                decidesNothing(
                        (module, rnd) -> {
                            for (int i = 1; i <= 5; i++) {
                                module.stage(
                                        List.of(),
                                        List.of(
                                                new TenantSlot(
                                                        3 + rnd.nextInt(500),
                                                        new Tenant(rnd.nextInt(99), 0.1)),
                                                new TenantSlot(700, new Tenant(i, 0.1))));
                                module.commit(0);
                            }
                        });
        assertEquals(new Tenant(5, 0.1), ((TenantTable) field(controller, "tenants")).at(700));
    }

    @Test
    void unchangedClassesSetAgainChangeNoDecision() {
        decidesNothing(
                (controller, rnd) -> {
                    int slot = rnd.nextInt(CLASSES.size());
                    controller.stage(List.of(new ClassSlot(slot, CLASSES.get(slot))), List.of());
                    controller.commit(0);
                });
    }

    @Test
    void stagedChangesAndEmptyCommitsChangeNoDecision() {
        Controller controller =
                decidesNothing(
                        (module, rnd) -> {
                            if (rnd.nextInt(10) == 0) {
                                module.discardStaged();
                                module.commit(0);
                            }
                            module.stage(
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
        for (int part : new int[] {100, 1}) {
            Controller controller = new OverloadController(new Recorder());
            controller.start(1000, 7, settings(before, TENANTS));
            ClassTable classes = (ClassTable) field(controller, "classes");
            for (int i = 0; i < 1000; i += part) {
                controller.stage(List.of(new ClassSlot(i, after.get(i))), List.of());
                assertEquals(before.get(i), classes.at(i));
            }
            controller.commit(1000);
            for (int i = 0; i < 1000; i++) {
                assertEquals(i % part == 0 ? after.get(i) : before.get(i), classes.at(i));
            }
        }
    }

    @Property(tries = 40, seed = "34")
    void anyOrderOfChangesDecidesAsAControllerStartedOnTheLastSettings(@ForAll long seed) {
        Random rnd = new Random(seed);
        Recorder recorder = new Recorder();
        Controller controller = new OverloadController(recorder);
        List<RequestClass> begin = List.of(spec(rnd), spec(rnd));
        List<Tenant> quotas = List.of(new Tenant(1, 0.5), new Tenant(2, 0.5));
        controller.start(1000, 7, settings(begin, quotas));
        TreeMap<Integer, RequestClass> classes = new TreeMap<>();
        classes.put(0, begin.get(0));
        classes.put(1, begin.get(1));
        List<Tenant> tenants = new ArrayList<>(quotas);
        for (int i = 0; i < 200; i++) {
            int slot = rnd.nextInt(rnd.nextInt(20) == 0 ? 2000 : 20);
            RequestClass put = rnd.nextInt(3) == 0 ? null : spec(rnd);
            Tenant quota = new Tenant(1 + rnd.nextInt(60), 0.2);
            int tenant = rnd.nextInt(2);
            controller.stage(
                    List.of(new ClassSlot(slot, put)), List.of(new TenantSlot(tenant, quota)));
            if (rnd.nextInt(5) == 0) {
                controller.discardStaged();
                continue;
            }
            if (rnd.nextInt(5) == 0) {
                // Within one change the last word on a place counts.
                put = spec(rnd);
                controller.stage(List.of(new ClassSlot(slot, put)), List.of());
            }
            controller.commit(1000 + i);
            classes.put(slot, put);
            tenants.set(tenant, quota);
        }
        classes.put(0, HASTY);
        controller.stage(List.of(new ClassSlot(0, HASTY)), List.of());
        controller.commit(1900);
        classes.values().removeIf(requestClass -> requestClass == null);
        List<RequestClass> last = List.copyOf(classes.values());
        int[] places = classes.keySet().stream().mapToInt(i -> i).toArray();
        Recorder other = new Recorder();
        Controller started = new OverloadController(other);
        started.start(1000, 7, settings(last, tenants));
        assertEquals(
                day(seed, last, SAME_PLACES, tenants, started, other, () -> {}),
                day(seed, last, places, tenants, controller, recorder, () -> {}));
    }

    // --- cost ---

    /**
     * How many entries are touched by ticks, a calm day, a busy one, a change and a look at what
     * was learned.
     */
    private static long[] touched(int classCount, int tenantCount) {
        List<RequestClass> classes = IntStream.range(0, classCount).mapToObj(i -> HASTY).toList();
        List<Tenant> tenants =
                IntStream.range(0, tenantCount).mapToObj(i -> new Tenant(9, 1.0 / 4)).toList();
        Recorder recorder = new Recorder();
        Controller controller = new OverloadController(recorder);
        controller.start(1000, 7, settings(classes, tenants));
        List<Long> reads = new ArrayList<>(List.of(reads(controller)));
        for (int i = 1; i <= 200; i++) {
            controller.timerFired(1000 + 20 * i, "tick", Fixture.CALM);
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
            controller.timerFired(nowMillis + 5, "tick", Fixture.CALM);
            controller.completed(nowMillis + 10, "c" + i, 10, Outcome.OK);
        }
        reads.add(reads(controller));
        day(
                3,
                11_000,
                classes.subList(0, 2),
                SAME_PLACES,
                tenants.subList(0, 4),
                controller,
                recorder,
                () -> {});
        reads.add(reads(controller));
        controller.stage(
                List.of(new ClassSlot(1, PATIENT)), List.of(new TenantSlot(1, new Tenant(8, 0.1))));
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
        long[] small = touched(2, 4);
        long[] large = touched(24_000, 58_000);
        assertEquals(0, large[0]);
        assertEquals(small[1], large[1]);
        assertTrue(large[1] <= 200 * 20, "calm: " + large[1]);
        // What is held is ordered anew at each event, and which requests are held hangs on how many
        // classes there are.
        assertTrue(large[2] < 2 * small[2], "busy: " + small[2] + ", " + large[2]);
        assertEquals(small[3], large[3]);
        assertTrue(large[3] <= 10, "change: " + large[3]);
        assertEquals(small[4], large[4]);
    }
}
