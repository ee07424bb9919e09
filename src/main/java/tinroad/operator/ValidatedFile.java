package tinroad.operator;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.networknt.schema.Error;
import com.networknt.schema.InputFormat;
import com.networknt.schema.Schema;
import com.networknt.schema.SchemaRegistry;
import com.networknt.schema.dialect.Dialect;
import com.networknt.schema.dialect.Dialects;
import com.networknt.schema.path.NodePath;
import com.typesafe.config.Config;
import com.typesafe.config.ConfigException;
import com.typesafe.config.ConfigFactory;
import com.typesafe.config.ConfigObject;
import com.typesafe.config.ConfigRenderOptions;
import com.typesafe.config.ConfigResolveOptions;
import com.typesafe.config.ConfigUtil;
import com.typesafe.config.ConfigValue;
import java.io.InputStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.StreamSupport;

/**
 * Reads a HOCON file written by operators: parses it, validates it against a JSON Schema, and fills
 * in defaults. All errors are reported at once, each with its file and line.
 */
public final class ValidatedFile {
    private static final String DIALECT = "https://json-schema.org/draft/2020-12/schema";
    private final Path file;
    private final Schema schema;
    private final List<ValidationError> errors = new ArrayList<>();

    private ValidatedFile(Path file, Schema schema) {
        this.file = file;
        this.schema = schema;
    }

    /**
     * Reads the settings in {@code file}. {@code schema.json} and {@code defaults.conf} are
     * resources beside {@code resourceClass}; the defaults may have settings that the schema does
     * not allow in a file.
     */
    public static Config read(Path file, Class<?> resourceClass) throws OperatorException {
        return new ValidatedFile(file, schema(resourceClass))
                .read(ConfigFactory.parseResources(resourceClass, "defaults.conf"));
    }

    /**
     * Creates an error with the file and line of {@code value}, for a fault that the schema can't
     * express.
     */
    public static ValidationError errorAt(ConfigValue value, String key, String text) {
        return new ValidationError(
                ConfigSources.file(value.origin().description()),
                Math.max(1, value.origin().lineNumber()),
                key,
                text);
    }

    private Config read(Config defaults) throws OperatorException {
        ConfigSources sources = new ConfigSources();
        ConfigObject root = sources.readRoot(file);
        errors.addAll(sources.errors());
        if (root != null) {
            try {
                Config config = root.toConfig().resolve(ConfigResolveOptions.noSystem());
                validate(config.root());
                if (errors.isEmpty()) {
                    return config.withFallback(defaults);
                }
            } catch (ConfigException e) {
                errors.add(ConfigSources.toError(file.toString(), e));
            }
        }
        throw new OperatorException(errors.stream().distinct().sorted().toList());
    }

    private static Schema schema(Class<?> resourceClass) {
        Dialect dialect =
                Dialect.builder(DIALECT, Dialects.getDraft202012()).keyword(new Quantity()).build();
        InputStream in = resourceClass.getResourceAsStream("schema.json");
        return SchemaRegistry.withDialect(dialect).getSchema(in, InputFormat.JSON);
    }

    private void validate(ConfigObject root) {
        JsonNode node = new ObjectMapper().valueToTree(root.unwrapped());
        for (Error error : schema.validate(node)) {
            List<String> path = path(error.getInstanceLocation());
            if (error.getProperty() != null) {
                path.add(error.getProperty());
            }
            ConfigValue found = valueAt(root, path);
            // A value that is missing is reported at the innermost existing parent.
            for (int depth = path.size() - 1; found == null; depth--) {
                found = valueAt(root, path.subList(0, depth));
            }
            errors.add(
                    errorAt(
                            found,
                            path.isEmpty() ? "" : ConfigUtil.joinPath(path),
                            message(error, found)));
        }
    }

    private static List<String> path(NodePath location) {
        List<String> path = new ArrayList<>();
        for (int i = 0; i < location.getNameCount(); i++) {
            path.add(location.getName(i));
        }
        return path;
    }

    private static ConfigValue valueAt(ConfigObject root, List<String> path) {
        ConfigValue value = root;
        for (String name : path) {
            value =
                    value instanceof ConfigObject object
                            ? object.get(name)
                            : value instanceof List<?> list
                                    ? (ConfigValue) list.get(Integer.parseInt(name))
                                    : null;
            if (value == null) {
                return null;
            }
        }
        return value;
    }

    /** Describes an error and what is allowed instead. */
    private String message(Error error, ConfigValue found) {
        JsonNode keywordValue = error.getSchemaNode();
        String allowed =
                switch (error.getKeyword()) {
                    case "additionalProperties" -> null;
                    case "enum" ->
                            "must be one of "
                                    + String.join(
                                            ", ",
                                            StreamSupport.stream(keywordValue.spliterator(), false)
                                                    .map(JsonNode::asText)
                                                    .toList());
                    case "minimum" -> "must be " + keywordValue.asText() + " or more";
                    case "maximum" -> "must be " + keywordValue.asText() + " or less";
                    case "required" -> "must have " + error.getProperty();
                    case "minItems" -> "must have " + keywordValue.asText() + " or more";
                    case "type" ->
                            "must be "
                                    + (keywordValue.asText().matches("[aeiou].*") ? "an " : "a ")
                                    + keywordValue.asText();
                    default -> error.getMessage();
                };
        return allowed == null
                ? unknownMessage(error)
                : allowed + "; found " + found.render(ConfigRenderOptions.concise());
    }

    private String unknownMessage(Error error) {
        // The known names are listed in the schema object that has the failed keyword.
        List<String> known = new ArrayList<>();
        JsonNode parent = schema.getSchemaNode().at(parentPointer(error));
        parent.path("properties").fieldNames().forEachRemaining(known::add);
        String suggestion = SpellingSuggestion.nearest(error.getProperty(), known);
        return "unknown"
                + (suggestion == null ? "" : ": is " + suggestion + " meant?")
                + "; known here: "
                + String.join(", ", known);
    }

    private static String parentPointer(Error error) {
        String fragment = error.getSchemaLocation().getFragment().toString();
        return fragment.substring(0, Math.max(0, fragment.lastIndexOf('/')));
    }
}
