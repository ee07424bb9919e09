package tinroad.admin;

import com.fasterxml.jackson.core.JsonGenerator;
import io.netty.handler.codec.http.FullHttpResponse;
import java.io.IOException;
import java.util.List;
import java.util.function.ToLongFunction;
import tinroad.core.Gateway;
import tinroad.core.GatewayMetrics;

/** Shows the responses by request class and outcome, the engine's runs, and requests in flight. */
record MetricsResource(Gateway gateway) {
    FullHttpResponse respond() {
        List<GatewayMetrics.Row> rows = gateway.metrics().rows();
        return AdminResponses.json(
                json -> {
                    writeByClass(json, "success", rows, GatewayMetrics.Row::served);
                    writeByClass(json, "busy", rows, GatewayMetrics.Row::rejected);
                    writeByClass(json, "failure", rows, GatewayMetrics.Row::failed);
                    json.writeNumberField("backend_calls", gateway.metrics().runs());
                    json.writeNumberField("inflight", gateway.inFlight());
                });
    }

    private static void writeByClass(
            JsonGenerator json,
            String name,
            List<GatewayMetrics.Row> rows,
            ToLongFunction<GatewayMetrics.Row> count)
            throws IOException {
        json.writeObjectFieldStart(name);
        for (GatewayMetrics.Row row : rows) {
            json.writeNumberField(row.name(), count.applyAsLong(row));
        }
        json.writeEndObject();
    }
}
