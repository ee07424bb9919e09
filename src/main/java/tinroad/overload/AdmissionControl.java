package tinroad.overload;

import tinroad.overload.Controller.RequestClass;
import tinroad.overload.Controller.Settings;

/**
 * Decides which arrivals are admitted: those that fit into memory, are not below the priority
 * cutoff, and are expected to be answered within their latency objective.
 */
final class AdmissionControl {
    /**
     * Share of the time left until a request's objective that its estimated answer may take. The
     * rest allows for the spread of run times.
     */
    private static final double MAX_ESTIMATE_SHARE = 0.65;

    /**
     * Added to that share when all arrivals are retries, and proportionally less otherwise: with
     * many retries, a rejected request would meet the same load elsewhere.
     */
    private static final double MAX_ESTIMATE_SHARE_GAIN_BY_RETRIES = 0.8;

    /**
     * A request whose objective has not passed is always admitted while fewer than this many
     * requests run or wait, so that one oversized or hung run does not leave a core idle.
     */
    private static final int ALWAYS_ADMITTED_REQUESTS = 2;

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
     * Whether this arrival is admitted. Must be called once for each arrival, because it counts
     * trial requests and reports objectives that cannot be met to the cutoff.
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
        double maxShare =
                MAX_ESTIMATE_SHARE + MAX_ESTIMATE_SHARE_GAIN_BY_RETRIES * arrivals.retryShare();
        double remainingMillis = request.objectiveAtMillis - nowMillis;
        boolean meetsObjective =
                request.workMillis <= remainingMillis
                        && estimatedAnswerMillis(request) <= remainingMillis * maxShare;
        if (!meetsObjective && nowMillis < request.objectiveAtMillis) {
            cutoff.onObjectiveMissed();
        }
        int alwaysAdmitted =
                nowMillis > request.objectiveAtMillis
                        ? settings.cores() / 2
                        : Math.min(settings.cores(), ALWAYS_ADMITTED_REQUESTS);
        return meetsObjective || cores.running() + queue.size() < alwaysAdmitted;
    }

    /** Estimated time to the answer: the work queued ahead of this request, then its own run. */
    private double estimatedAnswerMillis(ActiveRequest request) {
        double ownRunMillis = estimator.runMillis(request);
        double queuedMillis = queue.workBeforeMillis(priority.of(request));
        double coreLoad =
                Math.max((cores.running() + 1) * cores.onCoreShare(), settings.cores())
                        / settings.cores();
        queuedMillis +=
                queuedMillis > 0 || cores.running() >= (int) limit.allowed() ? ownRunMillis / 2 : 0;
        double maxCoreLoad = Math.max(1, limit.allowed() * cores.onCoreShare() / settings.cores());
        return queuedMillis * cores.onCoreShare() / settings.cores()
                + ownRunMillis * Math.min(coreLoad, maxCoreLoad)
                + request.statistics.pausedMillis;
    }
}
