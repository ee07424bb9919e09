package tinroad.recovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import tinroad.lab.fake.Cores;
import tinroad.lab.script.Script;
import tinroad.lab.script.Script.Law;
import tinroad.recovery.SlowStart.Phase;

/** The ramp against the lab's model of cores, on virtual time. */
class RampTest {
    private static final double WORK = 30;
    private static final int CORES = 2;

    /**
     * What came of a start: when it served all that was asked for, when the ramp was over, the
     * largest crowd on a core.
     */
    private record Start(double allAt, double fullAt, double crowd, SlowStart ramp) {}

    /**
     * The module's way to keep a bound: a tenth of a second's at once, and never less than one for
     * each core.
     */
    private static final class Bucket {
        private double room = CORES;
        private double at;

        boolean take(double nowMillis, double rate) {
            room =
                    Math.min(
                            Math.max(CORES, rate / 10),
                            rate == Double.POSITIVE_INFINITY
                                    ? CORES
                                    : room + (nowMillis - at) * rate / 1000);
            at = nowMillis;
            boolean fits = room >= 1;
            room -= fits ? 1 : 0;
            return fits;
        }
    }

    /** Load as a share of the warm cores; {@code speed} for good; {@code dead} until then. */
    private static Start start(
            double load, double warmup, double speed, double dead, double length, boolean bounded) {
        Cores cores =
                new Cores(
                        new Script.Work(
                                Law.LOGNORMAL, 0.5, 3, 0.1, 0.2, Math.max(1, warmup), 0.25, 0, 0),
                        CORES,
                        speed,
                        0,
                        true);
        cores.pause(dead > 0);
        SplittableRandom random = new SplittableRandom(5);
        SlowStart ramp = new SlowStart(0, CORES, 375);
        Bucket bucket = new Bucket();
        Map<String, Double> begun = new HashMap<>();
        double perMs = load * CORES / WORK;
        double next = 0;
        double lastAway = 0;
        double fullAt = Double.POSITIVE_INFINITY;
        double crowd = 0;
        int n = 0;
        for (double nowMillis = 1; nowMillis < length; nowMillis++) {
            cores.pause(nowMillis < dead);
            for (String id : cores.advance(nowMillis)) {
                ramp.runCompleted(nowMillis, nowMillis - begun.remove(id), WORK);
            }
            for (; next < nowMillis; next -= Math.log(1 - random.nextDouble()) / perMs) {
                boolean in = !bounded || bucket.take(nowMillis, ramp.ratePerSecondLimit());
                ramp.requestArrived(in);
                if (in) {
                    String id = "r" + n++;
                    begun.put(id, nowMillis);
                    cores.start(id, WORK * Math.exp(0.5 * gauss(random) - 0.125));
                } else {
                    lastAway = nowMillis;
                }
            }
            ramp.tick(nowMillis);
            crowd = Math.max(crowd, (double) cores.present() / CORES);
            fullAt = ramp.phase() == Phase.FULL ? Math.min(fullAt, nowMillis) : fullAt;
        }
        return new Start(lastAway, fullAt, crowd, ramp);
    }

    private static double gauss(SplittableRandom random) {
        return Math.sqrt(-2 * Math.log(1 - random.nextDouble()))
                * Math.cos(2 * Math.PI * random.nextDouble());
    }

    @Test
    void anEngineThatIsWarmAfterTwoSecondsIsFoundAsSoonAsOneThatNeedsSixteen() {
        for (double warmup : new double[] {0, 2000, 8000, 16_000}) {
            // The cores can do the load once they are this warm: the bound for anybody.
            double possible = warmup * (0.7 - 0.2) / 0.8;
            Start s = start(0.7, warmup, 1, 0, 40_000, true);
            assertTrue(s.allAt <= 1.2 * possible + 2500, "warm-up " + warmup + ": " + s);
            assertTrue(s.fullAt < 1.2 * possible + 6000, "warm-up " + warmup + ": " + s);
        }
    }

    @Test
    void theCrowdOnAColdEngineIsBounded() {
        double unbounded = start(0.9, 16_000, 1, 0, 12_000, false).crowd;
        double bounded = start(0.9, 16_000, 1, 0, 12_000, true).crowd;
        assertTrue(unbounded > 40 && bounded < unbounded / 2, bounded + " of " + unbounded);
    }

    @Test
    void anEngineAtHalfItsSpeedForGoodEndsTheRampAllTheSame() {
        Start s = start(0.9, 2000, 0.5, 0, 30_000, true);
        assertTrue(s.fullAt < 20_000, s::toString);
    }

    @Test
    void whileNothingEndsLittleIsTakenAndItBeginsWithTheFirstEnd() {
        Start s = start(0.7, 2000, 1, 10_000, 10_000, true);
        assertEquals(Phase.COLD, s.ramp.phase());
        assertEquals("nothing ends", s.ramp.reason());
        assertTrue(s.ramp.ratePerSecondLimit() <= CORES * 1000 / 375.0 + 1e-9, s::toString);
        Start back = start(0.7, 2000, 1, 10_000, 30_000, true);
        assertTrue(back.allAt < 10_000 + 2500 + 3000, back::toString);
    }

    @Test
    void littleDemandEndsItSoon() {
        assertTrue(start(0.05, 16_000, 1, 0, 20_000, true).fullAt < 10_000);
    }

    @Test
    void theClockAloneRaisesNothing() {
        SlowStart ramp = new SlowStart(0, CORES, 375);
        double before = ramp.ratePerSecondLimit();
        for (double nowMillis = 0; nowMillis < 60_000; nowMillis += 20) {
            ramp.tick(nowMillis);
        }
        assertEquals(before, ramp.ratePerSecondLimit());
        assertEquals(Phase.COLD, ramp.phase());
    }
}
