package tinroad.lab.scale;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.Locale;

/**
 * The measured value of one metric at one size of a sweep.
 *
 * @param runId the name of the sweep and the time when it began
 * @param x the value of the swept parameter
 * @param role what was measured: hollow, real, relay, roster
 * @param value NaN where no value could be measured; the note has the reason
 * @param n number of gateways or samples behind the value
 * @param note "" for none
 */
record Measurement(
        String runId,
        String sweep,
        double x,
        String role,
        String metric,
        String unit,
        double value,
        long n,
        String note) {
    private static final ObjectMapper JSON = new ObjectMapper();

    String json() {
        ObjectNode o = JSON.createObjectNode().put("run", runId).put("sweep", sweep);
        putNumber(o, "x", x);
        o.put("role", role).put("metric", metric).put("unit", unit);
        putNumber(o, "value", value);
        o.put("n", n);
        if (!note.isEmpty()) {
            o.put("note", note);
        }
        return o.toString();
    }

    static Measurement read(String json) throws IOException {
        JsonNode o = JSON.readTree(json);
        return new Measurement(
                o.path("run").asText(),
                o.path("sweep").asText(),
                o.path("x").asDouble(),
                o.path("role").asText(),
                o.path("metric").asText(),
                o.path("unit").asText(),
                o.path("value").isNull() ? Double.NaN : o.path("value").asDouble(),
                o.path("n").asLong(),
                o.path("note").asText(""));
    }

    /**
     * Puts a number with five significant digits, as more would exceed the precision of the
     * measurement; null where there is none.
     */
    static void putNumber(ObjectNode to, String field, double value) {
        if (!Double.isFinite(value)) {
            to.putNull(field);
        } else if (value == Math.rint(value) && Math.abs(value) < 1e15) {
            to.put(field, (long) value);
        } else {
            to.put(field, Double.parseDouble(String.format(Locale.ROOT, "%.5g", value)));
        }
    }
}
