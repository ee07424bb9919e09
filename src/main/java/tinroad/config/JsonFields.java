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
    public static void each(JsonParser parser, Visitor visitor) throws IOException {
        if (parser.currentToken() != JsonToken.START_OBJECT) {
            parser.skipChildren();
            return;
        }
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            String name = parser.currentName();
            parser.nextToken();
            visitor.value(name);
            skipUnread(parser);
        }
    }

    /** Visits the items of the array that the parser stands on, under their index; else skips. */
    public static void items(JsonParser parser, Visitor visitor) throws IOException {
        if (parser.currentToken() != JsonToken.START_ARRAY) {
            parser.skipChildren();
            return;
        }
        for (int i = 0; parser.nextToken() != JsonToken.END_ARRAY; i++) {
            visitor.value(Integer.toString(i));
            skipUnread(parser);
        }
    }

    private static void skipUnread(JsonParser parser) throws IOException {
        JsonToken token = parser.currentToken();
        if (token == JsonToken.START_OBJECT || token == JsonToken.START_ARRAY) {
            parser.skipChildren();
        }
    }

    /** The number that the parser stands on, or {@code absent}. */
    public static double number(JsonParser parser, double absent) throws IOException {
        return parser.currentToken().isNumeric() ? parser.getDoubleValue() : absent;
    }

    /** The text that the parser stands on, or "". */
    public static String text(JsonParser parser) throws IOException {
        return parser.currentToken() == JsonToken.VALUE_STRING ? parser.getText() : "";
    }

    /** Whether the parser stands on true. */
    public static boolean flag(JsonParser parser) {
        return parser.currentToken() == JsonToken.VALUE_TRUE;
    }
}
