package tinroad.overload;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** The Retry-After that each client receives. */
class RetryAfterScheduleTest {
    private static final double MAX_MILLIS = 1000;

    @Test
    void clientKeepsItsSlotUntilTheTimeOfTheSlot() {
        RetryAfterSchedule schedule = new RetryAfterSchedule();
        double slot = schedule.retryAfterMillis(1, 0, 400, MAX_MILLIS);
        assertEquals(slot - 40, schedule.retryAfterMillis(1, 40, 800, MAX_MILLIS), 1e-9);
        assertEquals(1, schedule.retryAfterMillis(1, slot - 1, 800, MAX_MILLIS), 1e-9);
        assertTrue(schedule.retryAfterMillis(1, slot, 800, MAX_MILLIS) >= 400);
    }

    @Test
    void slotsAreSpreadEvenly() {
        RetryAfterSchedule schedule = new RetryAfterSchedule();
        double[] retryAfters = new double[64];
        for (int caller = 0; caller < retryAfters.length; caller++) {
            retryAfters[caller] = schedule.retryAfterMillis(caller, 0, 500, MAX_MILLIS);
        }
        Arrays.sort(retryAfters);
        assertTrue(retryAfters[0] >= 250 && retryAfters[63] < 750);
        for (int i = 1; i < retryAfters.length; i++) {
            // Perfectly even gaps would be 8 ms; the golden ratio keeps each gap below three times
            // that.
            assertTrue(
                    retryAfters[i] - retryAfters[i - 1] < 24,
                    "gap " + (retryAfters[i] - retryAfters[i - 1]));
        }
    }

    @Property(tries = 300, seed = "1")
    void retryAfterIsNeverNegativeNorLongerThanTheMaximum(
            @ForAll @IntRange(min = 0, max = 100_000) int caller,
            @ForAll @DoubleRange(min = 0, max = 5000) double meanMillis,
            @ForAll @DoubleRange(min = 0, max = 5000) double gapMillis) {
        RetryAfterSchedule schedule = new RetryAfterSchedule();
        double nowMillis = 0;
        for (int i = 0; i < 200; i++) {
            double delayMillis =
                    schedule.retryAfterMillis(
                            (caller + 31 * i) % 97, nowMillis, meanMillis, MAX_MILLIS);
            assertTrue(delayMillis >= 0 && delayMillis <= MAX_MILLIS + 1e-6, "" + delayMillis);
            nowMillis += gapMillis / 7;
        }
    }

    @Test
    void tableIsBounded() {
        RetryAfterSchedule schedule = new RetryAfterSchedule();
        for (int caller = 0; caller < 100_000; caller++) {
            schedule.retryAfterMillis(caller, 0, MAX_MILLIS, MAX_MILLIS);
        }
        double last = schedule.retryAfterMillis(99_999, 1, MAX_MILLIS, MAX_MILLIS);
        assertEquals(last, schedule.retryAfterMillis(99_999, 1, MAX_MILLIS, MAX_MILLIS));
        // The slot of the first client was evicted, so it gets a new one.
        assertTrue(schedule.retryAfterMillis(0, 0, 1, 1) < 2);
    }
}
