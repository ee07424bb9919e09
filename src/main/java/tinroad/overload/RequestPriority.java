package tinroad.overload;

import tinroad.overload.Controller.Settings;

/**
 * The order in which queued requests run: by their weight in the operators' objective divided by
 * their run time.
 */
final class RequestPriority {
    /**
     * Weight of a marked retry relative to a fresh request: serving a fresh request saves all its
     * further attempts.
     */
    private static final double RETRY_WEIGHT = 0.5;

    /**
     * A class whose ratio of requests answered in time is this much above the worst ratio does not
     * count among the worst served.
     */
    private static final double LAG_RANGE = 0.1;

    /** Minimum number of counted requests before classes are compared. */
    private static final double MIN_REQUESTS = 10;

    private final Settings settings;
    private final ControllerClock clock;
    private final ClassTable classes;
    private final RunTimeEstimator estimator;
    private final TenantQuotas tenantQuotas;

    RequestPriority(
            Settings settings,
            ControllerClock clock,
            ClassTable classes,
            RunTimeEstimator estimator,
            TenantQuotas tenantQuotas) {
        this.settings = settings;
        this.clock = clock;
        this.classes = classes;
        this.estimator = estimator;
        this.tenantQuotas = tenantQuotas;
    }

    /**
     * Returns the weight for each ms of run time. A request that can no longer meet its objective
     * counts with its late share. Retries count less, which guards against overload that is
     * sustained by its own retries; it may harm a request that met only full servers elsewhere.
     */
    double of(ActiveRequest request) {
        double runMillis = estimator.runMillis(request);
        double lateShare =
                clock.nowMillis() + runMillis + request.statistics.pausedMillis
                                > request.objectiveAtMillis
                        ? request.spec.lateWeightShare()
                        : 1;
        return weight(request)
                * lateShare
                * tenantQuotas.weight(request)
                * (request.retry ? RETRY_WEIGHT : 1)
                / runMillis;
    }

    /**
     * Returns what one answer in time adds to the objective. The classes served worst share the
     * weight of the worst class.
     */
    private double weight(ActiveRequest request) {
        double totalRequests = classes.totalRequests();
        double totalWeight = classes.totalWeight();
        double ownWeight = classes.weight(request.statistics, request.spec);
        if (totalWeight <= 0 || totalRequests < MIN_REQUESTS) {
            return ownWeight;
        }
        double share = classes.recentRequests(request.statistics) / totalRequests;
        double bonus =
                share > 0
                        ? settings.objectiveWeights().worstClass()
                                * classes.lagShare(request.statistics)
                                / share
                        : 0;
        return (settings.objectiveWeights().overall() + settings.objectiveWeights().worstWindow())
                        * ownWeight
                        * totalRequests
                        / totalWeight
                + bonus;
    }

    /**
     * Returns how far a class with this ratio of requests answered in time is behind: 1 for the
     * class with the worst ratio, and 0 at {@link #LAG_RANGE} above it. Classes close to the worst
     * one share its weight.
     */
    static double lag(double servedRatio, double worstRatio) {
        return Math.max(0, 1 - (servedRatio - worstRatio) / LAG_RANGE);
    }
}
