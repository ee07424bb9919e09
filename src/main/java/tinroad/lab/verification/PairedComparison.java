package tinroad.lab.verification;

import java.util.Arrays;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Compares a metric of two programs over the same seeds: their medians, and a bootstrap confidence
 * interval of the median difference. An infinite value (a run that never recovered) counts as a
 * very large finite number, so that differences can be computed and sorted.
 *
 * @param first median of the first program
 * @param second median of the second program
 * @param low lower end of the interval of second minus first
 * @param high upper end of that interval
 * @param pairs number of seeds
 */
public record PairedComparison(double first, double second, double low, double high, int pairs) {
    private static final int RESAMPLES = 4000;
    private static final double TAIL_SHARE = 0.025;

    /**
     * Compares two lists of values. Both have the value of the same seed at the same index, and
     * none is NaN.
     */
    public static PairedComparison of(
            double[] first, double[] second, UniformRandomProvider random) {
        double[] differences = new double[first.length];
        for (int i = 0; i < first.length; i++) {
            differences[i] = first[i] == second[i] ? 0 : toFinite(second[i]) - toFinite(first[i]);
        }
        double[] medians = new double[RESAMPLES];
        double[] resample = new double[differences.length];
        for (int r = 0; r < RESAMPLES; r++) {
            for (int i = 0; i < resample.length; i++) {
                resample[i] = differences[random.nextInt(differences.length)];
            }
            medians[r] = median(resample);
        }
        Arrays.sort(medians);
        return new PairedComparison(
                median(first),
                median(second),
                medians[(int) (TAIL_SHARE * RESAMPLES)],
                medians[(int) ((1 - TAIL_SHARE) * RESAMPLES) - 1],
                first.length);
    }

    private static double toFinite(double value) {
        return Math.min(value, Double.MAX_VALUE / 4);
    }

    /** The median: the middle value, or the mean of the two middle values. */
    public static double median(double[] values) {
        double[] sorted = values.clone();
        Arrays.sort(sorted);
        int n = sorted.length;
        return n % 2 == 1 || sorted[n / 2 - 1] == sorted[n / 2]
                ? sorted[n / 2]
                : (sorted[n / 2 - 1] + sorted[n / 2]) / 2;
    }

    /** Whether the programs differ: the interval excludes zero. */
    public boolean differ() {
        return low > 0 || high < 0;
    }
}
