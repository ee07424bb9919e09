package tinroad.overload;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import tinroad.overload.Controller.Estimate;
import tinroad.overload.Controller.Idempotency;
import tinroad.overload.Controller.RequestClass;

/** What one incarnation of the controller exports and the next restores. */
class LearnedStatisticsTest {
    private static final List<RequestClass> CLASSES =
            List.of(
                    new RequestClass(1000, 0, 2000, 1, 0, Idempotency.IDEMPOTENT, 0, false, 0),
                    new RequestClass(2000, 0, 4000, 3, 0, Idempotency.NON_IDEMPOTENT, 0, false, 0));

    private final LearnedStatistics learned = new LearnedStatistics();
    private final ClassTable classes =
            new ClassTable(
                    CLASSES,
                    learned,
                    20_000,
                    (ratio, worst) -> Math.max(0, 1 - (ratio - worst) / 0.1),
                    false,
                    0);

    private double run(int slot) {
        return learned.runMillis(stats(slot), CLASSES.get(slot));
    }

    private ClassStatistics stats(int slot) {
        ClassStatistics[] found = new ClassStatistics[1];
        classes.update(slot, (statistics, requestClass) -> found[0] = statistics);
        return found[0];
    }

    @Test
    void exportedEstimatesAreRestoredWithLittleWeight() {
        LearnedStatisticsTest before = new LearnedStatisticsTest();
        before.classes.update(
                0,
                (statistics, requestClass) -> {
                    statistics.runMillis = 24;
                    statistics.runSamples = 5000;
                    statistics.calmRunMillis = 20;
                });
        before.learned.returningShare = 0.4;
        learned.restore(before.learned.export(before.classes), 1, classes);
        assertEquals(20, run(0));
        assertEquals(2, stats(0).runSamples);
        assertEquals(500, run(1));
        assertEquals(0.4, learned.returningShare);
    }

    @Test
    void coldEngineScalesRestoredRunTimesUpToTheUnlearnedOnes() {
        learned.restore(
                Map.of("run.0", new Estimate(24, 9), "run.1", new Estimate(30_000, 9)),
                0.2,
                classes);
        assertEquals(120, run(0));
        assertEquals(500, run(1));
        // Neither a cold engine nor values of another, slower day count as a slowdown.
        assertEquals(250, learned.calmRunMillis(stats(0), CLASSES.get(0)));
        assertEquals((120 + 500) / 750.0, classes.slowdown(), 1e-12);
    }

    @Test
    void exportsAllUntilTheFirstRequestAndThenOnlyMeasuredOrRestoredClasses() {
        Map<String, Estimate> assumed = learned.export(classes);
        assertEquals(Set.of("run.0", "calm.0", "run.1", "calm.1", "returning"), assumed.keySet());
        assertEquals(new Estimate(500, 2), assumed.get("calm.1"));
        classes.requestArrived(0);
        assertEquals(Set.of("returning"), learned.export(classes).keySet());
        learned.restore(Map.of("calm.1", new Estimate(400, 9)), 1, classes);
        // A restored estimate is exported again, so that the next incarnation receives it
        // unchanged.
        assertEquals(Set.of("run.1", "calm.1", "returning"), learned.export(classes).keySet());
        assertEquals(new Estimate(500, 2), learned.export(classes).get("calm.1"));
    }

    @Test
    void ignoresNamesOfNoSlot() {
        learned.restore(
                Map.of(
                        "run.-1",
                        new Estimate(1, 1),
                        "run.",
                        new Estimate(1, 1),
                        "calm.99999999999",
                        new Estimate(1, 1),
                        "0",
                        new Estimate(1, 1),
                        "run.2",
                        new Estimate(1, 1),
                        "runs.0",
                        new Estimate(1, 1)),
                1,
                classes);
        classes.requestArrived(0);
        assertEquals(Set.of("returning"), learned.export(classes).keySet());
    }

    @Property(tries = 500, seed = "21")
    void anyRestoredNumbersLeaveValidEstimates(
            @ForAll double run,
            @ForAll double calm,
            @ForAll double weight,
            @ForAll double returning) {
        LearnedStatisticsTest after = new LearnedStatisticsTest();
        after.learned.restore(
                Map.of(
                        "run.0",
                        new Estimate(run, weight),
                        "calm.0",
                        new Estimate(calm, weight),
                        "run.9",
                        new Estimate(run, 1),
                        "returning",
                        new Estimate(returning, 1),
                        "unheard.of",
                        new Estimate(1, 1)),
                0.2,
                after.classes);
        for (int i = 0; i < CLASSES.size(); i++) {
            assertTrue(
                    after.run(i) > 0
                            && after.run(i) < Double.POSITIVE_INFINITY
                            && after.learned.calmRunMillis(after.stats(i), CLASSES.get(i)) > 0
                            && after.stats(i).runSamples > 0,
                    "" + after.run(i));
        }
        assertTrue(after.learned.returningShare > 0 && after.learned.returningShare <= 1);
    }
}
