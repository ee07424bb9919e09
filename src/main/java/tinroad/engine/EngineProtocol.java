package tinroad.engine;

/** The words of the engine's protocol as they are on the wire, and its bounds. */
final class EngineProtocol {
    /** Longest line in bytes: a result of 4 KiB in base64 and a few words. Others are skipped. */
    static final int MAX_LINE_BYTES = 64 * 1024;

    // Fields.
    static final String TYPE = "type";
    static final String NUMBER = "n";
    static final String REQUEST_ID = "job";
    static final String REQUEST_CLASS = "kind";
    static final String STATE = "state";
    static final String MILLIS = "took";
    static final String TAG = "ref";
    static final String GAUGES = "gauges";
    static final String BODY = "data";

    // Types of commands.
    static final String ATTACH = "ATTACH";
    static final String RUN = "RUN";
    static final String REQUEST_GAUGES = "STAT";

    // Types of events.
    static final String HELLO = "HELLO";
    static final String RUN_ENDED = "DONE";
    static final String GAUGES_READ = "STATS";
    static final String REJECTED = "NO";

    // State of a HELLO: an engine that just started; any other word is one that has run before.
    static final String NEW_PROCESS = "fresh";

    // States of a run that ended; any other word is a crash.
    static final String DONE = "done";
    static final String ABORTED = "aborted";
    static final String STALE = "stale";

    // Names of gauges, by which the configuration gives their order.
    static final String CORE_UTILIZATION = "core_use";
    static final String RUNNABLE = "on_cores";
    static final String HEAP_UTILIZATION = "heap_share";
    static final String CONNECTIONS = "links";

    private EngineProtocol() {}
}
