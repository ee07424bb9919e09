package tinroad.core;

import java.time.Instant;
import java.util.function.DoubleSupplier;
import java.util.function.LongSupplier;

/** A clock that returns Unix time in milliseconds and never steps back. */
@FunctionalInterface
public interface Clock {
    /** Returns the current time. */
    double nowMillis();

    /**
     * Returns a monotonic clock that is anchored to Unix time once, so that a step of the system
     * clock does not move any deadline.
     */
    static Clock anchored() {
        return anchored(Clock::unixMillis, System::nanoTime);
    }

    /**
     * Returns a monotonic clock that is anchored at the closest of several pairs of readings. A
     * process may be descheduled between the two readings of a pair, for example when it starts
     * under load: a clock anchored there would stay behind for good, and answers would be late.
     */
    static Clock anchored(DoubleSupplier unixMillis, LongSupplier nanoTime) {
        final int readingPairs = 20;
        double anchorUnixMillis = 0;
        long anchorNanos = 0;
        long shortestNanos = Long.MAX_VALUE;
        for (int i = 0; i < readingPairs; i++) {
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
