package tinroad.core;

import io.netty.buffer.ByteBuf;
import tinroad.overload.Controller;

/** The process that does the work, behind a link that may be down. */
public interface Engine {
    /**
     * Writes the order to run a request; says how far that came. The engine knows what it was told
     * to run: an order that is repeated starts nothing while the run is under way or once it is
     * over.
     */
    Progress run(String id, String className, ByteBuf body);

    /** Asks for the gauges; false where the link is down and no reply will come. */
    boolean requestGauges(String tag);

    /** How a run came to its end. */
    enum RunOutcome {
        DONE,
        CRASHED,
        ABORTED,
        STALE,
        REJECTED
    }

    /** What the engine tells. */
    interface Listener {
        /** The link is up and the engine is there. */
        void onAttached(boolean fresh, double startedMillisAgo);

        /**
         * After {@link #attached}: every notice from before was told. A run with no end told is
         * under way, or its order was lost with the link that it was written to.
         */
        void onCaughtUp();

        /** The link broke: what was sent on it may have run. */
        void onDetached();

        /** A run is over; {@code result} is only valid during the call. */
        void onRunEnded(String id, RunOutcome outcome, double tookMillis, ByteBuf result);

        /** The reply to {@link #requestGauges}. */
        void onGauges(String tag, Controller.Gauges gauges);
    }
}
