package tinroad.overload;

import java.util.List;
import java.util.Map;

/**
 * The interface of the overload controller: what a server tells it (the methods), what it may do
 * ({@link Actions}) and the types both use. All times are milliseconds on the server's own
 * monotonic clock. An implementation is driven by one thread and calls its {@code Actions} only
 * from inside an event method. One object serves one life of one server process.
 */
public interface Controller {

    /** The server starts; called once, before anything else. The seed feeds all random choices. */
    void start(double nowMillis, long seed, Settings settings);

    /** A request was read and now waits in the hold. It is owed exactly one final answer. */
    void requestArrived(double nowMillis, Request request);

    /** A run, or a wait on {@link Actions#replayResult}, finished. */
    void completed(double nowMillis, String id, double elapsedMillis, Outcome outcome);

    /** A running request cannot go on without a call to what lies below. */
    void dependencyCallNeeded(double nowMillis, String id);

    /** A call made with {@link Actions#callDependency} came back. */
    void dependencyCallCompleted(
            double nowMillis, String id, double elapsedMillis, Outcome outcome);

    /** Nobody waits for this request any more. */
    void cancelled(double nowMillis, String id);

    /** Notice to leave; the process is killed at {@code leaveAt}. */
    void beginDraining(double nowMillis, double shutdownAtMillis);

    /** A timer set with {@link Actions#scheduleTimer} is due. */
    void timerFired(double nowMillis, String token, Gauges gauges);

    /** What was learned so far, by name: all that a later life may begin with. */
    default Map<String, Estimate> learnedEstimates() {
        return Map.of();
    }

    /**
     * Begins with what an earlier life learned, faded by its age; called once, right after the
     * start, or never. {@code cold}: what runs here was just started, and is slower than it was
     * then.
     */
    default void restore(Map<String, Estimate> known, boolean cold) {}

    /**
     * Prepares a part of a change of classes and tenants, as many parts as it takes. Nothing of it
     * counts before {@link #commit}, so that no event waits long for a large change.
     */
    default void stage(List<ClassSlot> classes, List<TenantSlot> tenants) {}

    /**
     * All that was staged counts from now on, at one instant. What is in hand keeps the due time,
     * the effect and the tenant that it came under; what was learned of a place that stays used
     * stays.
     */
    default void commit(double nowMillis) {}

    /** Nothing that was staged since the last commit counts. */
    default void discardStaged() {}

    /**
     * What the controller may do. Every action takes effect at the time of the event being handled.
     */
    interface Actions {
        /** Starts a held request or resumes a paused one. */
        void run(String id);

        /**
         * Final answer: turned away unrun. {@code stayAway} 0: no advice; {@code last}: do not
         * retry elsewhere.
         */
        void reject(String id, double retryAfterMillis, boolean doNotRetry);

        /** Final answer: error, no promise. */
        void fail(String id);

        /** Stops a running request, as {@link Settings#cancellationMode} allows. */
        void cancel(String id);

        /** Issues the call a request waits on, given up after {@code within}. */
        void callDependency(String id, double timeoutMillis);

        /** Goes on without the call, for a poorer answer. */
        void skipDependency(String id);

        /** Keeps the request's key for this long, so that repeats are known. */
        void retainKey(String id, double durationMillis);

        /** Frees the kept key of this request. */
        void releaseKey(String id);

        /** Answers a repeat with the result of the request that it repeats. */
        void replayResult(String id);

        /** Sets what health checks are told; {@code stored}: without doing real work for it. */
        void setHealth(boolean healthy, boolean stored);

        /** Sets the free value that goes out with every answer. */
        void advertiseLoad(double value);

        /** Closes connections unused for this long; 0 leaves them to the callers. */
        void setIdleTimeout(double idleMillis);

        /** Asks for a {@link Controller#timerFired} event. */
        void scheduleTimer(String token, double delayMillis);

        /** A line for the operators' log. */
        void log(String text);
    }

    /** A learned value, in ms or as a part, and how many samples stand behind it. */
    record Estimate(double value, double weight) {}

    /** How a run or a call ended. */
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

    /** What callers make of {@link Actions#advertiseLoad}. */
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

    /** What lies below this server. */
    enum DependencyKind {
        NONE,
        SHARED,
        NEXT_HOP
    }

    /**
     * A request as read. {@code due} 0: not told; {@code key} and {@code repeats} null and {@code
     * work} 0: absent.
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
     * The server's own gauges, NaN where absent: share of cores busy, wanting a core, memory share,
     * connections.
     */
    record Gauges(
            double coreUtilization,
            double runnable,
            double memoryUtilization,
            double connections) {}

    /**
     * A request class. {@code aimStretch} 0: the aim is fixed. {@code keyWindow}: for guarded
     * classes.
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

    /** A tenant's part: requests a second over the whole fleet, and share of the service. */
    record Tenant(double quotaPerSecond, double share) {}

    /**
     * A class at its place, which requests name. {@code spec} null: no request comes under it any
     * more; those in hand go on. A spec at a place that had none begins with nothing learned; the
     * place is given anew only once nothing in hand names it.
     */
    record ClassSlot(int slot, RequestClass spec) {}

    /** The same of a tenant. */
    record TenantSlot(int slot, Tenant spec) {}

    /** Weights of the operators' goal. */
    record ObjectiveWeights(
            double overall, double worstWindow, double worstClass, double worstTenant) {}

    /** The figures of the rules a server must keep. */
    record Rules(
            double answerSlackMillis,
            double coldStartSpeed,
            double slowStartMillis,
            double drainGraceMillis,
            double concurrencyPerCore,
            double concurrencyWindowMillis) {}

    /**
     * What lies below: this server's share of its calls, the span of the mean, how long a call
     * given up stays.
     */
    record Dependency(
            DependencyKind kind,
            double concurrentCallQuota,
            double quotaWindowMillis,
            double lingerMillis) {}

    /** All a server is told at its start. */
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
