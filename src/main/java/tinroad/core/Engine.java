package tinroad.core;

import tinroad.Controller;
import io.netty.buffer.ByteBuf;

/** The process that does the work, behind a link that may be down. */
public interface Engine {
    /** Writes the order to run a request; says how far that came. */
    Progress run(String id, String kind, ByteBuf body);

    /** Asks for the gauges; false where the link is down and no reply will come. */
    boolean askGauges(String tag);

    /** How a run came to its end. */
    enum End { DONE, CRASHED, ABORTED, STALE, REJECTED }

    /** What the engine tells. */
    interface Listener {
        /** The link is up and the engine is there. */
        void attached(boolean fresh, double startedAgo);

        /** The link broke: what was sent on it may have run. */
        void detached();

        /** A run is over; {@code result} is only valid during the call. */
        void ended(String id, End end, double took, ByteBuf result);

        /** The reply to {@link #askGauges}. */
        void gauges(String tag, Controller.Gauges gauges);
    }
}
