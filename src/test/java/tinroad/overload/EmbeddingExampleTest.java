package tinroad.overload;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

/** The README's embedding example, compiled and run. */
class EmbeddingExampleTest {
    @Test
    void theReadmeExampleRuns() {
        // README:begin
        var read =
                new Controller.RequestClass(
                        /* aim, stretch, deadline */ 800,
                        0,
                        3000, /* worth, late share */
                        1,
                        0,
                        Controller.Idempotency.IDEMPOTENT, /* key window */
                        0, /* calls, skip worth */
                        false,
                        0);
        var goal =
                new Controller.ObjectiveWeights(
                        /* whole */ 1, /* worst window, class, tenant */ 0, 0, 0);
        var rules =
                new Controller.Rules(
                        /* answer slack */ 50, /* cold from, ramp */
                        0.3,
                        10000,
                        /* drain grace */ 2000, /* crowd a core, its span */
                        4,
                        1500);
        var nothingBelow = new Controller.Dependency(Controller.DependencyKind.NONE, 0, 0, 0);
        int cores = 8;
        int servers = 12;
        int callers = 4;
        double callersCloseAfter = 30000;
        double memoryKb = 65536;
        double runFactor = 4;
        double maxStayAway = 1000;
        double batchStep = 1;
        var settings =
                new Controller.Settings(
                        List.of(read), /* tenants */
                        List.of(),
                        goal,
                        rules,
                        nothingBelow,
                        Controller.LoadHint.NONE,
                        Controller.CancellationMode.NONE,
                        cores,
                        servers,
                        callers,
                        /* cold, tells deadlines */ false,
                        true,
                        callersCloseAfter,
                        memoryKb,
                        runFactor,
                        /* key kB, fresh for */ 0,
                        0,
                        maxStayAway, /* advice passed on, retries marked */
                        true,
                        true,
                        /* worth over share */ 1,
                        batchStep, /* worth by work */
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
                        /* due, age */ 3005,
                        0, /* rank, work */
                        0.5,
                        0, /* key, repeats */
                        null,
                        null,
                        /* resent, write */ false,
                        false));
        controller.completed(60, "r1", /* elapsed */ 55, Controller.Outcome.OK);
        // README:end
        assertEquals(List.of("run r1"), actions.take("run"));
    }
}
