package tinroad.engine;

import io.netty.buffer.ByteBuf;
import java.util.List;
import tinroad.core.Engine.RunOutcome;
import tinroad.overload.Controller.Gauges;

/** An event from the engine, which arrives as one line. */
sealed interface EngineEvent {
    /** The engine's number of the event; 0 if it is not numbered. */
    long number();

    /** Calls the handler's method for this event. */
    void dispatch(Handler handler);

    /** Handles events: one method for each type that the gateway uses. */
    interface Handler {
        void onHello(Hello event);

        void onRunEnded(RunEnded event);

        void onGauges(GaugesRead event);

        void onRejected(Rejected event);
    }

    /**
     * Reads the event on this line; null if there is none. The event's buffers are valid only as
     * long as the line.
     *
     * @param gaugeNames the names of the gauges, in the engine's order
     */
    static EngineEvent read(ByteBuf line, List<String> gaugeNames) {
        return EngineEventReader.read(line, gaugeNames);
    }

    /**
     * The engine answered ATTACH.
     *
     * @param newProcess whether the engine reports that it has just started
     * @param startedMillisAgo time since the engine started
     */
    record Hello(long number, boolean newProcess, double startedMillisAgo) implements EngineEvent {
        @Override
        public void dispatch(Handler handler) {
            handler.onHello(this);
        }
    }

    /**
     * A run is over.
     *
     * @param outcome how it ended; an unknown outcome counts as a crash, because the request may
     *     have run
     * @param tookMillis duration of the run
     */
    record RunEnded(
            long number, String requestId, RunOutcome outcome, double tookMillis, ByteBuf result)
            implements EngineEvent {
        @Override
        public void dispatch(Handler handler) {
            handler.onRunEnded(this);
        }
    }

    /** The gauges that were requested with this tag; a missing gauge is NaN. */
    record GaugesRead(long number, String tag, Gauges gauges) implements EngineEvent {
        @Override
        public void dispatch(Handler handler) {
            handler.onGauges(this);
        }
    }

    /**
     * The engine did not carry out a command.
     *
     * @param command the type of the command
     * @param requestId the request that the command was for, or empty
     */
    record Rejected(long number, String command, String requestId, ByteBuf body)
            implements EngineEvent {
        @Override
        public void dispatch(Handler handler) {
            handler.onRejected(this);
        }
    }

    /** A note, or an event whose type this release does not know; only its number is used. */
    record Unknown(long number) implements EngineEvent {
        @Override
        public void dispatch(Handler handler) {}
    }
}
