package tinroad.overload;

import java.util.List;
import java.util.Map;

/**
 * The interface of the overload controller: the events of a server (the methods), what the
 * controller may do ({@link Actions}) and the types that both use. All times and durations are
 * milliseconds, times on the server's own monotonic clock. An implementation is driven by one
 * thread and calls its {@code Actions} only from inside an event method. One object serves one
 * server process from its start to its end.
 */
public interface Controller {

    /**
     * The server starts; called once, before anything else. {@code seed} feeds all random choices.
     */
    void start(double nowMillis, long seed, Settings settings);

    /** A request was read and now waits for a run. It is owed exactly one final answer. */
    void requestArrived(double nowMillis, Request request);

    /**
     * A run, or a wait for {@link Actions#replayResult}, has ended; {@code elapsedMillis} after its
     * beginning.
     */
    void completed(double nowMillis, String id, double elapsedMillis, Outcome outcome);

    /** A running request cannot go on without a call to the dependency. */
    void dependencyCallNeeded(double nowMillis, String id);

    /**
     * A call made with {@link Actions#callDependency} has ended; {@code elapsedMillis} after it was
     * made.
     */
    void dependencyCallCompleted(
            double nowMillis, String id, double elapsedMillis, Outcome outcome);

    /** The client of this request has disconnected. */
    void cancelled(double nowMillis, String id);

    /** Shutdown notice; the process is killed at {@code shutdownAtMillis}. */
    void beginDraining(double nowMillis, double shutdownAtMillis);

    /** A timer set with {@link Actions#scheduleTimer} is due. */
    void timerFired(double nowMillis, String token, Gauges gauges);

    /** What was learned so far, by name: all that a later process may begin with. */
    default Map<String, Estimate> learnedEstimates() {
        return Map.of();
    }

    /**
     * Begins with what an earlier process learned, decayed by its age; called once, right after the
     * start, or never. {@code cold}: what runs here was just started, and is slower than it was
     * then.
     */
    default void restore(Map<String, Estimate> known, boolean cold) {}

    /**
     * Stages a part of a change of classes and tenants, in as many parts as it takes. Nothing of it
     * takes effect before {@link #commit}, so that no event waits long for a large change.
     */
    default void stage(List<ClassSlot> classes, List<TenantSlot> tenants) {}

    /**
     * All that was staged takes effect at once. Active requests keep the deadline, the idempotency
     * and the tenant that they arrived under; what was learned of a slot that stays used stays.
     */
    default void commit(double nowMillis) {}

    /** Drops all that was staged since the last commit. */
    default void discardStaged() {}

    /**
     * What the controller may do. Every action takes effect at the time of the event being handled.
     */
    interface Actions {
        /** Starts a queued request or resumes a paused one. */
        void run(String id);

        /**
         * Final answer: rejected without a run. {@code retryAfterMillis} 0: no Retry-After; {@code
         * doNotRetry}: not elsewhere, either.
         */
        void reject(String id, double retryAfterMillis, boolean doNotRetry);

        /** Final answer: error, whether or not it ran. */
        void fail(String id);

        /** Stops a running request, as {@link Settings#cancellationMode} allows. */
        void cancel(String id);

        /** Makes the call that a request waits for, which times out after {@code timeoutMillis}. */
        void callDependency(String id, double timeoutMillis);

        /** Continues without the call, for a degraded answer. */
        void skipDependency(String id);

        /**
         * Retains the request's idempotency key for this long, so that duplicates are recognized.
         */
        void retainKey(String id, double durationMillis);

        /** Releases the retained key of this request. */
        void releaseKey(String id);

        /** Answers a duplicate with the result of the request that it repeats. */
        void replayResult(String id);

        /** Sets the answer to health checks; {@code stored}: without doing real work for it. */
        void setHealth(boolean healthy, boolean stored);

        /** Sets the value that goes out with every answer, as {@link LoadHint} says. */
        void advertiseLoad(double value);

        /** Closes connections idle for this long; 0 leaves them to the clients. */
        void setIdleTimeout(double idleMillis);

        /** Asks for one {@link Controller#timerFired} event. */
        void scheduleTimer(String token, double delayMillis);

        /** Writes a line to the operators' log. */
        void log(String text);
    }

    /** A learned value, in ms or as a share, and how many samples it was learned from. */
    record Estimate(double value, double weight) {}

    /** How a run or a call has ended. */
    enum Outcome {
        OK,
        FAILED,
        QUEUE_FULL,
        TIMED_OUT,
        CONNECT_ERROR,
        RESET,
        CANCELED,
        IGNORED
    }

    /**
     * What clients make of {@link Actions#advertiseLoad}: nothing, the least priority to send, the
     * number of requests that each may have out, or the share of requests to send here.
     */
    enum LoadHint {
        NONE,
        MIN_RANK,
        TOKENS,
        BIAS
    }

    /** What {@link Actions#cancel} does. */
    enum CancellationMode {
        NONE,
        DROP,
        PAUSE
    }

    /** Whether a request may be run again. */
    enum Idempotency {
        IDEMPOTENT,
        IDEMPOTENT_WITH_KEY,
        NON_IDEMPOTENT
    }

    /** What this server depends on. */
    enum DependencyKind {
        NONE,
        SHARED,
        NEXT_HOP
    }

    /**
     * A request as read, {@code ageMillis} after it came. {@code deadlineAtMillis} 0 and {@code
     * workMillis} 0: not announced; {@code resultKey} and {@code duplicateOf} null: none. {@code
     * priority} is from 0 to 1, {@code caller} identifies the client.
     */
    record Request(
            String id,
            int classSlot,
            int tenantSlot,
            int caller,
            double memoryKb,
            double deadlineAtMillis,
            double ageMillis,
            double priority,
            double workMillis,
            String resultKey,
            String duplicateOf,
            boolean retry,
            boolean write) {}

    /**
     * The server's own gauges, NaN where absent: share of the cores that is busy, 0 to 1; runs on a
     * core or waiting for one; share of the memory in use, 0 to 1; open connections.
     */
    record Gauges(
            double coreUtilization,
            double runnable,
            double memoryUtilization,
            double connections) {}

    /**
     * A request class. {@code objectivePerWork}: added to the latency objective for each ms of
     * announced work; 0: it is fixed. {@code keyWindowMillis}: how long keys are retained, with
     * {@link Idempotency#IDEMPOTENT_WITH_KEY} only. The shares are parts of {@code priorityWeight},
     * 0 to 1: of an answer after the objective, and of a degraded one.
     */
    record RequestClass(
            double objectiveMillis,
            double objectivePerWork,
            double deadlineMillis,
            double priorityWeight,
            double lateWeightShare,
            Idempotency idempotency,
            double keyWindowMillis,
            boolean callsDependency,
            double degradedWeightShare) {}

    /**
     * A tenant's quota, in requests a second over the whole fleet, and its share of the service, 0
     * to 1.
     */
    record Tenant(double quotaPerSecond, double share) {}

    /**
     * A class in its slot, which requests name. {@code spec} null: it is removed; its active
     * requests go on. A spec in a free slot begins with nothing learned; a slot is used anew only
     * once no active request names it.
     */
    record ClassSlot(int slot, RequestClass spec) {}

    /** The same for a tenant. */
    record TenantSlot(int slot, Tenant spec) {}

    /** Weights of the parts of the operators' objective. */
    record ObjectiveWeights(
            double overall, double worstWindow, double worstClass, double worstTenant) {}

    /**
     * The limits of the rules that a server has to keep. {@code coldStartSpeed}: speed right after
     * a cold start, in parts of the full one.
     */
    record Rules(
            double answerSlackMillis,
            double coldStartSpeed,
            double slowStartMillis,
            double drainGraceMillis,
            double concurrencyPerCore,
            double concurrencyWindowMillis) {}

    /**
     * The dependency: this server's quota of concurrent calls, the window over which their mean
     * counts, and how long a call that timed out still occupies the dependency.
     */
    record Dependency(
            DependencyKind kind,
            double concurrentCallQuota,
            double quotaWindowMillis,
            double lingerMillis) {}

    /**
     * All that a controller is given at the start. {@code memoryKb} and {@code clientIdleMillis} 0:
     * unknown.
     */
    record Settings(
            List<RequestClass> classes,
            List<Tenant> tenants,
            ObjectiveWeights objectiveWeights,
            Rules rules,
            Dependency dependency,
            LoadHint loadHint,
            CancellationMode cancellationMode,
            int cores,
            int servers,
            int callers,
            boolean coldStart,
            boolean requestsCarryDeadline,
            double clientIdleMillis,
            double memoryKb,
            double runMemoryFactor,
            double keyKb,
            double resultFreshMillis,
            double maxRetryAfterMillis,
            boolean sendsRetryAfter,
            boolean requestsMarkRetries,
            double overQuotaWeight,
            double clockStepMillis,
            boolean weightByWork) {}
}
