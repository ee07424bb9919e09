package tinroad.simulator;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadFeature;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import tinroad.config.Site;
import tinroad.config.SiteReader;
import tinroad.overload.Controller;
import tinroad.overload.Controller.Outcome;

/** Reads the wire's messages, one JSON object a line; unknown fields and settings are skipped. */
final class WireReader {
    private static final JsonFactory JSON =
            JsonFactory.builder().enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION).build();
    private static final Map<String, Outcome> OUTCOMES =
            Map.of(
                    "Ok",
                    Outcome.OK,
                    "Failed",
                    Outcome.FAILED,
                    "QueueFull",
                    Outcome.QUEUE_FULL,
                    "TimedOut",
                    Outcome.TIMED_OUT,
                    "ConnectError",
                    Outcome.CONNECT_ERROR,
                    "ResetByPeer",
                    Outcome.RESET,
                    "Canceled",
                    Outcome.CANCELED,
                    "Ignored",
                    Outcome.IGNORED);

    private final BufferedReader lines;
    private long lineNumber;
    private Map<String, Object> message = Map.of();
    private Site site;

    WireReader(InputStream in) {
        lines = new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8), 1 << 16);
    }

    /** Moves to the next message; false at the end of the input. */
    boolean next() throws IOException {
        String line = lines.readLine();
        if (line == null) {
            return false;
        }
        lineNumber++;
        try (JsonParser parser = JSON.createParser(line)) {
            if (parser.nextToken() != JsonToken.START_OBJECT) {
                throw wrong("not a JSON object");
            }
            site = null;
            message = object(parser);
            if (parser.nextToken() != null) {
                throw wrong("more than one value");
            }
        } catch (com.fasterxml.jackson.core.JsonProcessingException e) {
            throw wrong("not JSON: " + e.getOriginalMessage());
        }
        return true;
    }

    String type() throws IOException {
        return text("t");
    }

    String text(String field) throws IOException {
        if (message.get(field) instanceof String s) {
            return s;
        }
        throw missing(field);
    }

    double number(String field) throws IOException {
        if (message.get(field) instanceof Number n) {
            return n.doubleValue();
        }
        throw missing(field);
    }

    long integer(String field) throws IOException {
        if (message.get(field) instanceof Long n) {
            return n;
        }
        throw missing(field);
    }

    Outcome outcome() throws IOException {
        Outcome outcome = OUTCOMES.get(text("code"));
        if (outcome == null) {
            throw wrong("unknown code " + text("code"));
        }
        return outcome;
    }

    Controller.Request request() throws IOException {
        Map<String, Object> m = message;
        return new Controller.Request(
                text("txn"),
                (int) integer("qos"),
                (int) num(m, "tenant", 0),
                (int) num(m, "by", 0),
                number("held_kb"),
                num(m, "valid_until", 0),
                num(m, "age", 0),
                num(m, "precedence", 0),
                num(m, "effort", 0),
                string(m, "object"),
                string(m, "earlier"),
                flag(m, "resent"),
                flag(m, "update"));
    }

    Controller.Gauges gauges() {
        Map<String, Object> t = child(message, "telemetry");
        return new Controller.Gauges(
                num(t, "core_use", Double.NaN),
                num(t, "on_cores", Double.NaN),
                num(t, "heap_share", Double.NaN),
                num(t, "links", Double.NaN));
    }

    Controller.Settings settings() throws IOException {
        if (site == null) {
            throw missing("conf");
        }
        return site.settings();
    }

    IOException wrong(String what) {
        return new IOException("line " + lineNumber + ": " + what);
    }

    private IOException missing(String field) {
        return wrong(
                "missing or malformed field "
                        + field
                        + " in "
                        + message.getOrDefault("t", "message"));
    }

    private static String string(Map<String, Object> m, String field) {
        return m.get(field) instanceof String s && !s.isEmpty() && !s.equals("0") ? s : null;
    }

    private static double num(Map<String, Object> m, String field, double absent) {
        return m.get(field) instanceof Number n ? n.doubleValue() : absent;
    }

    private static boolean flag(Map<String, Object> m, String field) {
        return Boolean.TRUE.equals(m.get(field));
    }

    private static Map<String, Object> child(Map<String, Object> m, String field) {
        return map(m.get(field));
    }

    private static Map<String, Object> map(Object value) {
        Map<String, Object> result = new LinkedHashMap<>();
        if (value instanceof Map<?, ?> m) {
            m.forEach((k, v) -> result.put((String) k, v));
        }
        return result;
    }

    private Map<String, Object> object(JsonParser p) throws IOException {
        Map<String, Object> result = new LinkedHashMap<>();
        while (p.nextToken() != JsonToken.END_OBJECT) {
            String name = p.currentName();
            p.nextToken();
            if (name.equals("conf") && p.currentToken() == JsonToken.START_OBJECT) {
                site = SiteReader.read(p);
            } else {
                result.put(name, value(p));
            }
        }
        return result;
    }

    private Object value(JsonParser p) throws IOException {
        return switch (p.currentToken()) {
            case START_OBJECT -> object(p);
            case START_ARRAY -> {
                List<Object> items = new ArrayList<>();
                while (p.nextToken() != JsonToken.END_ARRAY) {
                    items.add(value(p));
                }
                yield items;
            }
            case VALUE_STRING -> p.getText();
            case VALUE_NUMBER_INT -> integer(p);
            case VALUE_NUMBER_FLOAT -> p.getDoubleValue();
            case VALUE_TRUE -> Boolean.TRUE;
            case VALUE_FALSE -> Boolean.FALSE;
            default -> null;
        };
    }

    /** Seeds may use all 64 bits unsigned; the low 64 bits are kept. */
    private static Object integer(JsonParser p) throws IOException {
        return p.getNumberType() == JsonParser.NumberType.BIG_INTEGER
                ? (Object) p.getBigIntegerValue().longValue()
                : (Object) p.getLongValue();
    }
}
