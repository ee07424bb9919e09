package tinroad.core;

/** Runs tasks later, on the thread that owns the gateway's state. */
@FunctionalInterface
public interface Timers {
    /** Runs the task once, after this delay. With a delay of 0 it runs as a separate event. */
    void after(double delayMillis, Runnable task);
}
