package tinroad.core;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Tests how the clock is anchored, with readings that the test provides. */
class ClockTest {
    private long nanos;
    private int readings;

    /**
     * Returns a reading of the system clock. The sixth takes 1 microsecond; at all others the
     * process stalls for 70 ms.
     */
    private double unixMillis() {
        nanos += ++readings == 6 ? 1_000 : 70_000_000;
        return 5_000 + nanos / 1e6;
    }

    @Test
    void stallBetweenReadingsDoesNotShiftTheAnchor() {
        Clock clock = Clock.anchored(this::unixMillis, () -> nanos);
        assertEquals(5_000 + nanos / 1e6, clock.nowMillis(), 0.01);
        nanos += 2_500_000;
        assertEquals(5_000 + nanos / 1e6, clock.nowMillis(), 0.01);
    }
}
