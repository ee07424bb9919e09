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

/** One line from the engine, read once; absent fields are empty, 0 or NaN. */
record EngineEvent(
        String type,
        long n,
        String job,
        String state,
        double took,
        String ref,
        Gauges gauges,
        ByteBuf data) {
    private static final JsonFactory JSON = new JsonFactory();

    /** The notice on this line, or null where it is none. */
    static EngineEvent read(ByteBuf line, List<String> gaugeNames) {
        try (JsonParser in = JSON.createParser((InputStream) new ByteBufInputStream(line))) {
            return in.nextToken() == JsonToken.START_OBJECT
                    ? new Reader(in, gaugeNames).read()
                    : null;
        } catch (IOException e) {
            return null;
        }
    }

    /** How the run ended; what is unknown counts as a crash: no promise. */
    RunOutcome end() {
        return switch (state) {
            case "done" -> RunOutcome.DONE;
            case "aborted" -> RunOutcome.ABORTED;
            case "stale" -> RunOutcome.STALE;
            default -> RunOutcome.CRASHED;
        };
    }

    /** The fields as they come in. */
    private static final class Reader {
        private final JsonParser in;
        private final List<String> gaugeNames;
        private final Map<String, Double> gauges = new HashMap<>();
        private String type = "";
        private String job = "";
        private String state = "";
        private String ref = "";
        private long n;
        private double took;
        private ByteBuf data = Unpooled.EMPTY_BUFFER;

        Reader(JsonParser in, List<String> gaugeNames) {
            this.in = in;
            this.gaugeNames = gaugeNames;
        }

        EngineEvent read() throws IOException {
            JsonFields.each(in, this::field);
            Gauges named =
                    new Gauges(
                            gauge("core_use"),
                            gauge("on_cores"),
                            gauge("heap_share"),
                            gauge("links"));
            return in.currentToken() == JsonToken.END_OBJECT
                    ? new EngineEvent(type, n, job, state, took, ref, named, data)
                    : null;
        }

        private double gauge(String name) {
            return gauges.getOrDefault(name, Double.NaN);
        }

        private void field(String name) throws IOException {
            switch (name) {
                case "type" -> type = JsonFields.text(in);
                case "n" -> n = (long) JsonFields.number(in, 0);
                case "job" -> job = JsonFields.text(in);
                case "state" -> state = JsonFields.text(in);
                case "took" -> took = JsonFields.number(in, 0);
                case "ref" -> ref = JsonFields.text(in);
                case "gauges" -> JsonFields.items(in, this::gaugeAt);
                case "data" ->
                        data =
                                in.currentToken() == JsonToken.VALUE_STRING
                                        ? Unpooled.wrappedBuffer(in.getBinaryValue())
                                        : data;
                default -> {}
            }
        }

        private void gaugeAt(String index) throws IOException {
            int i = Integer.parseInt(index);
            if (i < gaugeNames.size()) {
                gauges.put(gaugeNames.get(i), JsonFields.number(in, Double.NaN));
            }
        }
    }
}
