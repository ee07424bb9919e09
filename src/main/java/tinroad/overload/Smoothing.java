package tinroad.overload;

/**
 * Weights of a new sample in exponentially weighted moving averages, and an average that bounds the
 * influence of outliers.
 */
final class Smoothing {
    /** Weight for run latencies. */
    static final double RUN_WEIGHT = 0.1;

    /** Weight for calm baselines, per sample or per sweep. */
    static final double CALM_WEIGHT = 0.02;

    /** Weight for outcomes of runs and calls. */
    static final double OUTCOME_WEIGHT = 0.2;

    /**
     * A sample counts for at most this many times the average, because one oversized request is not
     * a trend.
     */
    private static final double MAX_SAMPLE_RATIO = 4;

    private Smoothing() {}

    /** Returns the average after one more sample, which is capped at a multiple of the average. */
    static double blend(double mean, double sample, double weight) {
        return mean + weight * (Math.min(sample, MAX_SAMPLE_RATIO * mean) - mean);
    }
}
