package tinroad.overload;

import java.util.List;
import java.util.Map;

/**
 * The interface of the overload controller. The methods are the events of a server, {@link Actions}
 * lists what the controller may do, and the nested types are used by both.
 *
 * <p>All times and durations are in milliseconds; times are on the server's own monotonic clock. An
 * implementation is driven by one thread and calls its {@code Actions} only from inside an event
 * method. One object serves one server process from its start to its end.
 */
public interface Controller {

    /**
     * Starts the controller. Called once, before any other method. {@code seed} is the seed of all
     * random choices.
     */
    void start(double nowMillis, long seed, Settings settings);

    /**
     * A request was read and now waits for a run. The controller owes it exactly one final answer.
     */
    void requestArrived(double nowMillis, Request request);

    /**
     * A run, or a wait started by {@link Actions#replayResult}, has ended, {@code elapsedMillis}
     * after it began.
     */
    void completed(double nowMillis, String id, double elapsedMillis, Outcome outcome);

    /** A running request cannot continue without a call to the dependency. */
    void dependencyCallNeeded(double nowMillis, String id);

    /**
     * A call made with {@link Actions#callDependency} has ended, {@code elapsedMillis} after it was
     * made.
     */
    void dependencyCallCompleted(
            double nowMillis, String id, double elapsedMillis, Outcome outcome);

    /** The client of this request has disconnected. */
    void cancelled(double nowMillis, String id);

    /** A shutdown notice was received; the process is killed at {@code shutdownAtMillis}. */
    void beginDraining(double nowMillis, double shutdownAtMillis);

    /** A timer set with {@link Actions#scheduleTimer} is due. */
    void timerFired(double nowMillis, String token, Gauges gauges);

    /**
     * Returns what was learned so far, by name. A later process can start from these values and
     * from nothing else.
     */
    default Map<String, Estimate> learnedEstimates() {
        return Map.of();
    }

    /**
     * Starts from the estimates of an earlier process, decayed by their age. Called at most once,
     * right after the start. {@code cold} says that the back end was just started and is slower
     * than when the estimates were learned.
     */
    default void restore(Map<String, Estimate> estimates, boolean cold) {}

    /**
     * Stages a part of a change of classes and tenants; a change may come in any number of parts.
     * Nothing takes effect before {@link #commit}, so that a large change delays no event for long.
     */
    default void stage(List<ClassSlot> classes, List<TenantSlot> tenants) {}

    /**
     * Puts everything that was staged into effect at once. Active requests keep the deadline, the
     * idempotency and the tenant with which they arrived. What was learned for a slot that stays in
     * use is kept.
     */
    default void commit(double nowMillis) {}

    /** Discards everything that was staged since the last commit. */
    default void discardStaged() {}

    /**
     * The actions that the controller may take. Every action takes effect at the time of the event
     * being handled.
     */
    interface Actions {
        /** Starts a queued request or resumes a paused one. */
        void run(String id);

        /**
         * Final answer: rejected without a run. {@code retryAfterMillis} is 0 for no Retry-After.
         * {@code doNotRetry} asks the client not to retry on other servers either.
         */
        void reject(String id, double retryAfterMillis, boolean doNotRetry);

        /** Final answer: an error, whether or not the request ran. */
        void fail(String id);

        /** Stops a running request, as {@link Settings#cancellationMode} allows. */
        void cancel(String id);

        /**
         * Makes the dependency call that a request waits for. The call times out after {@code
         * timeoutMillis}.
         */
        void callDependency(String id, double timeoutMillis);

        /** Continues the run without the dependency call, for a degraded answer. */
        void skipDependency(String id);

        /**
         * Retains the request's idempotency key for this long, so that duplicates are recognized.
         */
        void retainKey(String id, double durationMillis);

        /** Releases the retained key of this request. */
        void releaseKey(String id);

        /** Answers a duplicate with the result of the request that it repeats. */
        void replayResult(String id);

        /**
         * Sets the answer to health checks. {@code withoutRealWork} says that the checks are
         * answered from this value, without doing real work.
         */
        void setHealth(boolean healthy, boolean withoutRealWork);

        /**
         * Sets the load hint that is sent with every answer; {@link LoadHint} defines its meaning.
         */
        void advertiseLoad(double value);

        /** Closes connections that are idle for this long; 0 leaves closing them to the clients. */
        void setIdleTimeout(double idleMillis);

        /** Requests one {@link Controller#timerFired} event. */
        void scheduleTimer(String token, double delayMillis);

        /** Writes a line to the operators' log. */
        void log(String text);
    }

    /** A learned value, in ms or as a share, and the number of samples it was learned from. */
    record Estimate(double value, double sampleCount) {}

    /** How a run or a dependency call ended. */
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
     * How clients interpret the value of {@link Actions#advertiseLoad}: they ignore it, or it is
     * the minimum priority of the requests to send, the number of requests that each client may
     * have in flight, or the share of its requests to send to this server.
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

    /** Whether a request may be run more than once. */
    enum Idempotency {
        IDEMPOTENT,
        IDEMPOTENT_WITH_KEY,
        NON_IDEMPOTENT
    }

    /** The kind of dependency that this server calls. */
    enum DependencyKind {
        NONE,
        SHARED,
        NEXT_HOP
    }

    /**
     * A request as it was read, {@code ageMillis} after it arrived. {@code deadlineAtMillis} and
     * {@code workMillis} are 0 where the client did not announce them; {@code resultKey} and {@code
     * duplicateOf} are null for none. {@code priority} is from 0 to 1; {@code caller} identifies
     * the client.
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
     * The server's own gauges, NaN where absent: the share of the cores that is busy, 0 to 1; the
     * number of runs on a core or waiting for one; the share of the memory in use, 0 to 1; the
     * number of open connections.
     */
    record Gauges(
            double coreUtilization,
            double runnable,
            double memoryUtilization,
            double connections) {}

    /**
     * A class of requests. {@code objectivePerWork} is added to the latency objective for each ms
     * of announced work; with 0 the objective is fixed. {@code keyRetentionMillis} is how long
     * idempotency keys are retained, used only with {@link Idempotency#IDEMPOTENT_WITH_KEY}. {@code
     * lateWeightShare} and {@code degradedWeightShare} are the shares of {@code priorityWeight}, 0
     * to 1, that an answer after the objective and a degraded answer count.
     */
    record RequestClass(
            double objectiveMillis,
            double objectivePerWork,
            double deadlineMillis,
            double priorityWeight,
            double lateWeightShare,
            Idempotency idempotency,
            double keyRetentionMillis,
            boolean callsDependency,
            double degradedWeightShare) {}

    /**
     * A tenant's quota, in requests per second over the whole fleet, and its share of the service,
     * 0 to 1.
     */
    record Tenant(double quotaPerSecond, double share) {}

    /**
     * A request class in the slot by which requests refer to it. With {@code spec} null the class
     * is removed, and its active requests continue. A class put into a free slot starts with
     * nothing learned. A slot may be reused only when no active request refers to it.
     */
    record ClassSlot(int slot, RequestClass spec) {}

    /** A tenant in its slot, under the same rules as a {@link ClassSlot}. */
    record TenantSlot(int slot, Tenant spec) {}

    /**
     * Weights of the parts of the operators' objective: the service overall, the worst time window,
     * the worst class and the worst tenant.
     */
    record ObjectiveWeights(
            double overall, double worstWindow, double worstClass, double worstTenant) {}

    /**
     * The limits of the rules that a server has to keep. {@code coldStartSpeedShare} is the speed
     * right after a cold start, as a share of the full speed.
     */
    record OperatingLimits(
            double answerSlackMillis,
            double coldStartSpeedShare,
            double slowStartMillis,
            double drainGraceMillis,
            double maxRunsPerCore,
            double concurrencyWindowMillis) {}

    /**
     * The dependency: its kind, this server's quota of concurrent calls, the window over which
     * their mean counts against the quota, and how long a call that timed out still occupies the
     * dependency.
     */
    record Dependency(
            DependencyKind kind,
            double concurrentCallQuota,
            double quotaWindowMillis,
            double abandonedCallMillis) {}

    /**
     * All settings that a controller receives at the start. {@code memoryKb} and {@code
     * clientIdleTimeoutMillis} are 0 where they are unknown.
     */
    record Settings(
            List<RequestClass> classes,
            List<Tenant> tenants,
            ObjectiveWeights objectiveWeights,
            OperatingLimits operatingLimits,
            Dependency dependency,
            LoadHint loadHint,
            CancellationMode cancellationMode,
            int cores,
            int servers,
            int callers,
            boolean coldStart,
            boolean requestsCarryDeadline,
            double clientIdleTimeoutMillis,
            double memoryKb,
            double runMemoryFactor,
            double keyKb,
            double resultReplayMillis,
            double maxRetryAfterMillis,
            boolean sendsRetryAfter,
            boolean requestsMarkRetries,
            double overQuotaWeight,
            double clockStepMillis,
            boolean weightByWork) {}
}
