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

/**
 * Reads the messages of the simulator's protocol, one JSON object per line. Unknown fields and
 * settings are skipped.
 */
final class MessageReader {
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

    MessageReader(InputStream in) {
        lines = new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8), 1 << 16);
    }

    /** Reads the next message; returns false at the end of the input. */
    boolean nextMessage() throws IOException {
        String line = lines.readLine();
        if (line == null) {
            return false;
        }
        lineNumber++;
        try (JsonParser parser = JSON.createParser(line)) {
            if (parser.nextToken() != JsonToken.START_OBJECT) {
                throw malformed("not a JSON object");
            }
            site = null;
            message = object(parser);
            if (parser.nextToken() != null) {
                throw malformed("more than one value");
            }
        } catch (com.fasterxml.jackson.core.JsonProcessingException e) {
            throw malformed("not JSON: " + e.getOriginalMessage());
        }
        return true;
    }

    String type() throws IOException {
        return text("t");
    }

    String text(String field) throws IOException {
        if (message.get(field) instanceof String text) {
            return text;
        }
        throw missing(field);
    }

    double number(String field) throws IOException {
        if (message.get(field) instanceof Number number) {
            return number.doubleValue();
        }
        throw missing(field);
    }

    long integer(String field) throws IOException {
        if (message.get(field) instanceof Long number) {
            return number;
        }
        throw missing(field);
    }

    Outcome outcome() throws IOException {
        Outcome outcome = OUTCOMES.get(text("code"));
        if (outcome == null) {
            throw malformed("unknown code " + text("code"));
        }
        return outcome;
    }

    Controller.Request request() throws IOException {
        Map<String, Object> fields = message;
        return new Controller.Request(
                text("txn"),
                (int) integer("qos"),
                (int) numberOr(fields, "tenant", 0),
                (int) numberOr(fields, "by", 0),
                number("held_kb"),
                numberOr(fields, "valid_until", 0),
                numberOr(fields, "age", 0),
                numberOr(fields, "precedence", 0),
                numberOr(fields, "effort", 0),
                textOrNull(fields, "object"),
                textOrNull(fields, "earlier"),
                flag(fields, "resent"),
                flag(fields, "update"));
    }

    Controller.Gauges gauges() {
        Map<String, Object> telemetry = child(message, "telemetry");
        return new Controller.Gauges(
                numberOr(telemetry, "core_use", Double.NaN),
                numberOr(telemetry, "on_cores", Double.NaN),
                numberOr(telemetry, "heap_share", Double.NaN),
                numberOr(telemetry, "links", Double.NaN));
    }

    Controller.Settings settings() throws IOException {
        if (site == null) {
            throw missing("conf");
        }
        return site.settings();
    }

    /** Returns an exception that names the current line. */
    IOException malformed(String reason) {
        return new IOException("line " + lineNumber + ": " + reason);
    }

    private IOException missing(String field) {
        return malformed(
                "missing or malformed field "
                        + field
                        + " in "
                        + message.getOrDefault("t", "message"));
    }

    private static String textOrNull(Map<String, Object> fields, String field) {
        return fields.get(field) instanceof String text && !text.isEmpty() && !text.equals("0")
                ? text
                : null;
    }

    private static double numberOr(Map<String, Object> fields, String field, double defaultValue) {
        return fields.get(field) instanceof Number number ? number.doubleValue() : defaultValue;
    }

    private static boolean flag(Map<String, Object> fields, String field) {
        return Boolean.TRUE.equals(fields.get(field));
    }

    private static Map<String, Object> child(Map<String, Object> fields, String field) {
        return map(fields.get(field));
    }

    private static Map<String, Object> map(Object value) {
        Map<String, Object> result = new LinkedHashMap<>();
        if (value instanceof Map<?, ?> fields) {
            fields.forEach((k, v) -> result.put((String) k, v));
        }
        return result;
    }

    private Map<String, Object> object(JsonParser parser) throws IOException {
        Map<String, Object> result = new LinkedHashMap<>();
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String name = parser.currentName();
            parser.nextToken();
            if (name.equals("conf") && parser.currentToken() == JsonToken.START_OBJECT) {
                site = SiteReader.read(parser);
            } else {
                result.put(name, value(parser));
            }
        }
        return result;
    }

    private Object value(JsonParser parser) throws IOException {
        return switch (parser.currentToken()) {
            case START_OBJECT -> object(parser);
            case START_ARRAY -> {
                List<Object> items = new ArrayList<>();
                while (parser.nextToken() != JsonToken.END_ARRAY) {
                    items.add(value(parser));
                }
                yield items;
            }
            case VALUE_STRING -> parser.getText();
            case VALUE_NUMBER_INT -> integer(parser);
            case VALUE_NUMBER_FLOAT -> parser.getDoubleValue();
            case VALUE_TRUE -> true;
            case VALUE_FALSE -> false;
            default -> null;
        };
    }

    /** Reads an integer. A seed may be an unsigned 64-bit number, so the low 64 bits are used. */
    private static Object integer(JsonParser parser) throws IOException {
        return parser.getNumberType() == JsonParser.NumberType.BIG_INTEGER
                ? (Object) parser.getBigIntegerValue().longValue()
                : (Object) parser.getLongValue();
    }
}
