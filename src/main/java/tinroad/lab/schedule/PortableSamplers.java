package tinroad.lab.schedule;

import java.util.function.DoubleSupplier;
import java.util.function.IntSupplier;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Samplers of the distributions that a schedule uses. They compute with {@link StrictMath}, whose
 * results are the same on every processor; those of {@link Math} may differ in the last digit.
 */
final class PortableSamplers {
    private PortableSamplers() {}

    /** Samples an exponential distribution with mean 1, by inversion. */
    static DoubleSupplier exponential(UniformRandomProvider random) {
        return () -> -StrictMath.log(1 - random.nextDouble());
    }

    /** Samples the exponential of a normal distribution with this mean and standard deviation. */
    static DoubleSupplier logNormal(UniformRandomProvider random, double mean, double sigma) {
        return () -> StrictMath.exp(mean + sigma * gaussian(random));
    }

    /** Samples a normal distribution with mean 0 and standard deviation 1, by the polar method. */
    private static double gaussian(UniformRandomProvider random) {
        while (true) {
            double x = 2 * random.nextDouble() - 1;
            double y = 2 * random.nextDouble() - 1;
            double squaredRadius = x * x + y * y;
            if (squaredRadius > 0 && squaredRadius < 1) {
                return x * StrictMath.sqrt(-2 * StrictMath.log(squaredRadius) / squaredRadius);
            }
        }
    }

    /** Samples ranks from 0 to {@code count - 1} of a Zipf distribution: 0 is the most frequent. */
    static IntSupplier zipf(UniformRandomProvider random, int count, double exponent) {
        return new ZipfSampler(random, count, exponent)::sample;
    }

    /**
     * Rejection-inversion sampling of a Zipf distribution: W. Hörmann and G. Derflinger,
     * "Rejection- inversion to generate variates from monotone discrete distributions", ACM TOMACS
     * 6 (1996). Needs no table.
     */
    private static final class ZipfSampler {
        /** Below this, the quotients of {@code log1p} and {@code expm1} are 1 to all digits. */
        private static final double NEAR_ZERO = 1e-17;

        private final UniformRandomProvider random;
        private final int count;
        private final double exponent;
        private final double lowestIntegral;
        private final double highestIntegral;
        private final double acceptedDistance;

        ZipfSampler(UniformRandomProvider random, int count, double exponent) {
            this.random = random;
            this.count = count;
            this.exponent = exponent;
            lowestIntegral = integral(1.5) - 1;
            highestIntegral = integral(count + 0.5);
            acceptedDistance = 2 - inverseIntegral(integral(2.5) - density(2));
        }

        int sample() {
            while (true) {
                double integral =
                        highestIntegral + random.nextDouble() * (lowestIntegral - highestIntegral);
                double x = inverseIntegral(integral);
                int number = (int) Math.max(1, Math.min(count, x + 0.5));
                if (number - x <= acceptedDistance
                        || integral >= integral(number + 0.5) - density(number)) {
                    return number - 1;
                }
            }
        }

        private double density(double x) {
            return StrictMath.exp(-exponent * StrictMath.log(x));
        }

        /** The integral of the density from 1 to {@code x}. */
        private double integral(double x) {
            double logarithm = StrictMath.log(x);
            double scaled = (1 - exponent) * logarithm;
            return Math.abs(scaled) < NEAR_ZERO
                    ? logarithm
                    : logarithm * (StrictMath.expm1(scaled) / scaled);
        }

        private double inverseIntegral(double integral) {
            // Rounding may lead below -1, where the logarithm is not defined.
            double scaled = Math.max(-1, integral * (1 - exponent));
            return Math.abs(scaled) < NEAR_ZERO
                    ? StrictMath.exp(integral)
                    : StrictMath.exp(integral * (StrictMath.log1p(scaled) / scaled));
        }
    }
}
