package tinroad.overload;

import tinroad.overload.Controller.RequestClass;
import tinroad.overload.Controller.Settings;

/**
 * Which arrivals are admitted: those that fit into memory, are above the priority cutoff, and whose
 * estimated answer meets their latency objective.
 */
final class AdmissionControl {
    /**
     * Part of the time to its objective that a request's estimated answer may take, for the spread
     * of run times.
     */
    private static final double MAX_TIME_SHARE = 0.65;

    /**
     * How much more of it, by the part of arrivals that are retries: elsewhere a request would meet
     * the same.
     */
    private static final double MAX_TIME_SHARE_BY_RETRIES = 0.8;

    /**
     * A request in time is admitted beside fewer than this: one oversized or hung run must not idle
     * a core.
     */
    private static final int ALWAYS_ADMITTED = 2;

    private final Settings settings;
    private final CoreUsage cores;
    private final ConcurrencyLimit limit;
    private final MemoryBudget memory;
    private final DrainPolicy draining;
    private final HealthPolicy health;
    private final TenantQuotas tenantQuotas;
    private final PriorityCutoff cutoff;
    private final ArrivalStatistics arrivals;
    private final RequestQueue queue;
    private final RequestPriority priority;
    private final RunTimeEstimator estimator;

    AdmissionControl(
            Settings settings,
            CoreUsage cores,
            ConcurrencyLimit limit,
            MemoryBudget memory,
            DrainPolicy draining,
            HealthPolicy health,
            TenantQuotas tenantQuotas,
            PriorityCutoff cutoff,
            ArrivalStatistics arrivals,
            RequestQueue queue,
            RequestPriority priority,
            RunTimeEstimator estimator) {
        this.settings = settings;
        this.cores = cores;
        this.limit = limit;
        this.memory = memory;
        this.draining = draining;
        this.health = health;
        this.tenantQuotas = tenantQuotas;
        this.cutoff = cutoff;
        this.arrivals = arrivals;
        this.queue = queue;
        this.priority = priority;
        this.estimator = estimator;
    }

    /**
     * Whether this arrival is admitted. To be called once for each: it counts trial requests, and
     * reports an objective that cannot be met to the cutoff.
     */
    boolean admits(ActiveRequest request, RequestClass requestClass, double nowMillis) {
        return memory.fits(requestClass)
                && !draining.isTooLate(request, nowMillis)
                && admitsLoad(request, nowMillis);
    }

    private boolean admitsLoad(ActiveRequest request, double nowMillis) {
        if (health.admissionClosed()) {
            return health.admitTrial(cores.running() + queue.size(), nowMillis);
        }
        if (request.priority * tenantQuotas.weight(request) < cutoff.value()) {
            return false;
        }
        double share = MAX_TIME_SHARE + MAX_TIME_SHARE_BY_RETRIES * arrivals.retryShare();
        double leftMillis = request.objectiveAtMillis - nowMillis;
        boolean meets =
                request.workMillis <= leftMillis
                        && estimatedAnswerMillis(request) <= leftMillis * share;
        if (!meets && nowMillis < request.objectiveAtMillis) {
            cutoff.onObjectiveMissed();
        }
        int always =
                nowMillis > request.objectiveAtMillis
                        ? settings.cores() / 2
                        : Math.min(settings.cores(), ALWAYS_ADMITTED);
        return meets || cores.running() + queue.size() < always;
    }

    /** Estimated time to the answer: the work queued before this request, then its own run. */
    private double estimatedAnswerMillis(ActiveRequest request) {
        double ownMillis = estimator.runMillis(request);
        double beforeMillis = queue.workBeforeMillis(priority.of(request));
        double busy =
                Math.max((cores.running() + 1) * cores.onCoreShare(), settings.cores())
                        / settings.cores();
        beforeMillis +=
                beforeMillis > 0 || cores.running() >= (int) limit.allowed() ? ownMillis / 2 : 0;
        double most = Math.max(1, limit.allowed() * cores.onCoreShare() / settings.cores());
        return beforeMillis * cores.onCoreShare() / settings.cores()
                + ownMillis * Math.min(busy, most)
                + request.statistics.pausedMillis;
    }
}
