package tinroad.recovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import tinroad.lab.fake.CoreModel;
import tinroad.lab.script.Script;
import tinroad.lab.script.Script.ServiceTimeLaw;
import tinroad.recovery.SlowStart.Phase;

/** Tests slow start against the lab's model of cores, on virtual time. */
class SlowStartTest {
    private static final double WORK_MILLIS = 30;
    private static final int CORES = 2;

    /**
     * The outcome of a start: when the last request was rejected, when slow start was over, and the
     * maximum number of runs per core.
     */
    private record Start(
            double lastRejectedAtMillis,
            double fullAtMillis,
            double maxConcurrency,
            SlowStart slowStart) {}

    /**
     * A token bucket like the overload controller's. It holds the requests of a tenth of a second,
     * and never less than one for each core.
     */
    private static final class TokenBucket {
        private double tokens = CORES;
        private double updatedAtMillis;

        boolean tryAcquire(double nowMillis, double ratePerSecond) {
            tokens =
                    Math.min(
                            Math.max(CORES, ratePerSecond / 10),
                            ratePerSecond == Double.POSITIVE_INFINITY
                                    ? CORES
                                    : tokens
                                            + (nowMillis - updatedAtMillis) * ratePerSecond / 1000);
            updatedAtMillis = nowMillis;
            boolean granted = tokens >= 1;
            tokens -= granted ? 1 : 0;
            return granted;
        }
    }

    /**
     * Simulates a start.
     *
     * @param load the load, as a share of the capacity of the warm cores
     * @param warmUpMillis how long the cores take to warm up
     * @param speed the lasting speed of the cores
     * @param hungUntilMillis the time before which no run completes
     * @param lengthMillis the length of the simulation
     * @param limited whether the limit of slow start is enforced
     */
    private static Start start(
            double load,
            double warmUpMillis,
            double speed,
            double hungUntilMillis,
            double lengthMillis,
            boolean limited) {
        CoreModel cores =
                new CoreModel(
                        new Script.EngineModel(
                                ServiceTimeLaw.LOGNORMAL,
                                0.5,
                                3,
                                0.1,
                                0.2,
                                Math.max(1, warmUpMillis),
                                0.25,
                                0,
                                0),
                        CORES,
                        speed,
                        0,
                        true);
        cores.pause(hungUntilMillis > 0);
        SplittableRandom random = new SplittableRandom(5);
        SlowStart slowStart = new SlowStart(0, CORES, 375);
        TokenBucket bucket = new TokenBucket();
        Map<String, Double> startedAtMillis = new HashMap<>();
        double arrivalsPerMilli = load * CORES / WORK_MILLIS;
        double nextArrivalMillis = 0;
        double lastRejectedAtMillis = 0;
        double fullAtMillis = Double.POSITIVE_INFINITY;
        double maxConcurrency = 0;
        int requests = 0;
        for (double nowMillis = 1; nowMillis < lengthMillis; nowMillis++) {
            cores.pause(nowMillis < hungUntilMillis);
            for (String id : cores.advance(nowMillis)) {
                slowStart.runCompleted(
                        nowMillis, nowMillis - startedAtMillis.remove(id), WORK_MILLIS);
            }
            for (;
                    nextArrivalMillis < nowMillis;
                    nextArrivalMillis -= Math.log(1 - random.nextDouble()) / arrivalsPerMilli) {
                boolean admitted =
                        !limited || bucket.tryAcquire(nowMillis, slowStart.limitPerSecond());
                slowStart.requestArrived(admitted);
                if (admitted) {
                    String id = "r" + requests++;
                    startedAtMillis.put(id, nowMillis);
                    cores.start(id, WORK_MILLIS * Math.exp(0.5 * nextGaussian(random) - 0.125));
                } else {
                    lastRejectedAtMillis = nowMillis;
                }
            }
            slowStart.tick(nowMillis);
            maxConcurrency = Math.max(maxConcurrency, (double) cores.present() / CORES);
            fullAtMillis =
                    slowStart.phase() == Phase.FULL
                            ? Math.min(fullAtMillis, nowMillis)
                            : fullAtMillis;
        }
        return new Start(lastRejectedAtMillis, fullAtMillis, maxConcurrency, slowStart);
    }

    private static double nextGaussian(SplittableRandom random) {
        return Math.sqrt(-2 * Math.log(1 - random.nextDouble()))
                * Math.cos(2 * Math.PI * random.nextDouble());
    }

    @Test
    void followsTheWarmUpHoweverLongItTakes() {
        for (double warmUpMillis : new double[] {0, 2000, 8000, 16_000}) {
            // The cores can serve the load once they have warmed up this far; no admission control
            // can do better.
            double possibleMillis = warmUpMillis * (0.7 - 0.2) / 0.8;
            Start start = start(0.7, warmUpMillis, 1, 0, 40_000, true);
            assertTrue(
                    start.lastRejectedAtMillis <= 1.2 * possibleMillis + 2500,
                    "warm-up " + warmUpMillis + ": " + start);
            assertTrue(
                    start.fullAtMillis < 1.2 * possibleMillis + 6000,
                    "warm-up " + warmUpMillis + ": " + start);
        }
    }

    @Test
    void boundsConcurrencyOnAColdEngine() {
        double unbounded = start(0.9, 16_000, 1, 0, 12_000, false).maxConcurrency;
        double bounded = start(0.9, 16_000, 1, 0, 12_000, true).maxConcurrency;
        assertTrue(unbounded > 40 && bounded < unbounded / 2, bounded + " of " + unbounded);
    }

    @Test
    void endsOnAnEngineThatStaysAtHalfSpeed() {
        Start start = start(0.9, 2000, 0.5, 0, 30_000, true);
        assertTrue(start.fullAtMillis < 20_000, start::toString);
    }

    @Test
    void admitsLittleUntilTheFirstRunCompletes() {
        Start start = start(0.7, 2000, 1, 10_000, 10_000, true);
        assertEquals(Phase.COLD, start.slowStart.phase());
        assertEquals("no run completes", start.slowStart.reason());
        assertTrue(
                start.slowStart.limitPerSecond() <= CORES * 1000 / 375.0 + 1e-9, start::toString);
        Start recovered = start(0.7, 2000, 1, 10_000, 30_000, true);
        assertTrue(recovered.lastRejectedAtMillis < 10_000 + 2500 + 3000, recovered::toString);
    }

    @Test
    void endsSoonUnderLowDemand() {
        assertTrue(start(0.05, 16_000, 1, 0, 20_000, true).fullAtMillis < 10_000);
    }

    @Test
    void timeAloneDoesNotRaiseTheLimit() {
        SlowStart slowStart = new SlowStart(0, CORES, 375);
        double before = slowStart.limitPerSecond();
        for (double nowMillis = 0; nowMillis < 60_000; nowMillis += 20) {
            slowStart.tick(nowMillis);
        }
        assertEquals(before, slowStart.limitPerSecond());
        assertEquals(Phase.COLD, slowStart.phase());
    }
}
