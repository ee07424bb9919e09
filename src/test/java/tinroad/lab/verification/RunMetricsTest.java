package tinroad.lab.verification;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import tinroad.lab.schedule.Draw;
import tinroad.lab.schedule.FaultEvent;
import tinroad.lab.schedule.Schedule;
import tinroad.lab.script.ScriptReader;

/** Computes metrics of constructed histories, for which the expected values are known. */
class RunMetricsTest {
    private final RunHistory history;

    RunMetricsTest() throws Exception {
        history =
                new RunHistory(Schedule.of(ScriptReader.read(Path.of("lab/mass-restart.conf")), 1));
        history.requests.forEach(
                r -> {
                    r.tries = 1;
                    r.end = Try.Outcome.SERVED;
                    r.endedAt = r.asked.at() + 40;
                });
    }

    private void rejectAll(double from, double to) {
        history.requests.stream()
                .filter(r -> r.asked.at() >= from && r.asked.at() < to)
                .forEach(r -> r.end = Try.Outcome.REFUSED);
    }

    @Test
    void fullServiceBeginsWithTheFirstThreeSecondsInWhichItLasts() {
        rejectAll(8000, 16_000);
        history.faultEnd = 13_000;
        assertEquals(1, new RunMetrics(history).before());
        assertEquals(0, new RunMetrics(history).service(9000, 15_000));
        assertEquals(3000, new RunMetrics(history).toFullService(), 100);
        // Service drops again after two seconds, so it was not restored before.
        rejectAll(18_000, 18_500);
        assertEquals(5500, new RunMetrics(history).toFullService(), 100);
        rejectAll(18_000, 36_000);
        assertEquals(Double.POSITIVE_INFINITY, new RunMetrics(history).toFullService());
        history.faultEnd = Double.NaN;
        assertTrue(Double.isNaN(new RunMetrics(history).toFullService()));
    }

    @Test
    void readyIsTheTimeFromARestartToTheFirstReport() {
        assertTrue(Double.isNaN(new RunMetrics(history).ready(0.9)));
        for (int g = 0; g < 10; g++) {
            history.addIncarnation(g).begunAt = -1000;
            history.listed(g, 0);
            history.addIncarnation(g).begunAt = 6000;
            if (g < 9) {
                history.listed(g, 7000 + 100 * g);
                history.listed(g, 9000);
            }
        }
        assertEquals(1400, new RunMetrics(history).ready(0.5));
        assertEquals(1800, new RunMetrics(history).ready(0.9));
        assertEquals(
                Double.POSITIVE_INFINITY,
                new RunMetrics(history).ready(1),
                "one process never reported");
    }

    /**
     * Seven of ten gateways end at 8 s and are started again from 11 to 16 s. Their engines are up
     * a second later, at a quarter of their speed, and reach full speed within 8 s.
     */
    @Test
    void theRecoveryBoundFollowsTheWarmUpOfTheEngines() {
        RecoveryBound bound = new RecoveryBound(history.plan, 0);
        double readingShare = 0.7 * 0.2;
        assertEquals(1, bound.service(7999));
        assertEquals((0.3 - readingShare) / (0.7 - readingShare), bound.service(8001), 1e-9);
        double last =
                history.plan.faultEvents().stream()
                        .mapToDouble(FaultEvent::until)
                        .max()
                        .orElseThrow();
        assertEquals(1, bound.service(last + RecoveryBound.ENGINE_AFTER + 8000));
        double full = bound.toFullService(last, 1);
        assertTrue(
                bound.service(last + full) >= 0.95 && bound.service(last + full - 150) < 0.95,
                "" + full);
        assertTrue(new RecoveryBound(history.plan, 4000).toFullService(last, 1) > full + 500);
        assertTrue(Double.isNaN(bound.toFullService(Double.NaN, 1)));
    }

    @Test
    void whatIsServedAfterItsObjectiveDoesNotCountAsService() {
        history.requests.forEach(r -> r.endedAt = r.asked.at() + 2000);
        // Orders have an objective of 2.5 s, a gain of 3 and a fifth of all requests; reads have an
        // objective of 1.5 s.
        assertEquals(0.6 / 1.4, new RunMetrics(history).service(0, 36_000), 0.03);
    }

    @Test
    void aWaveOfTriesRaisesPeakOverMean() {
        history.faultEnd = 10_000;
        for (int i = 0; i < 1000; i++) {
            Try t = new Try("t" + i, 0, 1, 0, 0, true, "", 0);
            t.sentAt = i < 500 ? 10_000 + 10 * i : 12_001;
            history.tries.add(t);
        }
        // 100 bins with 5 each, and 500 more in one of them.
        assertEquals(50.5, new RunMetrics(history).peakOverMean(), 1e-9);
    }

    @Test
    void countersAreStoredPerSecondAndGateway() {
        for (int i = 0; i < 30; i++) {
            history.count(RunHistory.Counter.RUNS, i % 3, 1000 + i * 100);
        }
        RunMetrics metrics = new RunMetrics(history);
        assertEquals(1.0, metrics.mean(RunHistory.Counter.RUNS, 1000, 4000), 1e-9);
        assertEquals(10, metrics.most(RunHistory.Counter.RUNS, 0, 5000)[1]);
        assertEquals(4, metrics.most(RunHistory.Counter.RUNS, 0, 5000)[0]);
    }

    @Test
    void pairedComparisonDistinguishesADifferenceFromNoise() {
        double[] baseline = {5, 6, 7, 5.5, 6.5, 5.2, 6.1, 7.2, 5.9, 6.3};
        double[] better = {3, 4.2, 5.1, 3.4, 4.6, 3.1, 4.0, 5.3, 3.9, 4.4};
        double[] noise = {5.3, 5.8, 7.4, 5.1, 6.6, 5.0, 6.4, 6.9, 6.2, 6.1};
        PairedComparison comparison = PairedComparison.of(baseline, better, Draw.stream(1, "test"));
        assertTrue(
                comparison.differ() && comparison.high() < -1.5 && comparison.low() > -2.5,
                comparison::toString);
        assertFalse(PairedComparison.of(baseline, noise, Draw.stream(1, "test")).differ());
        double[] neverRecovered = baseline.clone();
        java.util.Arrays.fill(neverRecovered, Double.POSITIVE_INFINITY);
        assertTrue(
                PairedComparison.of(baseline, neverRecovered, Draw.stream(1, "test")).low() > 1e9);
        assertFalse(
                PairedComparison.of(neverRecovered, neverRecovered, Draw.stream(1, "test"))
                        .differ());
    }
}
