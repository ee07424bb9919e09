package tinroad.overload;

import tinroad.overload.Controller.Actions;
import tinroad.overload.Controller.Settings;

/**
 * What a rejected request's client is advised: after what time to retry, and whether elsewhere. A
 * fault of this server: retry elsewhere. General load: do not retry; many marked retries show it;
 * where none are marked, any may have been elsewhere.
 */
final class RejectionPolicy {
    /** Runs this much slower than calm are this server's own fault. */
    private static final double SLOW_RATIO = 1.6;

    /**
     * Part of the longest Retry-After that load alone may give: all of it sets clients swinging.
     */
    private static final double MAX_SHARE_UNDER_LOAD = 0.5;

    /**
     * The mean of it while admission is closed, spread: with one value for all, clients would come
     * as one.
     */
    private static final double MEAN_SHARE_WHILE_CLOSED = 0.4;

    /**
     * Marked retries beyond this part of the arrivals: others reject, too, so a retry elsewhere is
     * no use.
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

    /** Answers a request that never ran; the controller removes it. */
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
     * In ms; 0: no Retry-After is sent. While admission is closed, the client's slot in the
     * schedule. While draining, the longest one allowed. Otherwise as long as the queued work takes
     * and this request waited, at most a part of the longest one unless runs are slow here: all
     * clients gone for longer than that leaves the cores idle.
     */
    private double retryAfterMillis(ActiveRequest request, boolean closed, boolean localCause) {
        double mostMillis =
                settings.sendsRetryAfter()
                        ? settings.maxRetryAfterMillis() * (localCause ? 1 : MAX_SHARE_UNDER_LOAD)
                        : 0;
        if (health.admissionClosed() && mostMillis > 0) {
            return schedule.retryAfterMillis(
                    request.caller,
                    clock.nowMillis(),
                    MEAN_SHARE_WHILE_CLOSED * mostMillis,
                    mostMillis);
        }
        return closed
                ? mostMillis
                : Math.min(
                        mostMillis,
                        queue.workBeforeMillis(0) * cores.onCoreShare() / settings.cores()
                                + clock.nowMillis()
                                - request.arrivedAtMillis);
    }
}
