package tinroad.config;

import static tinroad.config.JsonFields.each;

import com.fasterxml.jackson.core.JsonParser;
import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/** Numeric fields of one JSON object, by name; those of another type count as absent. */
final class NumberFields {
    private final Map<String, Double> values = new HashMap<>();

    private NumberFields() {}

    /** Reads the fields with these names of the object that the parser stands on. */
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

    /** The value of a field, or {@code absent}. */
    double get(String name, double absent) {
        return values.getOrDefault(name, absent);
    }
}
