package tinroad.overload;

/**
 * The priority below which arrivals are rejected at once: rises while runs fill the cores and
 * requests miss their latency objectives, falls when calm.
 */
final class PriorityCutoff {
    private static final double RISE_PER_TICK = 0.01;
    private static final double FALL_PER_TICK = 0.004;

    /** The highest cutoff, as a multiple of one class's equal share of the priorities. */
    private static final double MAX_CLASS_SHARE = 2;

    private final ClassTable classes;
    private final CoreUsage cores;
    private double cutoff;
    private boolean objectiveMissed;

    PriorityCutoff(ClassTable classes, CoreUsage cores) {
        this.classes = classes;
        this.cores = cores;
    }

    double value() {
        return cutoff;
    }

    /** A request misses its objective, or would. */
    void onObjectiveMissed() {
        objectiveMissed = true;
    }

    /** One tick. */
    void adjust() {
        boolean pressed = objectiveMissed && cores.saturated();
        double top = MAX_CLASS_SHARE / Math.max(1, classes.size());
        cutoff =
                pressed
                        ? Math.min(top, cutoff + RISE_PER_TICK)
                        : Math.max(0, cutoff - FALL_PER_TICK);
        objectiveMissed = false;
    }
}
