package tinroad.config;

import static tinroad.config.JsonFields.each;

import com.fasterxml.jackson.core.JsonParser;
import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/** Numeric fields of one JSON object, by name. A field of another type counts as absent. */
final class NumberFields {
    private final Map<String, Double> values = new HashMap<>();

    private NumberFields() {}

    /** Reads the fields with these names from the object at the parser's current position. */
    static NumberFields read(JsonParser in, Set<String> names) throws IOException {
        NumberFields fields = new NumberFields();
        each(
                in,
                name -> {
                    if (names.contains(name)) {
                        fields.put(name, in);
                    }
                });
        return fields;
    }

    private void put(String name, JsonParser in) throws IOException {
        if (in.currentToken().isNumeric()) {
            values.put(name, in.getDoubleValue());
        } else {
            values.remove(name);
        }
    }

    /** Returns the value of a field, or {@code defaultValue} if it is absent. */
    double get(String name, double defaultValue) {
        return values.getOrDefault(name, defaultValue);
    }
}
