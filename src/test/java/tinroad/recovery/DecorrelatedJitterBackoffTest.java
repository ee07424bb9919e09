package tinroad.recovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import org.junit.jupiter.api.Test;

/** Delays between attempts, for one gateway and for a fleet of 200 on virtual time. */
class DecorrelatedJitterBackoffTest {
    private static final double FIRST_MILLIS = 1;
    private static final double CAP_MILLIS = 250;
    private static final int FLEET = 200;

    private record Attempt(double at, int gateway) {}

    /** All attempts of a fleet whose links were lost at once, in an outage of so many ms. */
    private static List<Attempt> attemptsInOutage(double outageMillis, long seed) {
        PriorityQueue<Attempt> next =
                new PriorityQueue<>(
                        Comparator.comparingDouble(Attempt::at).thenComparingInt(Attempt::gateway));
        DecorrelatedJitterBackoff[] fleet = new DecorrelatedJitterBackoff[FLEET];
        for (int g = 0; g < FLEET; g++) {
            fleet[g] = new DecorrelatedJitterBackoff("g" + g, seed, FIRST_MILLIS, CAP_MILLIS);
            next.add(new Attempt(fleet[g].nextMillis(), g));
        }
        List<Attempt> made = new ArrayList<>();
        while (!next.isEmpty()) {
            Attempt attempt = next.poll();
            made.add(attempt);
            if (attempt.at < outageMillis) {
                next.add(
                        new Attempt(
                                attempt.at + fleet[attempt.gateway].nextMillis(), attempt.gateway));
            }
        }
        return made;
    }

    @Test
    void fleetReconnectsWithinTheCapAndSpreadOut() {
        for (double outageMillis : new double[] {1000, 30_000, 600_000}) {
            List<Attempt> back =
                    attemptsInOutage(outageMillis, 7).stream()
                            .filter(attempt -> attempt.at >= outageMillis)
                            .toList();
            assertEquals(FLEET, back.size());
            int[] bins = new int[10];
            back.forEach(
                    attempt ->
                            bins[(int) ((attempt.at - outageMillis) / CAP_MILLIS * bins.length)]++);
            for (int bin : bins) {
                // A tenth of the cap: even would be 20 of 200, all at once 200. Short delays put
                // more
                // at the front.
                assertTrue(
                        bin <= 60,
                        bin + " of " + FLEET + " in 25 ms after an outage of " + outageMillis);
            }
        }
    }

    @Test
    void longOutageCostsFewAttempts() {
        // Delays are a third of the cap or more in the mean, once they have grown.
        assertTrue(attemptsInOutage(600_000, 7).size() < FLEET * 600_000 / (CAP_MILLIS / 3));
    }

    @Property(tries = 200, seed = "1")
    void delaysStayWithinTheirBounds(
            @ForAll long seed, @ForAll @DoubleRange(min = 1, max = 100) double first) {
        DecorrelatedJitterBackoff backoff =
                new DecorrelatedJitterBackoff("n3", seed, first, 10 * first);
        double before = first;
        for (int i = 0; i < 100; i++) {
            double delay = backoff.nextMillis();
            assertTrue(
                    delay >= first && delay <= Math.min(10 * first, 3 * before),
                    "delay " + delay + " after " + before);
            before = delay;
        }
        backoff.reset();
        assertTrue(backoff.nextMillis() <= 3 * first);
    }

    @Test
    void delaysDifferByNameAndBySeed() {
        assertNotEquals(
                new DecorrelatedJitterBackoff("a", 1, 1, 1000).nextMillis(),
                new DecorrelatedJitterBackoff("b", 1, 1, 1000).nextMillis());
        assertNotEquals(
                new DecorrelatedJitterBackoff("a", 1, 1, 1000).nextMillis(),
                new DecorrelatedJitterBackoff("a", 2, 1, 1000).nextMillis());
        assertEquals(
                new DecorrelatedJitterBackoff("a", 1, 1, 1000).nextMillis(),
                new DecorrelatedJitterBackoff("a", 1, 1, 1000).nextMillis());
    }

    @Test
    void jitteredIntervalsSpreadAFleetEvenly() {
        int[] bins = new int[2000];
        for (int g = 0; g < FLEET; g++) {
            JitteredInterval interval = new JitteredInterval("g" + g, 7, 250, 0.2);
            for (double at = 0; at < 50_000; at += interval.nextMillis()) {
                bins[(int) (at / 25)]++;
            }
        }
        assertEquals(FLEET, bins[0]);
        // After 20 s: even would be 20 in 25 ms.
        for (int b = 800; b < bins.length; b++) {
            assertTrue(bins[b] <= 45, bins[b] + " at " + 25 * b);
        }
    }
}
