package tinroad.config;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;

/**
 * Helpers for reading JSON with a streaming parser: a visitor reads the values that it needs, and
 * all others are skipped.
 */
public final class JsonFields {
    private JsonFields() {}

    /** Handles one value; the parser is at the value's first token. */
    @FunctionalInterface
    public interface Visitor {
        /** Reads the value of the field {@code name}; a value that is not read is skipped. */
        void value(String name) throws IOException;
    }

    /**
     * Visits the fields of the object at the parser's current position. Any other value is skipped.
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

    /**
     * Visits the items of the array at the parser's current position, with their index as the name.
     * Any other value is skipped.
     */
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

    /** Returns the number at the parser's current position, or {@code defaultValue}. */
    public static double number(JsonParser parser, double defaultValue) throws IOException {
        return parser.currentToken().isNumeric() ? parser.getDoubleValue() : defaultValue;
    }

    /** Returns the string at the parser's current position, or "". */
    public static String text(JsonParser parser) throws IOException {
        return parser.currentToken() == JsonToken.VALUE_STRING ? parser.getText() : "";
    }

    /** Whether the value at the parser's current position is true. */
    public static boolean flag(JsonParser parser) {
        return parser.currentToken() == JsonToken.VALUE_TRUE;
    }
}
