package tinroad.overload;

/** Weights of a new sample in the exponentially weighted moving averages, and a guarded average. */
final class Smoothing {
    /** For run latency. */
    static final double RUN_WEIGHT = 0.1;

    /** For calm baselines, a sample or a sweep. */
    static final double CALM_WEIGHT = 0.02;

    /** For outcomes of runs and calls. */
    static final double OUTCOME_WEIGHT = 0.2;

    /**
     * A single sample counts for this many times the average at most: one oversized request is not
     * a trend.
     */
    private static final double MAX_SAMPLE_RATIO = 4;

    private Smoothing() {}

    /** The average after one more sample, capped at a multiple of the average. */
    static double blend(double mean, double sample, double weight) {
        return mean + weight * (Math.min(sample, MAX_SAMPLE_RATIO * mean) - mean);
    }
}
