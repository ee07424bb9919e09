package tinroad.engine;

/** Field names, types and values of the engine's protocol as they are on the wire. */
final class EngineProtocol {
    /**
     * Upper bound of a line; longer ones are skipped. A line holds at most a result of 4 KiB in
     * base64 and a few other fields.
     */
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

    // State in HELLO of an engine that has just started; any other state is one of an engine that
    // ran before.
    static final String NEW_PROCESS = "fresh";

    // States of a run that ended; any other state is a crash.
    static final String DONE = "done";
    static final String ABORTED = "aborted";
    static final String STALE = "stale";

    // Names of gauges; the configuration lists them in the order in which the engine sends them.
    static final String CORE_UTILIZATION = "core_use";
    static final String RUNNABLE = "on_cores";
    static final String HEAP_UTILIZATION = "heap_share";
    static final String CONNECTIONS = "links";

    private EngineProtocol() {}
}
