package tinroad.core;

/**
 * Answers requests whose deadline has passed where the controller does not: while the process
 * stalled, while the engine link is down, or when the decision code failed. Also gives up on runs
 * whose end can't be reported any more, and drops what has expired from the tables. Runs on the
 * event loop, every {@link #PERIOD_MILLIS}.
 */
final class DeadlineGuard {
    /** Far below the slack that the rules leave an answer after its deadline. */
    static final double PERIOD_MILLIS = 25;

    /** So long after its deadline, in ms, a request whose run was lost with its link is kept. */
    static final double LOST_RUN_KEPT_MILLIS = 1000;

    private final Timers timers;
    private final Clock clock;
    private final RequestTable requests;
    private final RequestLifecycle lifecycle;
    private final IdempotencyTable idempotency;
    private final WarmStart warmStart;

    /** When this guard ran last. */
    private double lastRunAtMillis = Double.POSITIVE_INFINITY;

    /** When it ran the time before; any thread may read it. */
    private volatile double lastSeenAliveMillis = Double.POSITIVE_INFINITY;

    DeadlineGuard(
            Timers timers,
            Clock clock,
            RequestTable requests,
            RequestLifecycle lifecycle,
            IdempotencyTable idempotency,
            WarmStart warmStart) {
        this.timers = timers;
        this.clock = clock;
        this.requests = requests;
        this.lifecycle = lifecycle;
        this.idempotency = idempotency;
        this.warmStart = warmStart;
    }

    void start() {
        timers.after(PERIOD_MILLIS, this::run);
    }

    double lastSeenAliveMillis() {
        return lastSeenAliveMillis;
    }

    private void run() {
        timers.after(PERIOD_MILLIS, this::run);
        double nowMillis = clock.nowMillis();
        lastSeenAliveMillis = lastRunAtMillis;
        lastRunAtMillis = nowMillis;
        for (ActiveRequest request : requests.snapshot()) {
            if (!request.answered && nowMillis >= request.deadlineAtMillis) {
                lifecycle.respond(request, Response.failed(request.progress));
            }
            if (request.answered
                    && request.sentOnLostLink
                    && nowMillis >= request.deadlineAtMillis + LOST_RUN_KEPT_MILLIS) {
                lifecycle.abandonLostRun(request);
            }
        }
        requests.expireExecuted(nowMillis);
        warmStart.recoveryPhase().tick(nowMillis);
        idempotency.expire(nowMillis);
        requests.releaseUnreferencedSlots(nowMillis);
    }
}
