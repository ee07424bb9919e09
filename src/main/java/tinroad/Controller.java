package tinroad;

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
    void start(double now, long seed, Settings settings);

    /** A request was read and now waits in the hold. It is owed exactly one final answer. */
    void request(double now, Request request);

    /** A run, or a wait on {@link Actions#reuse}, finished. */
    void ended(double now, String id, double elapsed, Outcome outcome);

    /** A running request cannot go on without a call to what lies below. */
    void needs(double now, String id);

    /** A call made with {@link Actions#call} came back. */
    void called(double now, String id, double elapsed, Outcome outcome);

    /** Nobody waits for this request any more. */
    void gone(double now, String id);

    /** Notice to leave; the process is killed at {@code leaveAt}. */
    void drain(double now, double leaveAt);

    /** A timer set with {@link Actions#timer} is due. */
    void timer(double now, String token, Gauges gauges);

    /** What was learned so far, by name: all that a later life may begin with. */
    default Map<String, Known> learned() {
        return Map.of();
    }

    /**
     * Begins with what an earlier life learned, faded by its age; called once, right after the
     * start, or never. {@code cold}: what runs here was just started, and is slower than it was
     * then.
     */
    default void restore(Map<String, Known> known, boolean cold) {}

    /**
     * Prepares a part of a change of classes and tenants, as many parts as it takes. Nothing of it
     * counts before {@link #commit}, so that no event waits long for a large change.
     */
    default void stage(List<ClassAt> classes, List<TenantAt> tenants) {}

    /**
     * All that was staged counts from now on, at one instant. What is in hand keeps the due time,
     * the effect and the tenant that it came under; what was learned of a place that stays used
     * stays.
     */
    default void commit(double now) {}

    /** Nothing that was staged since the last commit counts. */
    default void unstage() {}

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
        void refuse(String id, double stayAway, boolean last);

        /** Final answer: error, no promise. */
        void fail(String id);

        /** Stops a running request, as {@link Settings#halt} allows. */
        void halt(String id);

        /** Issues the call a request waits on, given up after {@code within}. */
        void call(String id, double within);

        /** Goes on without the call, for a poorer answer. */
        void skip(String id);

        /** Keeps the request's key for this long, so that repeats are known. */
        void keep(String id, double duration);

        /** Frees the kept key of this request. */
        void forget(String id);

        /** Answers a repeat with the result of the request that it repeats. */
        void reuse(String id);

        /** Sets what health checks are told; {@code stored}: without doing real work for it. */
        void health(boolean good, boolean stored);

        /** Sets the free value that goes out with every answer. */
        void say(double value);

        /** Closes connections unused for this long; 0 leaves them to the callers. */
        void idle(double after);

        /** Asks for a {@link Controller#timer} event. */
        void timer(String token, double delay);

        /** A line for the operators' log. */
        void log(String text);
    }

    /** A learned value, in ms or as a part, and how many samples stand behind it. */
    record Known(double value, double weight) {}

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

    /** What callers make of {@link Actions#say}. */
    enum Say {
        NONE,
        MIN_RANK,
        TOKENS,
        BIAS
    }

    /** What {@link Actions#halt} does. */
    enum Halt {
        NONE,
        DROP,
        PAUSE
    }

    /** Whether a request may be run again. */
    enum Semantics {
        FREE,
        GUARDED,
        SINGLE_SHOT
    }

    /** What lies below this server. */
    enum Below {
        NONE,
        COMMON,
        NEXT_HOP
    }

    /**
     * A request as read. {@code due} 0: not told; {@code key} and {@code repeats} null and {@code
     * work} 0: absent.
     */
    record Request(
            String id,
            int classIndex,
            int tenant,
            int caller,
            double memoryKb,
            double due,
            double age,
            double rank,
            double work,
            String key,
            String repeats,
            boolean resent,
            boolean write) {}

    /**
     * The server's own gauges, NaN where absent: share of cores busy, wanting a core, memory share,
     * connections.
     */
    record Gauges(double coreUse, double onCores, double memoryShare, double connections) {}

    /**
     * A request class. {@code aimStretch} 0: the aim is fixed. {@code keyWindow}: for guarded
     * classes.
     */
    record RequestClass(
            double aim,
            double aimStretch,
            double deadline,
            double worth,
            double lateShare,
            Semantics semantics,
            double keyWindow,
            boolean calls,
            double skipWorth) {}

    /** A tenant's part: requests a second over the whole fleet, and share of the service. */
    record Tenant(double quotaPerSecond, double share) {}

    /**
     * A class at its place, which requests name. {@code spec} null: no request comes under it any
     * more; those in hand go on. A spec at a place that had none begins with nothing learned; the
     * place is given anew only once nothing in hand names it.
     */
    record ClassAt(int place, RequestClass spec) {}

    /** The same of a tenant. */
    record TenantAt(int place, Tenant spec) {}

    /** Weights of the operators' goal. */
    record Goal(double whole, double worstWindow, double worstClass, double worstTenant) {}

    /** The figures of the rules a server must keep. */
    record Rules(
            double answerSlack,
            double coldFrom,
            double rampTime,
            double drainGrace,
            double crowdPerCore,
            double crowdSpan) {}

    /**
     * What lies below: this server's share of its calls, the span of the mean, how long a call
     * given up stays.
     */
    record Dependency(Below kind, double callShare, double callSpan, double lingers) {}

    /** All a server is told at its start. */
    record Settings(
            List<RequestClass> classes,
            List<Tenant> tenants,
            Goal goal,
            Rules rules,
            Dependency below,
            Say say,
            Halt halt,
            int cores,
            int servers,
            int callers,
            boolean cold,
            boolean passesDeadline,
            double idle,
            double memoryKb,
            double runFactor,
            double keyKb,
            double freshFor,
            double maxStayAway,
            boolean passesStayAway,
            boolean marksRetry,
            double overShareWorth,
            double step,
            boolean worthByWork) {}
}
