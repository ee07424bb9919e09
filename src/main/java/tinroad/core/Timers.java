package tinroad.core;

/** Runs tasks later, on the thread that owns the gateway's state. */
@FunctionalInterface
public interface Timers {
    /** Runs the task once, after this delay; with a delay of 0 as an event of its own. */
    void after(double delayMillis, Runnable task);
}
