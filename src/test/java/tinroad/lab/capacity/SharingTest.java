package tinroad.lab.capacity;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import tinroad.overload.Controller;
import tinroad.overload.OverloadController;

/**
 * What a verdict by a count of its own is worth, at the ends where that is known without a
 * simulation.
 */
class SharingTest {
    private final Sharing sharing = new Sharing(3000, 2.5);

    /**
     * Of one that sends next to nothing, the first request alone is more than its share and all
     * chance beside it.
     */
    @Test
    void aTenantHardlySeenIsAlwaysBeyondItsShare() {
        Sharing.Verdict seldom = sharing.judge(1, 1, 1000);
        assertEquals(1, seldom.over());
        assertEquals(0.003 + 2.5 * Math.sqrt(0.003), seldom.worth(), 0.01);
    }

    @Test
    void aTenantSeenOftenIsJudgedRight() {
        assertEquals(0, sharing.judge(1000, 1, 1).over(), 0.001);
        assertEquals(1, sharing.judge(1000, 2, 1).over(), 0.001);
        assertEquals(0.5, sharing.judge(1_000_000, 2, 1).worth(), 0.01);
    }

    /**
     * The fewer places count, the less of chance: the one that keeps to its quota is judged better,
     * the one that does not worse.
     */
    @Test
    void countingTogetherTellsThemApart() {
        assertTrue(sharing.judge(10, 1, 1).over() < sharing.judge(10, 1, 100).over());
        assertTrue(sharing.judge(10, 10, 1).worth() < sharing.judge(10, 10, 100).worth());
        assertEquals(0.3, sharing.expected(10, 100), 1e-9);
    }

    @Test
    void theSameFiguresEachTime() {
        assertEquals(sharing.judge(6.5, 2, 20), sharing.judge(6.5, 2, 20));
    }

    /**
     * The module itself: under pressure it refuses a tenant's requests from the first one on that
     * counts less than the cut, and with rank 1 that is the one at which what is allowed over what
     * came falls below it.
     */
    @Test
    void theModuleJudgesAlike() {
        for (double quota : new double[] {0.05, 1, 5, 20}) {
            for (int places : new int[] {1, 3}) {
                assertEquals(
                        Math.floor(sharing.allowed(quota, places) / 0.3),
                        admitted(quota, places),
                        quota + " at " + places);
            }
        }
    }

    private static final String ADVERTISED = "advertiseLoad ";
    private static final String REJECTED = "reject ";

    /** How many of one tenant's requests the module takes at one moment, with its cut at 0.3. */
    private static long admitted(double quota, int places) {
        List<String> said = new ArrayList<>();
        Controller module =
                new OverloadController(
                        (Controller.Actions)
                                Proxy.newProxyInstance(
                                        Controller.class.getClassLoader(),
                                        new Class<?>[] {Controller.Actions.class},
                                        (proxy, method, args) ->
                                                said.add(method.getName() + " " + args[0])
                                                        ? null
                                                        : null));
        double now = 1000;
        module.start(
                now,
                7,
                new Controller.Settings(
                        List.of(
                                new Controller.RequestClass(
                                        1000,
                                        0,
                                        4000,
                                        1,
                                        0,
                                        Controller.Idempotency.IDEMPOTENT,
                                        0,
                                        false,
                                        0)),
                        List.of(new Controller.Tenant(quota, 0), new Controller.Tenant(1e6, 0)),
                        new Controller.ObjectiveWeights(0.5, 0.2, 0.2, 0.1),
                        new Controller.Rules(60, 0.25, 10000, 2000, 5, 1500),
                        new Controller.Dependency(Controller.DependencyKind.NONE, 0, 0, 0),
                        Controller.LoadHint.MIN_RANK,
                        Controller.CancellationMode.NONE,
                        1,
                        places,
                        3,
                        false,
                        false,
                        30000,
                        0,
                        1,
                        0,
                        0,
                        1000,
                        true,
                        true,
                        0,
                        5,
                        false));
        for (int i = 0; i < 200; i++) {
            module.requestArrived(now, request("calm" + i, 1, 0));
            module.completed(++now, "calm" + i, 1, Controller.Outcome.OK);
        }
        module.requestArrived(now, request("runs", 1, 0));
        for (int i = 0; i < 30; i++) {
            // More work than its aim: it is missed, and the cut rises by a step at the next tick.
            module.requestArrived(now, request("late" + i, 1, 5000));
            now += 0.1;
            module.timerFired(now, "tick", new Controller.Gauges(1, 1, 0, 1));
        }
        // It says its cut anew by steps of 0.05.
        assertEquals(
                0.3,
                said.stream()
                        .filter(line -> line.startsWith(ADVERTISED))
                        .mapToDouble(
                                line -> Double.parseDouble(line.substring(ADVERTISED.length())))
                        .max()
                        .orElse(0),
                0.05);
        said.clear();
        for (int i = 0; i < 400; i++) {
            module.requestArrived(now, request("asked" + i, 0, 0));
        }
        return 400 - said.stream().filter(line -> line.startsWith(REJECTED)).count();
    }

    private static Controller.Request request(String id, int tenant, double work) {
        return new Controller.Request(id, 0, tenant, 1, 1, 0, 0, 1, work, null, null, false, false);
    }
}
