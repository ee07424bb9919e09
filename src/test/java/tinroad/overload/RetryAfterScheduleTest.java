package tinroad.overload;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** Who is told to come back when. */
class RetryAfterScheduleTest {
    private static final double MOST = 1000;

    @Test
    void clientKeepsItsSlotUntilItHasCome() {
        RetryAfterSchedule returns = new RetryAfterSchedule();
        double slot = returns.retryAfterMillis(1, 0, 400, MOST);
        assertEquals(slot - 40, returns.retryAfterMillis(1, 40, 800, MOST), 1e-9);
        assertEquals(1, returns.retryAfterMillis(1, slot - 1, 800, MOST), 1e-9);
        assertTrue(returns.retryAfterMillis(1, slot, 800, MOST) >= 400);
    }

    @Test
    void slotsAreSpreadEvenly() {
        RetryAfterSchedule returns = new RetryAfterSchedule();
        double[] told = new double[64];
        for (int caller = 0; caller < told.length; caller++) {
            told[caller] = returns.retryAfterMillis(caller, 0, 500, MOST);
        }
        Arrays.sort(told);
        assertTrue(told[0] >= 250 && told[63] < 750);
        for (int i = 1; i < told.length; i++) {
            // Even would be 8 ms; the golden ratio keeps each gap within three of that.
            assertTrue(told[i] - told[i - 1] < 24, "gap " + (told[i] - told[i - 1]));
        }
    }

    @Property(tries = 300, seed = "1")
    void retryAfterIsNeverNegativeNorLongerThanTheMaximum(
            @ForAll @IntRange(min = 0, max = 100_000) int caller,
            @ForAll @DoubleRange(min = 0, max = 5000) double mean,
            @ForAll @DoubleRange(min = 0, max = 5000) double gap) {
        RetryAfterSchedule returns = new RetryAfterSchedule();
        double nowMillis = 0;
        for (int i = 0; i < 200; i++) {
            double away = returns.retryAfterMillis((caller + 31 * i) % 97, nowMillis, mean, MOST);
            assertTrue(away >= 0 && away <= MOST + 1e-6, "" + away);
            nowMillis += gap / 7;
        }
    }

    @Test
    void tableIsBounded() {
        RetryAfterSchedule returns = new RetryAfterSchedule();
        for (int caller = 0; caller < 100_000; caller++) {
            returns.retryAfterMillis(caller, 0, MOST, MOST);
        }
        double last = returns.retryAfterMillis(99_999, 1, MOST, MOST);
        assertEquals(last, returns.retryAfterMillis(99_999, 1, MOST, MOST));
        // The first was forgotten: it is told anew.
        assertTrue(returns.retryAfterMillis(0, 0, 1, 1) < 2);
    }
}
