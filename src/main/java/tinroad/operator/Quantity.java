package tinroad.operator;

import com.fasterxml.jackson.databind.JsonNode;
import com.networknt.schema.ExecutionContext;
import com.networknt.schema.Schema;
import com.networknt.schema.SchemaContext;
import com.networknt.schema.SchemaLocation;
import com.networknt.schema.keyword.AbstractKeyword;
import com.networknt.schema.keyword.BaseKeywordValidator;
import com.networknt.schema.keyword.KeywordValidator;
import com.networknt.schema.path.NodePath;
import com.typesafe.config.Config;
import com.typesafe.config.ConfigException;
import com.typesafe.config.ConfigFactory;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * A JSON Schema keyword for a duration or a size within bounds: {@code "quantity": {"unit":
 * "duration", "least": "1ms", "most": "1h"}}. A value is a text of a number and a unit, in HOCON's
 * format. A number without a unit is rejected, because its unit would have to be guessed.
 */
final class Quantity extends AbstractKeyword {
    static final String NAME = "quantity";

    /** Arbitrary key under which HOCON parses a single value. */
    private static final String VALUE_KEY = "q";

    Quantity() {
        super(NAME);
    }

    @Override
    public KeywordValidator newValidator(
            SchemaLocation location, JsonNode schema, Schema parent, SchemaContext context) {
        return new Validator(this, schema, location, parent, context);
    }

    /** Describes the allowed values, as an error message. */
    static String describeAllowed(JsonNode schema) {
        boolean size = schema.path("unit").asText().equals("size");
        return "must be a "
                + (size ? "size, such as 64KiB" : "duration, such as 250ms or 5s")
                + ", from "
                + schema.path("least").asText()
                + " to "
                + schema.path("most").asText();
    }

    /** Parses an amount, in ns or bytes; returns NaN if the text is not such a quantity. */
    private static double amount(String unit, String text) {
        if (!text.matches("[+-]?[0-9.].*[A-Za-z]\\s*")) {
            return Double.NaN;
        }
        try {
            Config config = ConfigFactory.parseMap(Map.of(VALUE_KEY, text));
            return unit.equals("size")
                    ? config.getMemorySize(VALUE_KEY).toBytesBigInteger().doubleValue()
                    : config.getDuration(VALUE_KEY, TimeUnit.NANOSECONDS);
        } catch (ConfigException | NumberFormatException e) {
            return Double.NaN;
        }
    }

    private static final class Validator extends BaseKeywordValidator {
        Validator(
                Quantity keyword,
                JsonNode schema,
                SchemaLocation location,
                Schema parent,
                SchemaContext context) {
            super(keyword, schema, location, parent, context);
        }

        @Override
        public void validate(
                ExecutionContext context, JsonNode node, JsonNode root, NodePath path) {
            JsonNode schema = getSchemaNode();
            String unit = schema.path("unit").asText();
            double amount = node.isTextual() ? amount(unit, node.textValue()) : Double.NaN;
            if (!(amount >= amount(unit, schema.path("least").asText())
                    && amount <= amount(unit, schema.path("most").asText()))) {
                context.addError(
                        error().message(describeAllowed(schema))
                                .instanceLocation(path)
                                .instanceNode(node)
                                .evaluationPath(context.getEvaluationPath())
                                .build());
            }
        }
    }
}
