package tinroad.overload;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** Rates that are decayed when they are read equal rates that are decayed at each step. */
class DecayingRatesTest {
    @Property(tries = 100, seed = "31")
    void rateEqualsThatOfDecayingAllAtEachStep(@ForAll long seed) {
        DecayingRates rates = new DecayingRates(3000);
        Random random = new Random(seed);
        double[] expected = new double[600];
        double nowMillis = 0;
        for (int i = 0; i < 2000; i++) {
            double elapsedMillis = random.nextInt(3) * random.nextDouble() * 100;
            nowMillis += elapsedMillis;
            for (int slot = 0; slot < expected.length; slot++) {
                expected[slot] *= Math.exp(-elapsedMillis / 3000);
            }
            int slot = random.nextInt(expected.length);
            expected[slot]++;
            rates.add(slot, 1, nowMillis);
        }
        for (int slot = 0; slot < expected.length; slot++) {
            assertEquals(expected[slot], rates.at(slot, nowMillis), 1e-12 * (1 + expected[slot]));
        }
    }

    @Test
    void unusedAndClearedSlotsHaveNoRateAndNeighboursKeepTheirs() {
        DecayingRates rates = new DecayingRates(3000);
        rates.clear(9);
        rates.add(300, 2, 10);
        rates.add(301, 4, 10);
        rates.clear(300);
        assertEquals(0, rates.at(300, 10));
        assertEquals(4, rates.at(301, 10));
        assertEquals(0, rates.at(100_000, 10));
        assertEquals(4 / Math.E, rates.at(301, 3010), 1e-12);
    }
}
