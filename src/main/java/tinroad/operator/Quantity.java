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
 * The schema's word for a duration or a size: {@code "quantity": {"unit": "duration", "least":
 * "1ms", "most": "1h"}}. Its text has a number and a unit, as HOCON writes them. A number alone is
 * refused: nobody can tell what it counts.
 */
final class Quantity extends AbstractKeyword {
    static final String NAME = "quantity";
    private static final String AT = "q";

    Quantity() {
        super(NAME);
    }

    @Override
    public KeywordValidator newValidator(
            SchemaLocation location, JsonNode schema, Schema parent, SchemaContext context) {
        return new Check(this, schema, location, parent, context);
    }

    /** What is allowed, in words. */
    static String allowed(JsonNode schema) {
        boolean size = schema.path("unit").asText().equals("size");
        return "must be a "
                + (size ? "size, such as 64KiB" : "duration, such as 250ms or 5s")
                + ", from "
                + schema.path("least").asText()
                + " to "
                + schema.path("most").asText();
    }

    /** The amount in ns or bytes; NaN where the text is no such quantity. */
    private static double amount(String unit, String text) {
        if (!text.matches("[+-]?[0-9.].*[A-Za-z]\\s*")) {
            return Double.NaN;
        }
        try {
            Config one = ConfigFactory.parseMap(Map.of(AT, text));
            return unit.equals("size")
                    ? one.getMemorySize(AT).toBytesBigInteger().doubleValue()
                    : one.getDuration(AT, TimeUnit.NANOSECONDS);
        } catch (ConfigException | NumberFormatException e) {
            return Double.NaN;
        }
    }

    private static final class Check extends BaseKeywordValidator {
        Check(
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
                        error().message(allowed(schema))
                                .instanceLocation(path)
                                .instanceNode(node)
                                .evaluationPath(context.getEvaluationPath())
                                .build());
            }
        }
    }
}
