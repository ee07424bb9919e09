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

/** Tests the delays between attempts, for one gateway and for a fleet of 200 on virtual time. */
class DecorrelatedJitterBackoffTest {
    private static final double FIRST_MILLIS = 1;
    private static final double CAP_MILLIS = 250;
    private static final int FLEET_SIZE = 200;

    private record Attempt(double atMillis, int gateway) {}

    /**
     * Returns all attempts of a fleet whose links were lost at once, in an outage of this many ms.
     */
    private static List<Attempt> attemptsInOutage(double outageMillis, long seed) {
        PriorityQueue<Attempt> next =
                new PriorityQueue<>(
                        Comparator.comparingDouble(Attempt::atMillis)
                                .thenComparingInt(Attempt::gateway));
        DecorrelatedJitterBackoff[] fleet = new DecorrelatedJitterBackoff[FLEET_SIZE];
        for (int g = 0; g < FLEET_SIZE; g++) {
            fleet[g] = new DecorrelatedJitterBackoff("g" + g, seed, FIRST_MILLIS, CAP_MILLIS);
            next.add(new Attempt(fleet[g].nextMillis(), g));
        }
        List<Attempt> attempts = new ArrayList<>();
        while (!next.isEmpty()) {
            Attempt attempt = next.poll();
            attempts.add(attempt);
            if (attempt.atMillis < outageMillis) {
                next.add(
                        new Attempt(
                                attempt.atMillis + fleet[attempt.gateway].nextMillis(),
                                attempt.gateway));
            }
        }
        return attempts;
    }

    @Test
    void fleetReconnectsWithinTheCapAndSpreadOut() {
        for (double outageMillis : new double[] {1000, 30_000, 600_000}) {
            List<Attempt> reconnects =
                    attemptsInOutage(outageMillis, 7).stream()
                            .filter(attempt -> attempt.atMillis >= outageMillis)
                            .toList();
            assertEquals(FLEET_SIZE, reconnects.size());
            int[] bins = new int[10];
            reconnects.forEach(
                    attempt ->
                            bins[
                                    (int)
                                            ((attempt.atMillis - outageMillis)
                                                    / CAP_MILLIS
                                                    * bins.length)]++);
            for (int bin : bins) {
                // A bin is a tenth of the cap. An even spread would be 20 of 200 in each, all at
                // once would be 200. Short delays put more at the front.
                assertTrue(
                        bin <= 60,
                        bin + " of " + FLEET_SIZE + " in 25 ms after an outage of " + outageMillis);
            }
        }
    }

    @Test
    void longOutageCostsFewAttempts() {
        // Once they have grown, delays are a third of the cap or more on average.
        assertTrue(attemptsInOutage(600_000, 7).size() < FLEET_SIZE * 600_000 / (CAP_MILLIS / 3));
    }

    @Property(tries = 200, seed = "1")
    void delaysStayWithinTheirBounds(
            @ForAll long seed, @ForAll @DoubleRange(min = 1, max = 100) double firstMillis) {
        DecorrelatedJitterBackoff backoff =
                new DecorrelatedJitterBackoff("n3", seed, firstMillis, 10 * firstMillis);
        double previousMillis = firstMillis;
        for (int i = 0; i < 100; i++) {
            double delayMillis = backoff.nextMillis();
            assertTrue(
                    delayMillis >= firstMillis
                            && delayMillis <= Math.min(10 * firstMillis, 3 * previousMillis),
                    "delay " + delayMillis + " after " + previousMillis);
            previousMillis = delayMillis;
        }
        backoff.reset();
        assertTrue(backoff.nextMillis() <= 3 * firstMillis);
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
        for (int g = 0; g < FLEET_SIZE; g++) {
            JitteredInterval interval = new JitteredInterval("g" + g, 7, 250, 0.2);
            for (double atMillis = 0; atMillis < 50_000; atMillis += interval.nextMillis()) {
                bins[(int) (atMillis / 25)]++;
            }
        }
        assertEquals(FLEET_SIZE, bins[0]);
        // After 20 s, an even spread would be 20 in 25 ms.
        for (int b = 800; b < bins.length; b++) {
            assertTrue(bins[b] <= 45, bins[b] + " at " + 25 * b);
        }
    }
}
