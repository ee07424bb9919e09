package tinroad.overload;

import tinroad.overload.Controller.Settings;

/** The order in which queued requests run: their weight in the operators' objective by run time. */
final class RequestPriority {
    /** What a marked retry counts: serving a fresh request saves all its further attempts. */
    private static final double RETRY_WEIGHT = 0.5;

    /** A class this much better served than the worst is not counted among the worst. */
    private static final double LAG_SPAN = 0.1;

    /** Requests that have to be counted before classes are compared. */
    private static final double MIN_SAMPLES = 10;

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
     * Weight for each ms of run; what can no longer meet its objective counts by its late share.
     * Retries count less: guards against overload that feeds on its retries; may harm one that met
     * only full servers elsewhere.
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
     * What one answer in time adds to the objective; the classes served worst share the worst one's
     * weight.
     */
    private double weight(ActiveRequest request) {
        double totalRequests = classes.totalRequests();
        double totalWeight = classes.totalWeight();
        double ownWeight = classes.weight(request.statistics, request.spec);
        if (totalWeight <= 0 || totalRequests < MIN_SAMPLES) {
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
     * How far a class is behind that is served so, beside the worst: who is near shares its weight.
     */
    static double lag(double ratio, double worst) {
        return Math.max(0, 1 - (ratio - worst) / LAG_SPAN);
    }
}
