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
     * A monotonic clock, anchored to Unix time once: a step of the system clock then moves no
     * deadline.
     */
    static Clock anchored() {
        return anchored(Clock::unixMillis, System::nanoTime);
    }

    /**
     * Anchors at the closest of several pairs of readings. Guards against a process that is
     * descheduled between the two readings, as at a start under load: its clock would run behind
     * for good, and its answers be late.
     */
    static Clock anchored(DoubleSupplier unixMillis, LongSupplier nanoTime) {
        final int attempts = 20;
        double anchorUnixMillis = 0;
        long anchorNanos = 0;
        long shortestNanos = Long.MAX_VALUE;
        for (int i = 0; i < attempts; i++) {
            long beforeNanos = nanoTime.getAsLong();
            double readingMillis = unixMillis.getAsDouble();
            long elapsedNanos = nanoTime.getAsLong() - beforeNanos;
            if (elapsedNanos < shortestNanos) {
                shortestNanos = elapsedNanos;
                anchorUnixMillis = readingMillis;
                anchorNanos = beforeNanos + elapsedNanos / 2;
            }
        }
        double startUnixMillis = anchorUnixMillis;
        long startNanos = anchorNanos;
        return () -> startUnixMillis + (nanoTime.getAsLong() - startNanos) / 1e6;
    }

    private static double unixMillis() {
        Instant now = Instant.now();
        return now.getEpochSecond() * 1e3 + now.getNano() / 1e6;
    }
}
