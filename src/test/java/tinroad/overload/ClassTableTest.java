package tinroad.overload;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import tinroad.overload.Controller.ClassSlot;
import tinroad.overload.Controller.Idempotency;
import tinroad.overload.Controller.RequestClass;

/** The sums of {@link ClassTable} equal those of walks over all classes. */
class ClassTableTest {
    private static final double TIME_CONSTANT_MILLIS = 20_000;
    private static final double LAG_RANGE = 0.1;

    private static double lag(double ratio, double worst) {
        return Math.max(0, 1 - (ratio - worst) / LAG_RANGE);
    }

    /**
     * A reference that walks over all classes. For each slot it holds the recent requests and those
     * answered in time, both decayed at each step, the run time and the calm run time.
     */
    private static final class ReferenceTable {
        final List<RequestClass> specs = new ArrayList<>();
        final List<double[]> values = new ArrayList<>();

        void put(int slot, RequestClass requestClass) {
            while (specs.size() <= slot) {
                specs.add(null);
                values.add(null);
            }
            if (specs.get(slot) == null) {
                values.set(slot, new double[] {0, 0, 0, 0});
            }
            specs.set(slot, requestClass);
        }

        double run(int i) {
            return values.get(i)[2] == 0 ? 0.25 * specs.get(i).objectiveMillis() : values.get(i)[2];
        }

        double calm(int i) {
            return values.get(i)[3] == 0 ? 0.25 * specs.get(i).objectiveMillis() : values.get(i)[3];
        }

        double requestCount() {
            return usedSlots().stream().mapToDouble(i -> values.get(i)[0]).sum();
        }

        double weightSum(boolean weightByWork) {
            return usedSlots().stream()
                    .mapToDouble(
                            i ->
                                    values.get(i)[0]
                                            * specs.get(i).priorityWeight()
                                            * (weightByWork ? run(i) : 1))
                    .sum();
        }

        double ratio(int i) {
            return values.get(i)[0] < 1 ? 1 : Math.min(1, values.get(i)[1] / values.get(i)[0]);
        }

        List<Integer> usedSlots() {
            return IntStream.range(0, specs.size())
                    .filter(i -> specs.get(i) != null)
                    .boxed()
                    .toList();
        }

        double lagShare(int slot) {
            double worst = usedSlots().stream().mapToDouble(this::ratio).reduce(1, Math::min);
            double lags = usedSlots().stream().mapToDouble(i -> lag(ratio(i), worst)).sum();
            return lag(ratio(slot), worst) / lags;
        }
    }

    private static RequestClass spec(Random random) {
        return new RequestClass(
                50 + random.nextInt(2000),
                0,
                4000,
                1 + random.nextInt(9),
                0,
                Idempotency.IDEMPOTENT,
                0,
                false,
                0);
    }

    private final LearnedStatistics learned = new LearnedStatistics();

    private static void assertClose(double reference, double actual, String description) {
        assertEquals(reference, actual, 1e-9 * Math.max(1e-3, reference), description);
    }

    @Property(tries = 50, seed = "32")
    void anyOrderOfSamplesAndChangesGivesTheSumsOfAWalkOverAllClasses(@ForAll long seed) {
        Random random = new Random(seed);
        ReferenceTable reference = new ReferenceTable();
        List<RequestClass> initialClasses = new ArrayList<>();
        for (int i = 0; i < 1 + random.nextInt(40); i++) {
            initialClasses.add(spec(random));
            reference.put(i, initialClasses.get(i));
        }
        boolean weightByWork = random.nextBoolean();
        ClassTable classes =
                new ClassTable(
                        initialClasses,
                        learned,
                        TIME_CONSTANT_MILLIS,
                        ClassTableTest::lag,
                        weightByWork,
                        0);
        double nowMillis = 0;
        List<ClassSlot> stagedChanges = new ArrayList<>();
        double[] maxima = new double[2];
        for (int step = 0; step < 2000; step++) {
            double elapsedMillis =
                    random.nextInt(200) == 0
                            ? 30_000 * random.nextDouble()
                            : 20 * random.nextDouble();
            nowMillis += elapsedMillis;
            classes.advance(nowMillis);
            reference.values.forEach(
                    s -> {
                        if (s != null) {
                            s[0] *= Math.exp(-elapsedMillis / TIME_CONSTANT_MILLIS);
                            s[1] *= Math.exp(-elapsedMillis / TIME_CONSTANT_MILLIS);
                        }
                    });
            List<Integer> usedSlots = reference.usedSlots();
            int draw = random.nextInt(100);
            if (draw < 70 && !usedSlots.isEmpty()) {
                int slot =
                        usedSlots.get(
                                (int)
                                        (usedSlots.size()
                                                * random.nextDouble()
                                                * random.nextDouble()));
                ClassStatistics statistics = classes.requestArrived(slot);
                reference.values.get(slot)[0]++;
                if (random.nextInt(3) > 0) {
                    classes.servedInTime(statistics);
                    reference.values.get(slot)[1]++;
                }
                double sample = 1 + 1000 * random.nextDouble();
                if (random.nextBoolean()) {
                    classes.update(
                            statistics,
                            classes.at(slot),
                            (updated, requestClass) -> {
                                updated.runMillis = sample;
                                updated.calmRunMillis = sample / 2;
                            });
                    reference.values.get(slot)[2] = sample;
                    reference.values.get(slot)[3] = sample / 2;
                }
            } else if (draw < 85) {
                int slot = random.nextInt(reference.specs.size() + 3);
                ClassSlot change =
                        new ClassSlot(slot, random.nextInt(3) == 0 ? null : spec(random));
                classes.stage(List.of(change));
                stagedChanges.add(change);
            } else if (draw < 90) {
                classes.commit();
                Map<Integer, RequestClass> lastBySlot = new TreeMap<>();
                stagedChanges.forEach(c -> lastBySlot.put(c.slot(), c.spec()));
                lastBySlot.forEach(reference::put);
                stagedChanges.clear();
            } else if (draw < 92) {
                classes.discardStaged();
                stagedChanges.clear();
            }
            // The error of a decayed sum is relative to its former maximum, not to what is left of
            // it.
            maxima[0] = Math.max(maxima[0], reference.requestCount());
            maxima[1] = Math.max(maxima[1], reference.weightSum(weightByWork));
            assertEquals(reference.requestCount(), classes.totalRequests(), 1e-12 * maxima[0]);
            assertEquals(
                    reference.weightSum(weightByWork), classes.totalWeight(), 1e-12 * maxima[1]);
            if (step % 10 == 0) {
                check(reference, classes);
            }
        }
    }

    private static void check(ReferenceTable reference, ClassTable classes) {
        List<Integer> usedSlots = reference.usedSlots();
        assertEquals(usedSlots.size(), classes.size());
        if (!usedSlots.isEmpty()) {
            assertClose(
                    usedSlots.stream().mapToDouble(reference::run).sum()
                            / usedSlots.stream().mapToDouble(reference::calm).sum(),
                    classes.slowdown(),
                    "slowdown");
        }
        for (int slot : usedSlots) {
            ClassStatistics[] found = new ClassStatistics[1];
            if (reference.values.get(slot)[0] > 0) {
                classes.update(slot, (updated, requestClass) -> found[0] = updated);
                // A class counts from one request on; exactly at that limit either result is
                // correct.
                if (Math.abs(reference.values.get(slot)[0] - 1) > 1e-9) {
                    assertClose(
                            reference.lagShare(slot), classes.lagShare(found[0]), "lag of " + slot);
                }
            }
        }
    }

    @Test
    void sumsDoNotDriftInTenMillionSamples() {
        Random random = new Random(33);
        List<RequestClass> specs = new ArrayList<>();
        for (int i = 0; i < 50; i++) {
            specs.add(spec(random));
        }
        ClassTable classes =
                new ClassTable(specs, learned, TIME_CONSTANT_MILLIS, ClassTableTest::lag, true, 0);
        ClassStatistics[] statisticsBySlot = new ClassStatistics[50];
        for (int i = 0; i < 10_000_000; i++) {
            int slot = i % 50;
            if (i % 3 == 0) {
                classes.advance(i);
                statisticsBySlot[slot] = classes.requestArrived(slot);
            } else if (statisticsBySlot[slot] != null) {
                // From a thousandth of a ms to a day, so that small values are added to sums far
                // larger than they are.
                double sample = Math.pow(10, random.nextDouble() * 11 - 3);
                classes.update(
                        statisticsBySlot[slot],
                        specs.get(slot),
                        (statistics, requestClass) -> {
                            statistics.runMillis = sample;
                            statistics.calmRunMillis = 90_000_000 / sample;
                        });
            }
        }
        // Sets all classes back to small values: an error left over from large values would show.
        for (int i = 0; i < 50; i++) {
            classes.update(
                    statisticsBySlot[i],
                    specs.get(i),
                    (statistics, requestClass) -> {
                        statistics.runMillis = 3;
                        statistics.calmRunMillis = 2;
                    });
        }
        double requestCount = 0;
        double weightSum = 0;
        for (int i = 0; i < 50; i++) {
            requestCount += classes.recentRequests(statisticsBySlot[i]);
            weightSum +=
                    classes.recentRequests(statisticsBySlot[i]) * specs.get(i).priorityWeight() * 3;
        }
        assertEquals(1.5, classes.slowdown(), 1e-12);
        assertEquals(requestCount, classes.totalRequests(), 1e-9 * requestCount);
        assertEquals(weightSum, classes.totalWeight(), 1e-6 * weightSum);
    }
}
