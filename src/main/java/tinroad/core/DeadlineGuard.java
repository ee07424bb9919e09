package tinroad.core;

/**
 * Answers requests whose deadline has passed where the controller does not: because the process
 * stalled, the engine link is down, or the decision code failed. It also gives up on runs whose end
 * can't be reported any more, answers duplicates of runs of other processes, and removes expired
 * entries from the tables. It runs on the event loop, every {@link #PERIOD_MILLIS}.
 */
final class DeadlineGuard {
    /**
     * The period of the check, in ms, far below the slack that the rules allow an answer after its
     * deadline.
     */
    static final double PERIOD_MILLIS = 25;

    /**
     * How long after its deadline, in ms, a request whose run was lost with its link is retained.
     */
    static final double LOST_RUN_RETENTION_MILLIS = 1000;

    private final Timers timers;
    private final Clock clock;
    private final RequestTable requests;
    private final RequestLifecycle lifecycle;
    private final IdempotencyTable idempotency;
    private final WarmStart warmStart;

    /** When this check ran last. */
    private double lastRunAtMillis = Double.POSITIVE_INFINITY;

    /** When this check ran the time before the last one; any thread may read it. */
    private volatile double previousRunAtMillis = Double.POSITIVE_INFINITY;

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

    /**
     * Returns the time described at {@link Gateway#lastSeenAliveMillis}; any thread may call this.
     */
    double lastSeenAliveMillis() {
        return previousRunAtMillis;
    }

    private void run() {
        timers.after(PERIOD_MILLIS, this::run);
        double nowMillis = clock.nowMillis();
        previousRunAtMillis = lastRunAtMillis;
        lastRunAtMillis = nowMillis;
        for (ActiveRequest request : requests.snapshot()) {
            if (!request.answered && nowMillis >= request.deadlineAtMillis) {
                lifecycle.respond(request, Response.failed(request.progress));
            }
            if (request.answered
                    && request.sentOnLostLink
                    && nowMillis >= request.deadlineAtMillis + LOST_RUN_RETENTION_MILLIS) {
                lifecycle.abandonLostRun(request);
            }
        }
        lifecycle.answerDuplicatesOfPeerRuns();
        idempotency.heartbeat(nowMillis);
        requests.expireExecuted(nowMillis);
        warmStart.recoveryPhase().tick(nowMillis);
        idempotency.expire(nowMillis);
        requests.releaseUnreferencedSlots(nowMillis);
    }
}
