package tinroad.overload;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.Function;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import tinroad.overload.Controller.CancellationMode;
import tinroad.overload.Controller.ClassSlot;
import tinroad.overload.Controller.Dependency;
import tinroad.overload.Controller.DependencyKind;
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

/**
 * The controller breaks none of the four rules under seeded random events and varied settings, and
 * {@link RuleChecker} finds the violations of a broken controller.
 */
@SuppressWarnings("EnumOrdinal") // Random draws choose by index.
class FourRulesTest {
    private static Settings settings(Random rnd) {
        boolean callsDependency = rnd.nextBoolean();
        List<RequestClass> classes = new ArrayList<>();
        for (Idempotency idempotency : Idempotency.values()) {
            classes.add(spec(rnd, idempotency, callsDependency));
        }
        List<Tenant> tenants =
                rnd.nextBoolean() ? List.of() : List.of(new Tenant(20, 0.5), new Tenant(20, 0.5));
        DependencyKind dependencyKind =
                callsDependency ? DependencyKind.values()[1 + rnd.nextInt(2)] : DependencyKind.NONE;
        return new Settings(
                classes,
                tenants,
                new ObjectiveWeights(0.5, 0.2, 0.2, 0.1),
                new OperatingLimits(
                        60, 0.2 + rnd.nextDouble() * 0.5, 5000, 1000, 3 + rnd.nextInt(5), 1500),
                new Dependency(dependencyKind, rnd.nextDouble() * 4, 1000, 200),
                LoadHint.values()[rnd.nextInt(4)],
                CancellationMode.values()[rnd.nextInt(3)],
                1 + rnd.nextInt(8),
                5,
                3,
                rnd.nextBoolean(),
                rnd.nextBoolean(),
                30000,
                1000 + rnd.nextInt(8000),
                2 + rnd.nextInt(8),
                5 + rnd.nextInt(60),
                rnd.nextInt(2) * 400,
                1000,
                rnd.nextBoolean(),
                rnd.nextBoolean(),
                0.1,
                5,
                rnd.nextBoolean());
    }

    private static RequestClass spec(Random rnd, Idempotency idempotency, boolean callsDependency) {
        return new RequestClass(
                500 + rnd.nextInt(1000),
                rnd.nextInt(2),
                2000 + rnd.nextInt(2000),
                1 + rnd.nextInt(5),
                rnd.nextInt(2) * 0.2,
                idempotency,
                3000 + rnd.nextInt(4000),
                callsDependency,
                rnd.nextInt(2) * 0.5);
    }

    private static RuleChecker play(long seed, Function<Controller.Actions, Controller> factory) {
        return play(seed, factory, 0);
    }

    /**
     * Plays random events. Of every hundred events, {@code changes} are preceded by a part of a
     * change of classes and tenants.
     */
    private static RuleChecker play(
            long seed, Function<Controller.Actions, Controller> factory, int changes) {
        Random rnd = new Random(seed);
        Settings settings = settings(rnd);
        RuleChecker checker = new RuleChecker(settings);
        Controller controller = factory.apply(checker);
        Random changeRandom = new Random(-seed);
        List<RequestClass> nextClasses = new ArrayList<>(checker.classes);
        checker.nowMillis = 1000;
        controller.start(checker.nowMillis, seed, settings);
        double shutdownAtMillis = 9000;
        boolean draining = false;
        double nextTickMillis = checker.nowMillis + 20;
        while (checker.nowMillis < shutdownAtMillis) {
            checker.nowMillis = Math.min(nextTickMillis, checker.nowMillis + rnd.nextInt(12));
            if (!draining && checker.nowMillis > 6000) {
                draining = true;
                checker.drainingSinceMillis = checker.nowMillis;
                controller.beginDraining(checker.nowMillis, shutdownAtMillis);
            }
            if (changeRandom.nextInt(100) < changes) {
                change(changeRandom, settings, checker, nextClasses, controller);
            }
            if (rnd.nextInt(100) < 40) {
                arrive(rnd, settings, checker, controller);
            }
            for (RuleChecker.TrackedRequest tracked : List.copyOf(checker.requestsById.values())) {
                step(rnd, checker, controller, tracked);
            }
            if (checker.nowMillis >= nextTickMillis) {
                nextTickMillis = checker.nowMillis + 20;
                controller.timerFired(
                        checker.nowMillis,
                        "tick",
                        new Gauges(rnd.nextDouble(), rnd.nextInt(10), 0.5, rnd.nextInt(200)));
            }
            checker.check(shutdownAtMillis);
        }
        return checker;
    }

    /**
     * Stages the addition, change or removal of a class, and sometimes commits or discards
     * everything that is staged.
     */
    private static void change(
            Random rnd,
            Settings settings,
            RuleChecker checker,
            List<RequestClass> nextClasses,
            Controller controller) {
        int slot = rnd.nextInt(8);
        while (nextClasses.size() <= slot) {
            nextClasses.add(null);
        }
        boolean inUse = slot < checker.classes.size() && checker.classes.get(slot) != null;
        boolean referenced =
                checker.requestsById.values().stream()
                                .anyMatch(
                                        tracked ->
                                                tracked.request.classSlot() == slot
                                                        && !tracked.ended)
                        || checker.retainedKeys.keySet().stream()
                                .anyMatch(
                                        id ->
                                                checker.requestsById.get(id).request.classSlot()
                                                        == slot);
        if (rnd.nextInt(3) == 0) {
            nextClasses.set(slot, null);
            controller.stage(List.of(new ClassSlot(slot, null)), List.of());
        } else if (inUse || !referenced) {
            nextClasses.set(
                    slot,
                    spec(
                            rnd,
                            Idempotency.values()[slot % 3],
                            settings.classes().get(0).callsDependency()));
            controller.stage(
                    List.of(new ClassSlot(slot, nextClasses.get(slot))),
                    List.of(
                            new TenantSlot(
                                    rnd.nextInt(2),
                                    rnd.nextInt(4) == 0
                                            ? null
                                            : new Tenant(
                                                    1 + rnd.nextInt(50),
                                                    0.1 + 0.5 * rnd.nextDouble()))));
        }
        switch (rnd.nextInt(4)) {
            case 0 -> {
                controller.commit(checker.nowMillis);
                checker.classes.clear();
                checker.classes.addAll(nextClasses);
            }
            case 1 -> {
                controller.discardStaged();
                nextClasses.clear();
                nextClasses.addAll(checker.classes);
            }
            default -> {}
        }
    }

    private static void arrive(
            Random rnd, Settings settings, RuleChecker checker, Controller controller) {
        int classSlot =
                checker.classes.size() > 3 ? rnd.nextInt(checker.classes.size()) : rnd.nextInt(3);
        if (checker.classes.get(classSlot) == null) {
            return;
        }
        String key = classSlot + "-" + rnd.nextInt(40);
        double ageMillis = rnd.nextInt(30);
        double deadlineAtMillis =
                settings.requestsCarryDeadline()
                        ? checker.nowMillis - ageMillis + 300 + rnd.nextInt(2500)
                        : 0;
        String duplicateOf =
                classSlot % 3 == 2 || (classSlot % 3 == 0 && settings.resultReplayMillis() == 0)
                        ? null
                        : checker.findDuplicate(key, checker.nowMillis - ageMillis);
        Request incoming =
                new Request(
                        "r" + checker.requestsById.size(),
                        classSlot,
                        settings.tenants().isEmpty() ? 0 : rnd.nextInt(2),
                        rnd.nextInt(3),
                        5 + rnd.nextInt(40),
                        deadlineAtMillis,
                        ageMillis,
                        rnd.nextDouble(),
                        rnd.nextInt(300),
                        key,
                        duplicateOf,
                        rnd.nextBoolean(),
                        classSlot % 3 > 0);
        checker.arrive(incoming);
        controller.requestArrived(checker.nowMillis, incoming);
    }

    private static void step(
            Random rnd,
            RuleChecker checker,
            Controller controller,
            RuleChecker.TrackedRequest tracked) {
        String id = tracked.request.id();
        int draw = rnd.nextInt(400);
        if (tracked.running && draw < 12) {
            Outcome outcome =
                    tracked.answerCount > 0 && rnd.nextBoolean()
                            ? Outcome.CANCELED
                            : rnd.nextInt(4) == 0 ? Outcome.FAILED : Outcome.OK;
            checker.end(id, outcome);
            controller.completed(checker.nowMillis, id, 50, outcome);
        } else if (tracked.running
                && draw < 15
                && checker.settings.dependency().kind() != DependencyKind.NONE) {
            tracked.running = false;
            tracked.paused = true;
            controller.dependencyCallNeeded(checker.nowMillis, id);
        } else if (tracked.paused
                && draw < 12
                && (tracked.callInFlight || tracked.answerCount > 0)) {
            Outcome outcome =
                    tracked.answerCount > 0 ? Outcome.CANCELED : Outcome.values()[rnd.nextInt(6)];
            if (tracked.callInFlight) {
                checker.callEnded(tracked, outcome);
            }
            if (outcome == Outcome.CANCELED) {
                checker.end(id, outcome);
                controller.completed(checker.nowMillis, id, 50, outcome);
            } else {
                controller.dependencyCallCompleted(checker.nowMillis, id, 50, outcome);
            }
        } else if (tracked.joinedTo != null
                && !tracked.ended
                && checker.requestsById.get(tracked.joinedTo).ended) {
            checker.end(id, Outcome.OK);
            controller.completed(checker.nowMillis, id, 50, Outcome.OK);
        } else if (tracked.running && draw == 399 && tracked.answerCount == 0) {
            tracked.answerCount = 1;
            controller.cancelled(checker.nowMillis, id);
        }
    }

    @Test
    void noRuleIsBrokenUnderRandomEventsAndSettings() {
        for (long seed = 1; seed <= 150; seed++) {
            assertEquals(List.of(), play(seed, OverloadController::new).violations, "seed " + seed);
        }
    }

    @Test
    void noRuleIsBrokenWhileClassesAndTenantsChange() {
        long runsInAddedSlots = 0;
        for (long seed = 1; seed <= 150; seed++) {
            RuleChecker checker = play(seed, OverloadController::new, 30);
            assertEquals(List.of(), checker.violations, "seed " + seed);
            runsInAddedSlots +=
                    checker.requestsById.values().stream()
                            .filter(tracked -> tracked.ran && tracked.request.classSlot() > 2)
                            .count();
        }
        assertTrue(runsInAddedSlots > 1000, "runs in slots of added classes: " + runsInAddedSlots);
    }

    @Test
    void theSameEventsGiveTheSameActions() {
        for (long seed = 1; seed <= 5; seed++) {
            assertEquals(trace(seed), trace(seed));
        }
    }

    private static List<String> trace(long seed) {
        List<String> calls = new ArrayList<>();
        play(
                seed,
                actions ->
                        new OverloadController(
                                (Controller.Actions)
                                        Proxy.newProxyInstance(
                                                FourRulesTest.class.getClassLoader(),
                                                new Class<?>[] {Controller.Actions.class},
                                                (p, m, args) -> {
                                                    calls.add(m.getName() + List.of(args));
                                                    return m.invoke(actions, args);
                                                })));
        assertTrue(calls.size() > 100);
        return calls;
    }

    /** Returns the violations of a controller one of whose actions has no effect. */
    private static List<String> violationsWithout(String action) {
        assertTrue(
                Stream.of(Controller.Actions.class.getMethods())
                        .anyMatch(method -> method.getName().equals(action)),
                "no such action: " + action);
        List<String> violations = new ArrayList<>();
        for (long seed = 1; seed <= 40; seed++) {
            violations.addAll(
                    play(
                                    seed,
                                    actions ->
                                            new OverloadController(
                                                    (Controller.Actions)
                                                            Proxy.newProxyInstance(
                                                                    FourRulesTest.class
                                                                            .getClassLoader(),
                                                                    new Class<?>[] {
                                                                        Controller.Actions.class
                                                                    },
                                                                    (p, m, args) ->
                                                                            m.getName()
                                                                                            .equals(
                                                                                                    action)
                                                                                    ? null
                                                                                    : m.invoke(
                                                                                            actions,
                                                                                            args))))
                            .violations);
        }
        return violations;
    }

    @Test
    void theCheckerFindsABrokenController() {
        assertTrue(
                violationsWithout("fail").stream()
                        .anyMatch(violation -> violation.startsWith("lost")));
        assertTrue(
                violationsWithout("retainKey").stream()
                        .anyMatch(violation -> violation.startsWith("duplicate key")));
        assertTrue(
                violationsWithout("reject").stream()
                        .anyMatch(
                                violation ->
                                        violation.startsWith("limit exceeded")
                                                || violation.startsWith("drain")
                                                || violation.startsWith("lost")));
    }
}
