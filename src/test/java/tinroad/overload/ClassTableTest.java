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

/** The sums over the classes, against walks over all of them. */
class ClassTableTest {
    private static final double SPAN = 20_000;
    private static final double LAG = 0.1;

    private static double behind(double ratio, double worst) {
        return Math.max(0, 1 - (ratio - worst) / LAG);
    }

    /** The same by walking: what each class was asked and served, faded at each step. */
    private static final class Walked {
        final List<RequestClass> specs = new ArrayList<>();
        final List<double[]> of = new ArrayList<>();

        void put(int slot, RequestClass requestClass) {
            while (specs.size() <= slot) {
                specs.add(null);
                of.add(null);
            }
            if (specs.get(slot) == null) {
                of.set(slot, new double[] {0, 0, 0, 0});
            }
            specs.set(slot, requestClass);
        }

        double run(int i) {
            return of.get(i)[2] == 0 ? 0.25 * specs.get(i).objectiveMillis() : of.get(i)[2];
        }

        double calm(int i) {
            return of.get(i)[3] == 0 ? 0.25 * specs.get(i).objectiveMillis() : of.get(i)[3];
        }

        double asked() {
            return live().stream().mapToDouble(i -> of.get(i)[0]).sum();
        }

        double worth(boolean byWork) {
            return live().stream()
                    .mapToDouble(
                            i ->
                                    of.get(i)[0]
                                            * specs.get(i).priorityWeight()
                                            * (byWork ? run(i) : 1))
                    .sum();
        }

        double ratio(int i) {
            return of.get(i)[0] < 1 ? 1 : Math.min(1, of.get(i)[1] / of.get(i)[0]);
        }

        List<Integer> live() {
            return IntStream.range(0, specs.size())
                    .filter(i -> specs.get(i) != null)
                    .boxed()
                    .toList();
        }

        double lagShare(int slot) {
            double worst = live().stream().mapToDouble(this::ratio).reduce(1, Math::min);
            double lags = live().stream().mapToDouble(i -> behind(ratio(i), worst)).sum();
            return behind(ratio(slot), worst) / lags;
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

    private static void same(double walked, double kept, String what) {
        assertEquals(walked, kept, 1e-9 * Math.max(1e-3, walked), what);
    }

    @Property(tries = 50, seed = "32")
    void anyOrderOfSamplesAndChangesGivesTheSumsOfAWalkOverAllClasses(@ForAll long seed) {
        Random random = new Random(seed);
        Walked walked = new Walked();
        List<RequestClass> begin = new ArrayList<>();
        for (int i = 0; i < 1 + random.nextInt(40); i++) {
            begin.add(spec(random));
            walked.put(i, begin.get(i));
        }
        boolean byWork = random.nextBoolean();
        ClassTable classes =
                new ClassTable(begin, learned, SPAN, ClassTableTest::behind, byWork, 0);
        double nowMillis = 0;
        List<ClassSlot> staged = new ArrayList<>();
        double[] peaks = new double[2];
        for (int step = 0; step < 2000; step++) {
            double passed =
                    random.nextInt(200) == 0
                            ? 30_000 * random.nextDouble()
                            : 20 * random.nextDouble();
            nowMillis += passed;
            classes.advance(nowMillis);
            walked.of.forEach(
                    s -> {
                        if (s != null) {
                            s[0] *= Math.exp(-passed / SPAN);
                            s[1] *= Math.exp(-passed / SPAN);
                        }
                    });
            List<Integer> live = walked.live();
            int dice = random.nextInt(100);
            if (dice < 70 && !live.isEmpty()) {
                int slot =
                        live.get((int) (live.size() * random.nextDouble() * random.nextDouble()));
                ClassStatistics statistics = classes.requestArrived(slot);
                walked.of.get(slot)[0]++;
                if (random.nextInt(3) > 0) {
                    classes.servedInTime(statistics);
                    walked.of.get(slot)[1]++;
                }
                double sample = 1 + 1000 * random.nextDouble();
                if (random.nextBoolean()) {
                    classes.update(
                            statistics,
                            classes.at(slot),
                            (of, requestClass) -> {
                                of.runMillis = sample;
                                of.calmRunMillis = sample / 2;
                            });
                    walked.of.get(slot)[2] = sample;
                    walked.of.get(slot)[3] = sample / 2;
                }
            } else if (dice < 85) {
                int slot = random.nextInt(walked.specs.size() + 3);
                ClassSlot change =
                        new ClassSlot(slot, random.nextInt(3) == 0 ? null : spec(random));
                classes.stage(List.of(change));
                staged.add(change);
            } else if (dice < 90) {
                classes.commit();
                Map<Integer, RequestClass> last = new TreeMap<>();
                staged.forEach(c -> last.put(c.slot(), c.spec()));
                last.forEach(walked::put);
                staged.clear();
            } else if (dice < 92) {
                classes.discardStaged();
                staged.clear();
            }
            // A faded sum errs by parts of what it was, not of what is left of it.
            peaks[0] = Math.max(peaks[0], walked.asked());
            peaks[1] = Math.max(peaks[1], walked.worth(byWork));
            assertEquals(walked.asked(), classes.totalRequests(), 1e-12 * peaks[0]);
            assertEquals(walked.worth(byWork), classes.totalWeight(), 1e-12 * peaks[1]);
            if (step % 10 == 0) {
                check(walked, classes);
            }
        }
    }

    private static void check(Walked walked, ClassTable classes) {
        List<Integer> live = walked.live();
        assertEquals(live.size(), classes.size());
        if (!live.isEmpty()) {
            same(
                    live.stream().mapToDouble(walked::run).sum()
                            / live.stream().mapToDouble(walked::calm).sum(),
                    classes.slowdown(),
                    "slowdown");
        }
        for (int slot : live) {
            ClassStatistics[] s = new ClassStatistics[1];
            if (walked.of.get(slot)[0] > 0) {
                classes.update(slot, (of, requestClass) -> s[0] = of);
                // Whether a class tells is decided at one request; on the very edge either is
                // right.
                if (Math.abs(walked.of.get(slot)[0] - 1) > 1e-9) {
                    same(walked.lagShare(slot), classes.lagShare(s[0]), "lag of " + slot);
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
        ClassTable classes = new ClassTable(specs, learned, SPAN, ClassTableTest::behind, true, 0);
        ClassStatistics[] of = new ClassStatistics[50];
        for (int i = 0; i < 10_000_000; i++) {
            int slot = i % 50;
            if (i % 3 == 0) {
                classes.advance(i);
                of[slot] = classes.requestArrived(slot);
            } else if (of[slot] != null) {
                // From a thousandth of a ms to a day, so that each sum swallows what is added to
                // it.
                double sample = Math.pow(10, random.nextDouble() * 11 - 3);
                classes.update(
                        of[slot],
                        specs.get(slot),
                        (statistics, requestClass) -> {
                            statistics.runMillis = sample;
                            statistics.calmRunMillis = 90_000_000 / sample;
                        });
            }
        }
        // All back to small values: what is left of large ones would show.
        for (int i = 0; i < 50; i++) {
            classes.update(
                    of[i],
                    specs.get(i),
                    (statistics, requestClass) -> {
                        statistics.runMillis = 3;
                        statistics.calmRunMillis = 2;
                    });
        }
        double asked = 0;
        double worth = 0;
        for (int i = 0; i < 50; i++) {
            asked += classes.recentRequests(of[i]);
            worth += classes.recentRequests(of[i]) * specs.get(i).priorityWeight() * 3;
        }
        assertEquals(1.5, classes.slowdown(), 1e-12);
        assertEquals(asked, classes.totalRequests(), 1e-9 * asked);
        assertEquals(worth, classes.totalWeight(), 1e-6 * worth);
    }
}
