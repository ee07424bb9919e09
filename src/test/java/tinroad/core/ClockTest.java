package tinroad.core;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** The anchor of the clock, with readings from the test. */
class ClockTest {
    private long nanos;
    private int readings;

    /** Each reading takes a moment; in all but the sixth the process stalls for 70 ms. */
    private double unix() {
        nanos += ++readings == 6 ? 1_000 : 70_000_000;
        return 5_000 + nanos / 1e6;
    }

    @Test
    void stallBetweenReadingsDoesNotShiftTheAnchor() {
        Clock clock = Clock.anchored(this::unix, () -> nanos);
        assertEquals(5_000 + nanos / 1e6, clock.nowMillis(), 0.01);
        nanos += 2_500_000;
        assertEquals(5_000 + nanos / 1e6, clock.nowMillis(), 0.01);
    }
}
