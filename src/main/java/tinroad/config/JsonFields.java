package tinroad.config;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;

/** Walks JSON with a streaming parser: each value is read where it stands, the rest is skipped. */
public final class JsonFields {
    private JsonFields() {}

    /** What to do with one value; the parser stands on its first token. */
    @FunctionalInterface
    public interface Visitor {
        /** Reads the value of {@code name}, or leaves it to be skipped. */
        void value(String name) throws IOException;
    }

    /**
     * Visits the fields of the object that the parser stands on; anything but an object is skipped.
     */
    public static void each(JsonParser p, Visitor visitor) throws IOException {
        if (p.currentToken() != JsonToken.START_OBJECT) {
            p.skipChildren();
            return;
        }
        while (p.nextToken() == JsonToken.FIELD_NAME) {
            String name = p.currentName();
            p.nextToken();
            visitor.value(name);
            skipUnread(p);
        }
    }

    /** Visits the items of the array that the parser stands on, under their index; else skips. */
    public static void items(JsonParser p, Visitor visitor) throws IOException {
        if (p.currentToken() != JsonToken.START_ARRAY) {
            p.skipChildren();
            return;
        }
        for (int i = 0; p.nextToken() != JsonToken.END_ARRAY; i++) {
            visitor.value(Integer.toString(i));
            skipUnread(p);
        }
    }

    private static void skipUnread(JsonParser p) throws IOException {
        JsonToken token = p.currentToken();
        if (token == JsonToken.START_OBJECT || token == JsonToken.START_ARRAY) {
            p.skipChildren();
        }
    }

    /** The number that the parser stands on, or {@code absent}. */
    public static double number(JsonParser p, double absent) throws IOException {
        return p.currentToken().isNumeric() ? p.getDoubleValue() : absent;
    }

    /** The text that the parser stands on, or "". */
    public static String text(JsonParser p) throws IOException {
        return p.currentToken() == JsonToken.VALUE_STRING ? p.getText() : "";
    }

    /** Whether the parser stands on true. */
    public static boolean flag(JsonParser p) {
        return p.currentToken() == JsonToken.VALUE_TRUE;
    }
}
