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
 * Checks the simulation in extreme cases whose result is known without it, and against the overload
 * controller itself.
 */
class TenantQuotaSimulationTest {
    private final TenantQuotaSimulation simulation = new TenantQuotaSimulation(3000, 2.5);

    /**
     * For a tenant with a very low quota, a single request already exceeds its share and the
     * allowance for random variation.
     */
    @Test
    void aRareTenantIsAlwaysOverItsQuota() {
        TenantQuotaSimulation.Outcome outcome = simulation.simulate(1, 1, 1000);
        assertEquals(1, outcome.overShare());
        assertEquals(0.003 + 2.5 * Math.sqrt(0.003), outcome.meanWeight(), 0.01);
    }

    @Test
    void aFrequentTenantIsRatedCorrectly() {
        assertEquals(0, simulation.simulate(1000, 1, 1).overShare(), 0.001);
        assertEquals(1, simulation.simulate(1000, 2, 1).overShare(), 0.001);
        assertEquals(0.5, simulation.simulate(1_000_000, 2, 1).meanWeight(), 0.01);
    }

    /**
     * Fewer counters see more requests each, so random variation matters less: a tenant within its
     * quota is rated over it less often, and one that exceeds its quota gets a lower weight.
     */
    @Test
    void fewerCountersTellTenantsWithinAndOverQuotaApartBetter() {
        assertTrue(
                simulation.simulate(10, 1, 1).overShare()
                        < simulation.simulate(10, 1, 100).overShare());
        assertTrue(
                simulation.simulate(10, 10, 1).meanWeight()
                        < simulation.simulate(10, 10, 100).meanWeight());
        assertEquals(0.3, simulation.expectedRequests(10, 100), 1e-9);
    }

    @Test
    void repeatedSimulationsGiveTheSameResult() {
        assertEquals(simulation.simulate(6.5, 2, 20), simulation.simulate(6.5, 2, 20));
    }

    /**
     * Runs the overload controller itself. Under load it rejects a tenant's requests as soon as one
     * weighs less than the cutoff; at rank 1 that is the request at which the ratio of allowed to
     * received requests falls below the cutoff.
     */
    @Test
    void theOverloadControllerAppliesTheSameLimit() {
        for (double quota : new double[] {0.05, 1, 5, 20}) {
            for (int counters : new int[] {1, 3}) {
                assertEquals(
                        Math.floor(simulation.allowedRequests(quota, counters) / 0.3),
                        admittedRequests(quota, counters),
                        quota + " at " + counters);
            }
        }
    }

    private static final String ADVERTISED = "advertiseLoad ";
    private static final String REJECTED = "reject ";

    /** Returns how many simultaneous requests of a tenant are admitted at a cutoff of 0.3. */
    private static long admittedRequests(double quota, int counters) {
        List<String> actions = new ArrayList<>();
        Controller controller =
                new OverloadController(
                        (Controller.Actions)
                                Proxy.newProxyInstance(
                                        Controller.class.getClassLoader(),
                                        new Class<?>[] {Controller.Actions.class},
                                        (proxy, method, args) ->
                                                actions.add(method.getName() + " " + args[0])
                                                        ? null
                                                        : null));
        double nowMillis = 1000;
        controller.start(
                nowMillis,
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
                        new Controller.OperatingLimits(60, 0.25, 10000, 2000, 5, 1500),
                        new Controller.Dependency(Controller.DependencyKind.NONE, 0, 0, 0),
                        Controller.LoadHint.MIN_RANK,
                        Controller.CancellationMode.NONE,
                        1,
                        counters,
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
            controller.requestArrived(nowMillis, request("calm" + i, 1, 0));
            controller.completed(++nowMillis, "calm" + i, 1, Controller.Outcome.OK);
        }
        controller.requestArrived(nowMillis, request("runs", 1, 0));
        for (int i = 0; i < 30; i++) {
            // The work exceeds the objective, so it is missed, and the cutoff rises by one step at
            // the next tick.
            controller.requestArrived(nowMillis, request("late" + i, 1, 5000));
            nowMillis += 0.1;
            controller.timerFired(nowMillis, "tick", new Controller.Gauges(1, 1, 0, 1));
        }
        // The controller advertises its cutoff in steps of 0.05.
        assertEquals(
                0.3,
                actions.stream()
                        .filter(line -> line.startsWith(ADVERTISED))
                        .mapToDouble(
                                line -> Double.parseDouble(line.substring(ADVERTISED.length())))
                        .max()
                        .orElse(0),
                0.05);
        actions.clear();
        for (int i = 0; i < 400; i++) {
            controller.requestArrived(nowMillis, request("asked" + i, 0, 0));
        }
        return 400 - actions.stream().filter(line -> line.startsWith(REJECTED)).count();
    }

    private static Controller.Request request(String id, int tenant, double work) {
        return new Controller.Request(id, 0, tenant, 1, 1, 0, 0, 1, work, null, null, false, false);
    }
}
