package tinroad.core;

import java.time.Instant;
import java.util.function.DoubleSupplier;
import java.util.function.LongSupplier;

/** Unix time in milliseconds that never steps back. */
@FunctionalInterface
public interface Clock {
    /** The time now. */
    double nowMillis();

    /**
     * A monotonic clock, anchored to Unix time once: a stepped system clock then moves no due time.
     */
    static Clock anchored() {
        return anchored(Clock::unixMillis, System::nanoTime);
    }

    /**
     * Anchors at the closest of several pairs of readings. Guards against a process that is set
     * aside between the two readings, as at a crowded start: its clock would run behind for good,
     * and its answers be late.
     */
    static Clock anchored(DoubleSupplier unix, LongSupplier nanos) {
        final int tries = 20;
        double unixAt = 0;
        long nanosAt = 0;
        long closest = Long.MAX_VALUE;
        for (int i = 0; i < tries; i++) {
            long before = nanos.getAsLong();
            double reading = unix.getAsDouble();
            long apart = nanos.getAsLong() - before;
            if (apart < closest) {
                closest = apart;
                unixAt = reading;
                nanosAt = before + apart / 2;
            }
        }
        double anchor = unixAt;
        long start = nanosAt;
        return () -> anchor + (nanos.getAsLong() - start) / 1e6;
    }

    private static double unixMillis() {
        Instant now = Instant.now();
        return now.getEpochSecond() * 1e3 + now.getNano() / 1e6;
    }
}
