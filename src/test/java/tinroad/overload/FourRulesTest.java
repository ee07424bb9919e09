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
import tinroad.overload.Controller.Outcome;
import tinroad.overload.Controller.Request;
import tinroad.overload.Controller.RequestClass;
import tinroad.overload.Controller.Rules;
import tinroad.overload.Controller.Settings;
import tinroad.overload.Controller.Tenant;
import tinroad.overload.Controller.TenantSlot;

/**
 * Seeded random events over varied settings: the controller breaks no rule, and a broken one is
 * found out.
 */
@SuppressWarnings("EnumOrdinal") // Random draws choose by index.
class FourRulesTest {
    private static Settings settings(Random rnd) {
        boolean calls = rnd.nextBoolean();
        List<RequestClass> classes = new ArrayList<>();
        for (Idempotency kind : Idempotency.values()) {
            classes.add(spec(rnd, kind, calls));
        }
        List<Tenant> tenants =
                rnd.nextBoolean() ? List.of() : List.of(new Tenant(20, 0.5), new Tenant(20, 0.5));
        DependencyKind below =
                calls ? DependencyKind.values()[1 + rnd.nextInt(2)] : DependencyKind.NONE;
        return new Settings(
                classes,
                tenants,
                new ObjectiveWeights(0.5, 0.2, 0.2, 0.1),
                new Rules(60, 0.2 + rnd.nextDouble() * 0.5, 5000, 1000, 3 + rnd.nextInt(5), 1500),
                new Dependency(below, rnd.nextDouble() * 4, 1000, 200),
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

    private static RequestClass spec(Random rnd, Idempotency kind, boolean calls) {
        return new RequestClass(
                500 + rnd.nextInt(1000),
                rnd.nextInt(2),
                2000 + rnd.nextInt(2000),
                1 + rnd.nextInt(5),
                rnd.nextInt(2) * 0.2,
                kind,
                3000 + rnd.nextInt(4000),
                calls,
                rnd.nextInt(2) * 0.5);
    }

    private static RuleChecker play(long seed, Function<Controller.Actions, Controller> factory) {
        return play(seed, factory, 0);
    }

    /**
     * {@code changes}: so many of a hundred events are preceded by a part of a change of classes
     * and tenants.
     */
    private static RuleChecker play(
            long seed, Function<Controller.Actions, Controller> factory, int changes) {
        Random rnd = new Random(seed);
        Settings set = settings(rnd);
        RuleChecker server = new RuleChecker(set);
        Controller c = factory.apply(server);
        Random edits = new Random(-seed);
        List<RequestClass> next = new ArrayList<>(server.classes);
        server.now = 1000;
        c.start(server.now, seed, set);
        double leaveAt = 9000;
        boolean draining = false;
        double nextTick = server.now + 20;
        while (server.now < leaveAt) {
            server.now = Math.min(nextTick, server.now + rnd.nextInt(12));
            if (!draining && server.now > 6000) {
                draining = true;
                server.drainedAt = server.now;
                c.beginDraining(server.now, leaveAt);
            }
            if (edits.nextInt(100) < changes) {
                change(edits, set, server, next, c);
            }
            if (rnd.nextInt(100) < 40) {
                arrive(rnd, set, server, c);
            }
            for (RuleChecker.Seen s : List.copyOf(server.seen.values())) {
                step(rnd, server, c, s);
            }
            if (server.now >= nextTick) {
                nextTick = server.now + 20;
                c.timerFired(
                        server.now,
                        "tick",
                        new Gauges(rnd.nextDouble(), rnd.nextInt(10), 0.5, rnd.nextInt(200)));
            }
            server.check(leaveAt);
        }
        return server;
    }

    /**
     * Puts a class anew, changes one in place or takes one out, and now and then has all of it
     * count or none.
     */
    private static void change(
            Random rnd, Settings set, RuleChecker server, List<RequestClass> next, Controller c) {
        int slot = rnd.nextInt(8);
        while (next.size() <= slot) {
            next.add(null);
        }
        boolean inUse = slot < server.classes.size() && server.classes.get(slot) != null;
        boolean named =
                server.seen.values().stream()
                                .anyMatch(s -> s.request.classSlot() == slot && !s.over)
                        || server.kept.keySet().stream()
                                .anyMatch(id -> server.seen.get(id).request.classSlot() == slot);
        if (rnd.nextInt(3) == 0) {
            next.set(slot, null);
            c.stage(List.of(new ClassSlot(slot, null)), List.of());
        } else if (inUse || !named) {
            next.set(
                    slot,
                    spec(
                            rnd,
                            Idempotency.values()[slot % 3],
                            set.classes().get(0).callsDependency()));
            c.stage(
                    List.of(new ClassSlot(slot, next.get(slot))),
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
                c.commit(server.now);
                server.classes.clear();
                server.classes.addAll(next);
            }
            case 1 -> {
                c.discardStaged();
                next.clear();
                next.addAll(server.classes);
            }
            default -> {}
        }
    }

    private static void arrive(Random rnd, Settings set, RuleChecker server, Controller c) {
        int cls = server.classes.size() > 3 ? rnd.nextInt(server.classes.size()) : rnd.nextInt(3);
        if (server.classes.get(cls) == null) {
            return;
        }
        String key = cls + "-" + rnd.nextInt(40);
        double age = rnd.nextInt(30);
        double due = set.requestsCarryDeadline() ? server.now - age + 300 + rnd.nextInt(2500) : 0;
        String repeats =
                cls % 3 == 2 || (cls % 3 == 0 && set.resultFreshMillis() == 0)
                        ? null
                        : server.repeatOf(key, server.now - age);
        Request r =
                new Request(
                        "r" + server.seen.size(),
                        cls,
                        set.tenants().isEmpty() ? 0 : rnd.nextInt(2),
                        rnd.nextInt(3),
                        5 + rnd.nextInt(40),
                        due,
                        age,
                        rnd.nextDouble(),
                        rnd.nextInt(300),
                        key,
                        repeats,
                        rnd.nextBoolean(),
                        cls % 3 > 0);
        server.arrive(r);
        c.requestArrived(server.now, r);
    }

    private static void step(Random rnd, RuleChecker server, Controller c, RuleChecker.Seen s) {
        String id = s.request.id();
        int dice = rnd.nextInt(400);
        if (s.running && dice < 12) {
            Outcome outcome =
                    s.answers > 0 && rnd.nextBoolean()
                            ? Outcome.CANCELED
                            : rnd.nextInt(4) == 0 ? Outcome.FAILED : Outcome.OK;
            server.end(id, outcome);
            c.completed(server.now, id, 50, outcome);
        } else if (s.running
                && dice < 15
                && server.settings.dependency().kind() != DependencyKind.NONE) {
            s.running = false;
            s.atCall = true;
            c.dependencyCallNeeded(server.now, id);
        } else if (s.atCall && dice < 12 && (s.calling || s.answers > 0)) {
            Outcome outcome = s.answers > 0 ? Outcome.CANCELED : Outcome.values()[rnd.nextInt(6)];
            if (s.calling) {
                server.callEnds(s, outcome);
            }
            if (outcome == Outcome.CANCELED) {
                server.end(id, outcome);
                c.completed(server.now, id, 50, outcome);
            } else {
                c.dependencyCallCompleted(server.now, id, 50, outcome);
            }
        } else if (s.joined != null && !s.over && server.seen.get(s.joined).over) {
            server.end(id, Outcome.OK);
            c.completed(server.now, id, 50, Outcome.OK);
        } else if (s.running && dice == 399 && s.answers == 0) {
            s.answers = 1;
            c.cancelled(server.now, id);
        }
    }

    @Test
    void noRuleIsBrokenUnderRandomEventsAndSettings() {
        for (long seed = 1; seed <= 150; seed++) {
            assertEquals(List.of(), play(seed, OverloadController::new).broken, "seed " + seed);
        }
    }

    @Test
    void noRuleIsBrokenWhileClassesAndTenantsChange() {
        long answered = 0;
        for (long seed = 1; seed <= 150; seed++) {
            RuleChecker server = play(seed, OverloadController::new, 30);
            assertEquals(List.of(), server.broken, "seed " + seed);
            answered +=
                    server.seen.values().stream()
                            .filter(s -> s.ran && s.request.classSlot() > 2)
                            .count();
        }
        assertTrue(answered > 1000, "ran at places put anew: " + answered);
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

    /** A controller with one action taken away or doubled breaks the rule that the action keeps. */
    private static List<String> brokenWithout(String action) {
        assertTrue(
                Stream.of(Controller.Actions.class.getMethods())
                        .anyMatch(method -> method.getName().equals(action)),
                "no such action: " + action);
        List<String> broken = new ArrayList<>();
        for (long seed = 1; seed <= 40; seed++) {
            broken.addAll(
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
                            .broken);
        }
        return broken;
    }

    @Test
    void theCheckerFindsABrokenController() {
        assertTrue(brokenWithout("fail").stream().anyMatch(b -> b.startsWith("lost")));
        assertTrue(
                brokenWithout("retainKey").stream().anyMatch(b -> b.startsWith("duplicate key")));
        assertTrue(
                brokenWithout("reject").stream()
                        .anyMatch(
                                b ->
                                        b.startsWith("fall-over")
                                                || b.startsWith("drain")
                                                || b.startsWith("lost")));
    }
}
