package tinroad.core;

/** Unix time in milliseconds that never steps back. */
@FunctionalInterface
public interface Clock {
    /** The time now. */
    double now();

    /** A monotonic clock, anchored to Unix time once: a stepped system clock then moves no due time. */
    static Clock anchored() {
        double unix = System.currentTimeMillis();
        long start = System.nanoTime();
        return () -> unix + (System.nanoTime() - start) / 1e6;
    }
}
