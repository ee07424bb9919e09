package tinroad.lab.scale;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.Locale;

/**
 * One measured figure.
 *
 * @param run the sweep's name and the moment it began
 * @param x the size of what grows
 * @param role whose it is: hollow, real, relay, roster
 * @param value NaN where it could not be had: the note says why
 * @param n gateways or samples that it comes from
 * @param note "" for none
 */
record Line(
        String run,
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
        ObjectNode o = JSON.createObjectNode().put("run", run).put("sweep", sweep);
        number(o, "x", x);
        o.put("role", role).put("metric", metric).put("unit", unit);
        number(o, "value", value);
        o.put("n", n);
        if (!note.isEmpty()) {
            o.put("note", note);
        }
        return o.toString();
    }

    static Line read(String json) throws IOException {
        JsonNode o = JSON.readTree(json);
        return new Line(
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

    /** A number without digits that nobody measured; null where there is none. */
    static void number(ObjectNode to, String field, double value) {
        if (!Double.isFinite(value)) {
            to.putNull(field);
        } else if (value == Math.rint(value) && Math.abs(value) < 1e15) {
            to.put(field, (long) value);
        } else {
            to.put(field, Double.parseDouble(String.format(Locale.ROOT, "%.5g", value)));
        }
    }
}
