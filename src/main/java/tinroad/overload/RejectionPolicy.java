package tinroad.overload;

import tinroad.overload.Controller.Actions;
import tinroad.overload.Controller.Settings;

/**
 * Decides what the client of a rejected request is advised: how long to wait before a retry, and
 * whether to retry on another server. After a fault of this server it is advised to retry
 * elsewhere; under general load it is advised not to retry. A high share of marked retries is a
 * sign of general load. Where retries are not marked, any request may have been rejected elsewhere
 * before, so that general load is assumed.
 */
final class RejectionPolicy {
    /**
     * A slowdown of runs over the calm baseline by more than this factor is this server's own
     * fault.
     */
    private static final double SLOW_RATIO = 1.6;

    /**
     * Share of the maximum Retry-After that load alone may lead to; with all of it, the load from
     * the clients oscillates.
     */
    private static final double MAX_SHARE_UNDER_LOAD = 0.5;

    /**
     * Mean Retry-After while admission is closed, as a share of the maximum. The values are spread
     * around it, because with one value for all, clients would return at the same time.
     */
    private static final double MEAN_SHARE_WHILE_CLOSED = 0.4;

    /**
     * Share of marked retries among the arrivals above which other servers reject requests as well,
     * so that a retry elsewhere is of no use.
     */
    private static final double GENERAL_LOAD_RETRY_SHARE = 0.2;

    private final Settings settings;
    private final Actions actions;
    private final ControllerClock clock;
    private final CoreUsage cores;
    private final ClassTable classes;
    private final HealthPolicy health;
    private final DrainPolicy draining;
    private final RequestQueue queue;
    private final ArrivalStatistics arrivals;
    private final RetryAfterSchedule schedule = new RetryAfterSchedule();

    RejectionPolicy(
            Settings settings,
            Actions actions,
            ControllerClock clock,
            CoreUsage cores,
            ClassTable classes,
            HealthPolicy health,
            DrainPolicy draining,
            RequestQueue queue,
            ArrivalStatistics arrivals) {
        this.settings = settings;
        this.actions = actions;
        this.clock = clock;
        this.cores = cores;
        this.classes = classes;
        this.health = health;
        this.draining = draining;
        this.queue = queue;
        this.arrivals = arrivals;
    }

    /** Rejects a request that never ran. The controller removes it. */
    void reject(ActiveRequest request) {
        boolean closed = health.admissionClosed() || draining.isDraining();
        boolean localCause = closed || classes.slowdown() > SLOW_RATIO;
        double retryAfterMillis = retryAfterMillis(request, closed, localCause);
        boolean generalLoad =
                !settings.requestsMarkRetries()
                        || request.retry
                        || arrivals.retryShare() > GENERAL_LOAD_RETRY_SHARE;
        actions.reject(request.id, retryAfterMillis, !localCause && generalLoad);
    }

    /**
     * Returns the Retry-After in ms; 0 if none is sent. While admission is closed, it is the time
     * until the client's slot in the schedule. While draining, it is the maximum allowed. Otherwise
     * it is the time that the queued work takes plus the time that this request waited, limited to
     * a share of the maximum unless runs are slow on this server: if all clients stayed away for
     * longer, the cores would be idle.
     */
    private double retryAfterMillis(ActiveRequest request, boolean closed, boolean localCause) {
        double maxMillis =
                settings.sendsRetryAfter()
                        ? settings.maxRetryAfterMillis() * (localCause ? 1 : MAX_SHARE_UNDER_LOAD)
                        : 0;
        if (health.admissionClosed() && maxMillis > 0) {
            return schedule.retryAfterMillis(
                    request.caller,
                    clock.nowMillis(),
                    MEAN_SHARE_WHILE_CLOSED * maxMillis,
                    maxMillis);
        }
        return closed
                ? maxMillis
                : Math.min(
                        maxMillis,
                        queue.workBeforeMillis(0) * cores.onCoreShare() / settings.cores()
                                + clock.nowMillis()
                                - request.arrivedAtMillis);
    }
}
