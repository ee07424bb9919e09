package tinroad.core;

/** Runs tasks later, on the thread that owns the gateway's state. */
@FunctionalInterface
public interface Timers {
    /** Runs the task once, after this many milliseconds. */
    void after(double delayMillis, Runnable task);
}
