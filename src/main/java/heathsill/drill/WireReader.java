package heathsill.drill;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadFeature;
import heathsill.Controller;
import heathsill.Controller.Below;
import heathsill.Controller.Halt;
import heathsill.Controller.Outcome;
import heathsill.Controller.Say;
import heathsill.Controller.Semantics;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads the wire's messages, one JSON object a line; unknown fields and settings are skipped. */
final class WireReader {
    private static final JsonFactory JSON =
            JsonFactory.builder().enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION).build();
    private static final Map<String, Outcome> OUTCOMES = Map.of("Ok", Outcome.OK, "Failed", Outcome.FAILED,
            "QueueFull", Outcome.QUEUE_FULL, "TimedOut", Outcome.TIMED_OUT, "ConnectError", Outcome.CONNECT_ERROR,
            "ResetByPeer", Outcome.RESET, "Canceled", Outcome.CANCELED, "Ignored", Outcome.IGNORED);

    private final BufferedReader lines;
    private long lineNumber;
    private Map<String, Object> message = Map.of();

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
        return new Controller.Request(text("txn"), (int) integer("qos"), (int) num(m, "tenant", 0),
                (int) num(m, "by", 0), number("held_kb"), num(m, "valid_until", 0), num(m, "age", 0),
                num(m, "precedence", 0), num(m, "effort", 0), string(m, "object"), string(m, "earlier"),
                flag(m, "resent"), flag(m, "update"));
    }

    Controller.Gauges gauges() {
        Map<String, Object> t = child(message, "telemetry");
        return new Controller.Gauges(num(t, "core_use", Double.NaN), num(t, "on_cores", Double.NaN),
                num(t, "heap_share", Double.NaN), num(t, "links", Double.NaN));
    }

    Controller.Settings settings() throws IOException {
        if (!(message.get("conf") instanceof Map)) {
            throw missing("conf");
        }
        Map<String, Object> conf = child(message, "conf");
        Map<String, Object> info = child(conf, "family_info");
        Map<String, Object> caps = child(conf, "caps");
        return new Controller.Settings(classes(conf, info), tenants(conf), goal(child(conf, "goal")),
                rules(child(conf, "rules")), dependency(info), say(info), halt(info), (int) num(info, "cores", 1),
                (int) num(conf, "servers", 1), (int) num(info, "callers", 1), flag(info, "just_started"),
                !Boolean.FALSE.equals(info.get("passes_deadline")), num(info, "idle", 0), num(info, "memory_kb", 0),
                num(info, "run_factor", 1), num(info, "kb_per_key", 0), num(info, "fresh_for", 0),
                num(caps, "max_retry_after", 0), flag(caps, "retry_after"), flag(child(conf, "clients"), "marks_retry"),
                num(conf, "over_share_worth", 1), num(conf, "step", 0), word(conf, "worth_by").equals("work"));
    }

    IOException wrong(String what) {
        return new IOException("line " + lineNumber + ": " + what);
    }

    private IOException missing(String field) {
        return wrong("missing or malformed field " + field + " in " + message.getOrDefault("t", "message"));
    }

    private static List<Controller.RequestClass> classes(Map<String, Object> conf, Map<String, Object> info) {
        List<Controller.RequestClass> classes = new ArrayList<>();
        for (Object item : list(conf, "classes")) {
            Map<String, Object> c = map(item);
            int i = classes.size();
            classes.add(new Controller.RequestClass(num(c, "objective", 0), num(c, "aim_stretch", 0),
                    num(c, "deadline", 0), num(c, "gain", 0), num(c, "late_share", 0), semantics(c),
                    num(c, "key_ttl", 0), Boolean.TRUE.equals(at(info, "class_calls", i)),
                    at(info, "degraded_worth", i) instanceof Number n ? n.doubleValue() : 0));
        }
        return classes;
    }

    private static List<Controller.Tenant> tenants(Map<String, Object> conf) {
        List<Controller.Tenant> tenants = new ArrayList<>();
        for (Object item : list(conf, "orgs")) {
            tenants.add(new Controller.Tenant(num(map(item), "quota_per_s", 0), num(map(item), "share", 0)));
        }
        return tenants;
    }

    private static Controller.Goal goal(Map<String, Object> g) {
        return new Controller.Goal(num(g, "whole", 0), num(g, "worst_window", 0), num(g, "worst_class", 0),
                num(g, "worst_tenant", 0));
    }

    private static Controller.Rules rules(Map<String, Object> r) {
        return new Controller.Rules(num(r, "answer_slack", 0), num(r, "cold_from", 1), num(r, "ramp_time", 0),
                num(r, "drain_grace", 0), num(r, "fall_multiple", 1), num(r, "fall", 0));
    }

    private static Controller.Dependency dependency(Map<String, Object> info) {
        Below kind = switch (word(info, "below")) {
            case "common" -> Below.COMMON;
            case "next_hop" -> Below.NEXT_HOP;
            default -> Below.NONE;
        };
        return new Controller.Dependency(kind, num(info, "calls_out", 0), num(info, "share_span", 0),
                num(info, "lingers", 0));
    }

    private static Say say(Map<String, Object> info) {
        return switch (word(info, "say")) {
            case "min_rank" -> Say.MIN_RANK;
            case "tokens" -> Say.TOKENS;
            case "bias" -> Say.BIAS;
            default -> Say.NONE;
        };
    }

    private static Halt halt(Map<String, Object> info) {
        return switch (word(info, "halt")) {
            case "drop" -> Halt.DROP;
            case "pause" -> Halt.PAUSE;
            default -> Halt.NONE;
        };
    }

    private static Semantics semantics(Map<String, Object> c) {
        return switch (word(c, "semantics")) {
            case "free" -> Semantics.FREE;
            case "guarded" -> Semantics.GUARDED;
            default -> Semantics.SINGLE_SHOT;
        };
    }

    private static String word(Map<String, Object> m, String field) {
        return m.get(field) instanceof String s ? s : "";
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

    private static Object at(Map<String, Object> m, String field, int index) {
        List<?> list = list(m, field);
        return index < list.size() ? list.get(index) : null;
    }

    private static List<?> list(Map<String, Object> m, String field) {
        return m.get(field) instanceof List<?> l ? l : List.of();
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

    private static Map<String, Object> object(JsonParser p) throws IOException {
        Map<String, Object> result = new LinkedHashMap<>();
        while (p.nextToken() != JsonToken.END_OBJECT) {
            String name = p.currentName();
            p.nextToken();
            result.put(name, value(p));
        }
        return result;
    }

    private static Object value(JsonParser p) throws IOException {
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
                ? (Object) p.getBigIntegerValue().longValue() : (Object) p.getLongValue();
    }
}
