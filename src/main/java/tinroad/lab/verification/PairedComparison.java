package tinroad.lab.verification;

import java.util.Arrays;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Two programs over the same seeds: medians, and a bootstrap interval of the median of the
 * differences. Infinite figures (a day that never came back) count as the largest finite number, so
 * that they have a place in the order.
 */
public record PairedComparison(double first, double second, double low, double high, int pairs) {
    private static final int RESAMPLES = 4000;
    private static final double TAIL = 0.025;

    /** Compares; both hold the figure of the same seed at the same place, and none is NaN. */
    public static PairedComparison of(
            double[] first, double[] second, UniformRandomProvider random) {
        double[] differences = new double[first.length];
        for (int i = 0; i < first.length; i++) {
            differences[i] = first[i] == second[i] ? 0 : finite(second[i]) - finite(first[i]);
        }
        double[] medians = new double[RESAMPLES];
        double[] drawn = new double[differences.length];
        for (int r = 0; r < RESAMPLES; r++) {
            for (int i = 0; i < drawn.length; i++) {
                drawn[i] = differences[random.nextInt(differences.length)];
            }
            medians[r] = median(drawn);
        }
        Arrays.sort(medians);
        return new PairedComparison(
                median(first),
                median(second),
                medians[(int) (TAIL * RESAMPLES)],
                medians[(int) ((1 - TAIL) * RESAMPLES) - 1],
                first.length);
    }

    private static double finite(double x) {
        return Math.min(x, Double.MAX_VALUE / 4);
    }

    /** The middle one, or the mean of the two in the middle. */
    public static double median(double[] values) {
        double[] sorted = values.clone();
        Arrays.sort(sorted);
        int n = sorted.length;
        return n % 2 == 1 || sorted[n / 2 - 1] == sorted[n / 2]
                ? sorted[n / 2]
                : (sorted[n / 2 - 1] + sorted[n / 2]) / 2;
    }

    /** Whether zero lies outside the interval. */
    public boolean differ() {
        return low > 0 || high < 0;
    }
}
