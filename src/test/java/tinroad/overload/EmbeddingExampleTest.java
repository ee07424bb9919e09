package tinroad.overload;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

/** An example of embedding the controller, compiled and run. */
class EmbeddingExampleTest {
    @Test
    void theReadmeExampleRuns() {
        // README:begin
        var readClass =
                new Controller.RequestClass(
                        /* objective, objective per work, deadline */ 800,
                        0,
                        3000, /* priority weight, late weight share */
                        1,
                        0,
                        Controller.Idempotency.IDEMPOTENT, /* key window */
                        0, /* calls dependency, degraded weight share */
                        false,
                        0);
        var objectiveWeights =
                new Controller.ObjectiveWeights(
                        /* overall */ 1, /* worst window, class, tenant */ 0, 0, 0);
        var rules =
                new Controller.OperatingLimits(
                        /* answer slack */ 50, /* cold start speed, slow start */
                        0.3,
                        10000,
                        /* drain grace */ 2000, /* concurrency per core, its window */
                        4,
                        1500);
        var noDependency = new Controller.Dependency(Controller.DependencyKind.NONE, 0, 0, 0);
        int cores = 8;
        int servers = 12;
        int callers = 4;
        double clientIdleTimeoutMillis = 30000;
        double memoryKb = 65536;
        double runMemoryFactor = 4;
        double maxRetryAfterMillis = 1000;
        double clockStepMillis = 1;
        var settings =
                new Controller.Settings(
                        List.of(readClass), /* tenants */
                        List.of(),
                        objectiveWeights,
                        rules,
                        noDependency,
                        Controller.LoadHint.NONE,
                        Controller.CancellationMode.NONE,
                        cores,
                        servers,
                        callers,
                        /* cold start, requests carry deadline */ false,
                        true,
                        clientIdleTimeoutMillis,
                        memoryKb,
                        runMemoryFactor,
                        /* key kB, results fresh for */ 0,
                        0,
                        maxRetryAfterMillis, /* sends Retry-After, requests mark retries */
                        true,
                        true,
                        /* weight over quota */ 1,
                        clockStepMillis, /* weight by work */
                        false);
        Recorder actions = new Recorder(); // your implementation of Controller.Actions
        Controller controller = new OverloadController(actions);
        controller.start(0, /* seed */ 42, settings);
        controller.requestArrived(
                5,
                new Controller.Request(
                        "r1", /* class, tenant, caller */
                        0,
                        0,
                        0, /* kB */
                        16,
                        /* deadline, age */ 3005,
                        0, /* priority, work */
                        0.5,
                        0, /* result key, duplicate of */
                        null,
                        null,
                        /* retry, write */ false,
                        false));
        controller.completed(60, "r1", /* elapsed */ 55, Controller.Outcome.OK);
        // README:end
        assertEquals(List.of("run r1"), actions.take("run"));
    }
}
