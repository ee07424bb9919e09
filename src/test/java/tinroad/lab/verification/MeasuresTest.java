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

/** Figures of days that were made up, so that they are known beforehand. */
class MeasuresTest {
    private final RunHistory ledger;

    MeasuresTest() throws Exception {
        ledger =
                new RunHistory(Schedule.of(ScriptReader.read(Path.of("lab/mass-restart.conf")), 1));
        ledger.requests.forEach(
                f -> {
                    f.tries = 1;
                    f.end = Try.Outcome.SERVED;
                    f.endedAt = f.asked.at() + 40;
                });
    }

    private void down(double from, double to) {
        ledger.requests.stream()
                .filter(f -> f.asked.at() >= from && f.asked.at() < to)
                .forEach(f -> f.end = Try.Outcome.REFUSED);
    }

    @Test
    void fullServiceComesWithTheFirstThreeSecondsThatHoldIt() {
        down(8000, 16_000);
        ledger.faultEnd = 13_000;
        assertEquals(1, new RunMetrics(ledger).before());
        assertEquals(0, new RunMetrics(ledger).service(9000, 15_000));
        assertEquals(3000, new RunMetrics(ledger).toFullService(), 100);
        // A relapse after two seconds: it did not come back before.
        down(18_000, 18_500);
        assertEquals(5500, new RunMetrics(ledger).toFullService(), 100);
        down(18_000, 36_000);
        assertEquals(Double.POSITIVE_INFINITY, new RunMetrics(ledger).toFullService());
        ledger.faultEnd = Double.NaN;
        assertTrue(Double.isNaN(new RunMetrics(ledger).toFullService()));
    }

    @Test
    void howLongStartedAgainProcessesTakeIsCountedToTheirFirstReport() {
        assertTrue(Double.isNaN(new RunMetrics(ledger).ready(0.9)));
        for (int g = 0; g < 10; g++) {
            ledger.addIncarnation(g).begunAt = -1000;
            ledger.listed(g, 0);
            ledger.addIncarnation(g).begunAt = 6000;
            if (g < 9) {
                ledger.listed(g, 7000 + 100 * g);
                ledger.listed(g, 9000);
            }
        }
        assertEquals(1400, new RunMetrics(ledger).ready(0.5));
        assertEquals(1800, new RunMetrics(ledger).ready(0.9));
        assertEquals(
                Double.POSITIVE_INFINITY,
                new RunMetrics(ledger).ready(1),
                "one was never heard of");
    }

    /**
     * Seven of ten gone at 8 s, back from 11 to 16 s, their engines a second later, at a quarter of
     * their speed for 8 s.
     */
    @Test
    void theBoundFollowsTheWarmUpOfTheEngines() {
        RecoveryBound bound = new RecoveryBound(ledger.plan, 0);
        double reading = 0.7 * 0.2;
        assertEquals(1, bound.service(7999));
        assertEquals((0.3 - reading) / (0.7 - reading), bound.service(8001), 1e-9);
        double last =
                ledger.plan.faultEvents().stream()
                        .mapToDouble(FaultEvent::until)
                        .max()
                        .orElseThrow();
        assertEquals(1, bound.service(last + RecoveryBound.ENGINE_AFTER + 8000));
        double full = bound.toFullService(last, 1);
        assertTrue(
                bound.service(last + full) >= 0.95 && bound.service(last + full - 150) < 0.95,
                "" + full);
        assertTrue(new RecoveryBound(ledger.plan, 4000).toFullService(last, 1) > full + 500);
        assertTrue(Double.isNaN(bound.toFullService(Double.NaN, 1)));
    }

    @Test
    void whatIsServedAfterItsAimIsNotService() {
        ledger.requests.forEach(f -> f.endedAt = f.asked.at() + 2000);
        // Orders, with an aim of 2.5 s, are worth 3 and a fifth of all; reads had 1.5 s.
        assertEquals(0.6 / 1.4, new RunMetrics(ledger).service(0, 36_000), 0.03);
    }

    @Test
    void aWaveOfTriesShowsAsPeakOverMean() {
        ledger.faultEnd = 10_000;
        for (int i = 0; i < 1000; i++) {
            Try t = new Try("t" + i, 0, 1, 0, 0, true, "", 0);
            t.sentAt = i < 500 ? 10_000 + 10 * i : 12_001;
            ledger.tries.add(t);
        }
        // 100 bins with 5 each, and 500 more in one of them.
        assertEquals(50.5, new RunMetrics(ledger).peakOverMean(), 1e-9);
    }

    @Test
    void countsAreKeptBySecondAndGateway() {
        for (int i = 0; i < 30; i++) {
            ledger.count(RunHistory.Counter.RUNS, i % 3, 1000 + i * 100);
        }
        RunMetrics measures = new RunMetrics(ledger);
        assertEquals(1.0, measures.mean(RunHistory.Counter.RUNS, 1000, 4000), 1e-9);
        assertEquals(10, measures.most(RunHistory.Counter.RUNS, 0, 5000)[1]);
        assertEquals(4, measures.most(RunHistory.Counter.RUNS, 0, 5000)[0]);
    }

    @Test
    void pairsTellADifferenceFromNoise() {
        double[] a = {5, 6, 7, 5.5, 6.5, 5.2, 6.1, 7.2, 5.9, 6.3};
        double[] better = {3, 4.2, 5.1, 3.4, 4.6, 3.1, 4.0, 5.3, 3.9, 4.4};
        double[] noise = {5.3, 5.8, 7.4, 5.1, 6.6, 5.0, 6.4, 6.9, 6.2, 6.1};
        PairedComparison p = PairedComparison.of(a, better, Draw.stream(1, "test"));
        assertTrue(p.differ() && p.high() < -1.5 && p.low() > -2.5, p::toString);
        assertFalse(PairedComparison.of(a, noise, Draw.stream(1, "test")).differ());
        double[] never = a.clone();
        java.util.Arrays.fill(never, Double.POSITIVE_INFINITY);
        assertTrue(PairedComparison.of(a, never, Draw.stream(1, "test")).low() > 1e9);
        assertFalse(PairedComparison.of(never, never, Draw.stream(1, "test")).differ());
    }
}
