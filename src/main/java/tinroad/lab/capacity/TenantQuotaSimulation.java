package tinroad.lab.capacity;

import org.apache.commons.rng.UniformRandomProvider;
import tinroad.lab.schedule.Draw;

/**
 * Simulates how well the overload controller recognizes a tenant that exceeds its quota when the
 * tenant's requests are split over several counters that don't share their counts. Each counter
 * compares the tenant's exponentially decayed rate with its share of the quota plus an allowance
 * for random variation. Requests arrive at random, evenly over all counters, from a fixed seed.
 */
final class TenantQuotaSimulation {
    /** Requests per simulation; keeps the standard error of a share under 0.002. */
    private static final int SIMULATED_REQUESTS = 100_000;

    /** Requests before the counted ones, until the decayed rate is steady. */
    private static final int WARMUP_REQUESTS = 2000;

    private final double windowMillis;
    private final double maxDeviations;

    /**
     * Creates a simulation with two constants of the overload controller.
     *
     * @param windowMillis time over which a tenant's rate decays, {@code
     *     ArrivalStatistics.RATE_SPAN_MILLIS}
     * @param maxDeviations standard deviations by which a count may exceed the expected one, {@code
     *     TenantQuotas.MAX_DEVIATIONS}
     */
    TenantQuotaSimulation(double windowMillis, double maxDeviations) {
        this.windowMillis = windowMillis;
        this.maxDeviations = maxDeviations;
    }

    /**
     * How a tenant's requests were rated.
     *
     * @param overShare share of the requests that counted as over the quota
     * @param meanWeight mean weight of a request, where the part over the quota weighs nothing
     */
    record Outcome(double overShare, double meanWeight) {}

    /**
     * Returns the number of requests that one of the counters expects within the window from a
     * tenant with this total rate.
     */
    double expectedRequests(double ratePerSecond, double counters) {
        return ratePerSecond / counters * windowMillis / 1000;
    }

    /**
     * Returns the number of requests within the window that one of the counters allows a tenant,
     * including the allowance for random variation.
     */
    double allowedRequests(double quotaPerSecond, double counters) {
        double expected = expectedRequests(quotaPerSecond, counters);
        return expected + maxDeviations * Math.sqrt(expected);
    }

    /**
     * Simulates a tenant that has this quota over all counters together and sends {@code
     * demandFactor} times as much.
     */
    Outcome simulate(double quotaPerSecond, double demandFactor, double counters) {
        double allowed = allowedRequests(quotaPerSecond, counters);
        double expected = demandFactor * expectedRequests(quotaPerSecond, counters);
        UniformRandomProvider random = Draw.stream(1, "sharing");
        double counted = expected;
        double overQuota = 0;
        double weightSum = 0;
        for (int i = -WARMUP_REQUESTS; i < SIMULATED_REQUESTS; i++) {
            // Like the controller, counts a request before rating it. StrictMath gives the same
            // result on every machine.
            counted =
                    counted * StrictMath.exp(StrictMath.log(1 - random.nextDouble()) / expected)
                            + 1;
            if (i >= 0) {
                overQuota += counted > allowed ? 1 : 0;
                weightSum += Math.min(1, allowed / counted);
            }
        }
        return new Outcome(overQuota / SIMULATED_REQUESTS, weightSum / SIMULATED_REQUESTS);
    }
}
