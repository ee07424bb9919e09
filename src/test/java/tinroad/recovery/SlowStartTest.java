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

/** Slow start against the lab's model of cores, on virtual time. */
class SlowStartTest {
    private static final double WORK_MILLIS = 30;
    private static final int CORES = 2;

    /**
     * What came of a start: when the last request was rejected, when slow start was over, the most
     * runs on a core.
     */
    private record Start(
            double lastRejectedAt, double fullAt, double maxConcurrency, SlowStart slowStart) {}

    /**
     * A token bucket as the overload controller's: the requests of a tenth of a second at once, and
     * never less than one for each core.
     */
    private static final class TokenBucket {
        private double tokens = CORES;
        private double updatedAtMillis;

        boolean tryAcquire(double nowMillis, double rate) {
            tokens =
                    Math.min(
                            Math.max(CORES, rate / 10),
                            rate == Double.POSITIVE_INFINITY
                                    ? CORES
                                    : tokens + (nowMillis - updatedAtMillis) * rate / 1000);
            updatedAtMillis = nowMillis;
            boolean granted = tokens >= 1;
            tokens -= granted ? 1 : 0;
            return granted;
        }
    }

    /**
     * Load as a part of the warm cores; lasting speed; no run completes before {@code hungUntil}.
     */
    private static Start start(
            double load,
            double warmup,
            double speed,
            double hungUntil,
            double length,
            boolean limited) {
        CoreModel cores =
                new CoreModel(
                        new Script.EngineModel(
                                ServiceTimeLaw.LOGNORMAL,
                                0.5,
                                3,
                                0.1,
                                0.2,
                                Math.max(1, warmup),
                                0.25,
                                0,
                                0),
                        CORES,
                        speed,
                        0,
                        true);
        cores.pause(hungUntil > 0);
        SplittableRandom random = new SplittableRandom(5);
        SlowStart slowStart = new SlowStart(0, CORES, 375);
        TokenBucket bucket = new TokenBucket();
        Map<String, Double> startedAt = new HashMap<>();
        double arrivalsPerMilli = load * CORES / WORK_MILLIS;
        double nextArrival = 0;
        double lastRejectedAt = 0;
        double fullAt = Double.POSITIVE_INFINITY;
        double maxConcurrency = 0;
        int requests = 0;
        for (double nowMillis = 1; nowMillis < length; nowMillis++) {
            cores.pause(nowMillis < hungUntil);
            for (String id : cores.advance(nowMillis)) {
                slowStart.runCompleted(nowMillis, nowMillis - startedAt.remove(id), WORK_MILLIS);
            }
            for (;
                    nextArrival < nowMillis;
                    nextArrival -= Math.log(1 - random.nextDouble()) / arrivalsPerMilli) {
                boolean admitted =
                        !limited || bucket.tryAcquire(nowMillis, slowStart.ratePerSecondLimit());
                slowStart.requestArrived(admitted);
                if (admitted) {
                    String id = "r" + requests++;
                    startedAt.put(id, nowMillis);
                    cores.start(id, WORK_MILLIS * Math.exp(0.5 * gauss(random) - 0.125));
                } else {
                    lastRejectedAt = nowMillis;
                }
            }
            slowStart.tick(nowMillis);
            maxConcurrency = Math.max(maxConcurrency, (double) cores.present() / CORES);
            fullAt = slowStart.phase() == Phase.FULL ? Math.min(fullAt, nowMillis) : fullAt;
        }
        return new Start(lastRejectedAt, fullAt, maxConcurrency, slowStart);
    }

    private static double gauss(SplittableRandom random) {
        return Math.sqrt(-2 * Math.log(1 - random.nextDouble()))
                * Math.cos(2 * Math.PI * random.nextDouble());
    }

    @Test
    void followsTheWarmUpHoweverLongItTakes() {
        for (double warmup : new double[] {0, 2000, 8000, 16_000}) {
            // The cores can serve the load once they are this warm: no admission control does
            // better.
            double possible = warmup * (0.7 - 0.2) / 0.8;
            Start start = start(0.7, warmup, 1, 0, 40_000, true);
            assertTrue(
                    start.lastRejectedAt <= 1.2 * possible + 2500,
                    "warm-up " + warmup + ": " + start);
            assertTrue(start.fullAt < 1.2 * possible + 6000, "warm-up " + warmup + ": " + start);
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
        assertTrue(start.fullAt < 20_000, start::toString);
    }

    @Test
    void admitsLittleUntilTheFirstRunCompletes() {
        Start start = start(0.7, 2000, 1, 10_000, 10_000, true);
        assertEquals(Phase.COLD, start.slowStart.phase());
        assertEquals("no run completes", start.slowStart.reason());
        assertTrue(
                start.slowStart.ratePerSecondLimit() <= CORES * 1000 / 375.0 + 1e-9,
                start::toString);
        Start recovered = start(0.7, 2000, 1, 10_000, 30_000, true);
        assertTrue(recovered.lastRejectedAt < 10_000 + 2500 + 3000, recovered::toString);
    }

    @Test
    void endsSoonUnderLowDemand() {
        assertTrue(start(0.05, 16_000, 1, 0, 20_000, true).fullAt < 10_000);
    }

    @Test
    void timeAloneDoesNotRaiseTheLimit() {
        SlowStart slowStart = new SlowStart(0, CORES, 375);
        double before = slowStart.ratePerSecondLimit();
        for (double nowMillis = 0; nowMillis < 60_000; nowMillis += 20) {
            slowStart.tick(nowMillis);
        }
        assertEquals(before, slowStart.ratePerSecondLimit());
        assertEquals(Phase.COLD, slowStart.phase());
    }
}
