package tinroad.core;

import io.netty.buffer.ByteBuf;
import tinroad.overload.Controller;

/** The process that runs the requests, behind a link that may be down. */
public interface Engine {
    /**
     * Sends the command to run a request. Returns {@link Progress#SENT}, or {@link
     * Progress#NOT_SENT} if the link is down. A command that is sent again starts nothing while the
     * run is in progress or once it has ended, because the engine remembers which commands it was
     * sent.
     */
    Progress run(String id, String className, ByteBuf body);

    /** Requests the gauges; returns false if the link is down, so that no reply will come. */
    boolean requestGauges(String tag);

    /** How a run ended. */
    enum RunOutcome {
        /** The run ended with a result. */
        DONE,
        /** The run ended with an error. */
        CRASHED,
        /** The engine stopped the run. */
        ABORTED,
        /** The run never started, because the engine knew that the request was over. */
        STALE,
        /** The engine did not carry out the command, so nothing ran. */
        REJECTED
    }

    /** Receives the engine's events, on the event loop. */
    interface Listener {
        /**
         * Called when the link is up and the engine is present.
         *
         * @param newProcess whether the engine reports that it is a new process
         * @param startedMillisAgo how long ago the engine was started
         */
        void onAttached(boolean newProcess, double startedMillisAgo);

        /**
         * Called after {@link #onAttached}, once every event from before was delivered. A run whose
         * end was not reported by then is still in progress, or its command was lost with its link.
         */
        void onCaughtUp();

        /** Called when the link has broken. What was sent on it may have run. */
        void onDetached();

        /** Called when a run is over; {@code result} is valid during the call only. */
        void onRunEnded(String id, RunOutcome outcome, double tookMillis, ByteBuf result);

        /** Called with the reply to {@link #requestGauges}. */
        void onGauges(String tag, Controller.Gauges gauges);
    }
}
