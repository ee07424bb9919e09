package tinroad.core;

import io.netty.buffer.ByteBuf;
import tinroad.overload.Controller;

/** The process that does the work, behind a link that may be down. */
public interface Engine {
    /**
     * Sends the command to run a request; returns {@link Progress#SENT}, or {@link
     * Progress#NOT_SENT} where the link is down. A command that is sent again starts nothing while
     * the run is under way or once it is over: the engine knows what it was sent.
     */
    Progress run(String id, String className, ByteBuf body);

    /** Requests the gauges; false where the link is down and no reply will come. */
    boolean requestGauges(String tag);

    /** How a run ended. */
    enum RunOutcome {
        /** With a result. */
        DONE,
        /** With an error. */
        CRASHED,
        /** Stopped by the engine. */
        ABORTED,
        /** It never started, as the engine knew the request to be over. */
        STALE,
        /** The engine did not carry the command out: nothing ran. */
        REJECTED
    }

    /** Receives the engine's events, on the event loop. */
    interface Listener {
        /**
         * The link is up and the engine is there.
         *
         * @param fresh whether the engine is a new process, as it says itself
         * @param startedMillisAgo how long ago it was started
         */
        void onAttached(boolean fresh, double startedMillisAgo);

        /**
         * After {@link #onAttached}: every event from before was delivered. A run whose end was not
         * reported is under way, or its command was lost with its link.
         */
        void onCaughtUp();

        /** The link broke: what was sent on it may have run. */
        void onDetached();

        /** A run is over; {@code result} is valid during the call only. */
        void onRunEnded(String id, RunOutcome outcome, double tookMillis, ByteBuf result);

        /** The reply to {@link #requestGauges}. */
        void onGauges(String tag, Controller.Gauges gauges);
    }
}
