package tinroad.engine;

import io.netty.buffer.ByteBuf;
import java.util.List;
import tinroad.core.Engine.RunOutcome;
import tinroad.overload.Controller.Gauges;

/** One event from the engine: a line, read once. */
sealed interface EngineEvent {
    /** The engine's number of the event; 0 for an event that is not numbered. */
    long number();

    /** Calls the handler's method for this event. */
    void dispatch(Handler handler);

    /** One method for each event that means something. */
    interface Handler {
        void onHello(Hello event);

        void onRunEnded(RunEnded event);

        void onGauges(GaugesRead event);

        void onRejected(Rejected event);
    }

    /**
     * The event on this line, or null where it is none. Its buffers are only valid as long as the
     * line.
     *
     * @param gaugeNames the names of the gauges, in the engine's order
     */
    static EngineEvent read(ByteBuf line, List<String> gaugeNames) {
        return EngineEventReader.read(line, gaugeNames);
    }

    /**
     * The engine answered ATTACH.
     *
     * @param newProcess whether it says that it has just started
     * @param startedMillisAgo how long ago it started, in ms
     */
    record Hello(long number, boolean newProcess, double startedMillisAgo) implements EngineEvent {
        @Override
        public void dispatch(Handler handler) {
            handler.onHello(this);
        }
    }

    /** A run is over, after so many ms; an unknown outcome counts as a crash: it may have run. */
    record RunEnded(
            long number, String requestId, RunOutcome outcome, double tookMillis, ByteBuf result)
            implements EngineEvent {
        @Override
        public void dispatch(Handler handler) {
            handler.onRunEnded(this);
        }
    }

    /** The gauges that were requested with this tag; NaN for one that is absent. */
    record GaugesRead(long number, String tag, Gauges gauges) implements EngineEvent {
        @Override
        public void dispatch(Handler handler) {
            handler.onGauges(this);
        }
    }

    /**
     * A command was not carried out.
     *
     * @param command the type of the command
     * @param requestId the request that it was for, or empty
     */
    record Rejected(long number, String command, String requestId, ByteBuf body)
            implements EngineEvent {
        @Override
        public void dispatch(Handler handler) {
            handler.onRejected(this);
        }
    }

    /** A remark, or a type that this release does not know: only its number counts. */
    record Unknown(long number) implements EngineEvent {
        @Override
        public void dispatch(Handler handler) {}
    }
}
