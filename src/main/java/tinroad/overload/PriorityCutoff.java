package tinroad.overload;

/**
 * The priority below which arrivals are rejected at once. It rises while runs fill the cores and
 * requests miss their latency objectives, and falls when calm.
 */
final class PriorityCutoff {
    private static final double RISE_PER_TICK = 0.01;
    private static final double FALL_PER_TICK = 0.004;

    /** Maximum cutoff, as a multiple of one class's equal share of the priorities. */
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

    /** Notes that a request misses its objective or would miss it. */
    void onObjectiveMissed() {
        objectiveMissed = true;
    }

    /** Adjusts the cutoff, once per tick. */
    void adjust() {
        boolean overloaded = objectiveMissed && cores.saturated();
        double maxCutoff = MAX_CLASS_SHARE / Math.max(1, classes.size());
        cutoff =
                overloaded
                        ? Math.min(maxCutoff, cutoff + RISE_PER_TICK)
                        : Math.max(0, cutoff - FALL_PER_TICK);
        objectiveMissed = false;
    }
}
