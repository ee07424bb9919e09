package tinroad.engine;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufInputStream;
import io.netty.buffer.Unpooled;
import java.io.IOException;
import java.io.InputStream;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import tinroad.config.JsonFields;
import tinroad.core.Engine.RunOutcome;
import tinroad.overload.Controller.Gauges;

/**
 * Reads one line from the engine as an event. Fields may come in any order; a missing one is empty
 * or 0.
 */
final class EngineEventReader {
    private static final JsonFactory JSON = new JsonFactory();

    private final JsonParser parser;
    private final List<String> gaugeNames;
    private final Map<String, Double> gauges = new HashMap<>();
    private String type = "";
    private String requestId = "";
    private String state = "";
    private String tag = "";
    private long number;
    private double tookMillis;
    private ByteBuf body = Unpooled.EMPTY_BUFFER;

    private EngineEventReader(JsonParser parser, List<String> gaugeNames) {
        this.parser = parser;
        this.gaugeNames = gaugeNames;
    }

    /** See {@link EngineEvent#read}. */
    static EngineEvent read(ByteBuf line, List<String> gaugeNames) {
        try (JsonParser parser = JSON.createParser((InputStream) new ByteBufInputStream(line))) {
            return parser.nextToken() == JsonToken.START_OBJECT
                    ? new EngineEventReader(parser, gaugeNames).readEvent()
                    : null;
        } catch (IOException e) {
            return null;
        }
    }

    private EngineEvent readEvent() throws IOException {
        JsonFields.each(parser, this::readField);
        if (parser.currentToken() != JsonToken.END_OBJECT) {
            return null;
        }
        return switch (type) {
            case EngineProtocol.HELLO ->
                    new EngineEvent.Hello(
                            number, state.equals(EngineProtocol.NEW_PROCESS), tookMillis);
            case EngineProtocol.RUN_ENDED ->
                    new EngineEvent.RunEnded(number, requestId, runOutcome(), tookMillis, body);
            case EngineProtocol.GAUGES_READ -> new EngineEvent.GaugesRead(number, tag, gauges());
            case EngineProtocol.REJECTED ->
                    new EngineEvent.Rejected(number, state, requestId, body);
            default -> new EngineEvent.Unknown(number);
        };
    }

    private RunOutcome runOutcome() {
        return switch (state) {
            case EngineProtocol.DONE -> RunOutcome.DONE;
            case EngineProtocol.ABORTED -> RunOutcome.ABORTED;
            case EngineProtocol.STALE -> RunOutcome.STALE;
            default -> RunOutcome.CRASHED;
        };
    }

    private Gauges gauges() {
        return new Gauges(
                gauge(EngineProtocol.CORE_UTILIZATION),
                gauge(EngineProtocol.RUNNABLE),
                gauge(EngineProtocol.HEAP_UTILIZATION),
                gauge(EngineProtocol.CONNECTIONS));
    }

    private double gauge(String name) {
        return gauges.getOrDefault(name, Double.NaN);
    }

    private void readField(String name) throws IOException {
        switch (name) {
            case EngineProtocol.TYPE -> type = JsonFields.text(parser);
            case EngineProtocol.NUMBER -> number = (long) JsonFields.number(parser, 0);
            case EngineProtocol.REQUEST_ID -> requestId = JsonFields.text(parser);
            case EngineProtocol.STATE -> state = JsonFields.text(parser);
            case EngineProtocol.MILLIS -> tookMillis = JsonFields.number(parser, 0);
            case EngineProtocol.TAG -> tag = JsonFields.text(parser);
            case EngineProtocol.GAUGES -> JsonFields.items(parser, this::readGauge);
            case EngineProtocol.BODY -> {
                if (parser.currentToken() == JsonToken.VALUE_STRING) {
                    body = Unpooled.wrappedBuffer(parser.getBinaryValue());
                }
            }
            default -> {}
        }
    }

    private void readGauge(String indexText) throws IOException {
        int position = Integer.parseInt(indexText);
        if (position < gaugeNames.size()) {
            gauges.put(gaugeNames.get(position), JsonFields.number(parser, Double.NaN));
        }
    }
}
