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
 * Reads one HOCON file of the operators': text to values, values against a JSON Schema, what is
 * left out from defaults. All faults are told at once, each with its file and line.
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
     * The settings in {@code file}. {@code schema.json} and {@code defaults.conf} stand beside the
     * class {@code at}; the defaults may hold more than the schema lets a file hold.
     */
    public static Config read(Path file, Class<?> at) throws OperatorException {
        return new ValidatedFile(file, schema(at))
                .read(ConfigFactory.parseResources(at, "defaults.conf"));
    }

    /** A fault of a value that the schema lets pass, where it stands. */
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
                check(config.root());
                if (errors.isEmpty()) {
                    return config.withFallback(defaults);
                }
            } catch (ConfigException e) {
                errors.add(ConfigSources.toError(file.toString(), e));
            }
        }
        throw new OperatorException(errors.stream().distinct().sorted().toList());
    }

    private static Schema schema(Class<?> at) {
        Dialect dialect =
                Dialect.builder(DIALECT, Dialects.getDraft202012()).keyword(new Quantity()).build();
        InputStream in = at.getResourceAsStream("schema.json");
        return SchemaRegistry.withDialect(dialect).getSchema(in, InputFormat.JSON);
    }

    private void check(ConfigObject root) {
        JsonNode node = new ObjectMapper().valueToTree(root.unwrapped());
        for (Error error : schema.validate(node)) {
            List<String> path = path(error.getInstanceLocation());
            if (error.getProperty() != null) {
                path.add(error.getProperty());
            }
            ConfigValue at = value(root, path);
            // Not stated: the innermost thing that is.
            for (int known = path.size() - 1; at == null; known--) {
                at = value(root, path.subList(0, known));
            }
            errors.add(
                    errorAt(at, path.isEmpty() ? "" : ConfigUtil.joinPath(path), text(error, at)));
        }
    }

    private static List<String> path(NodePath location) {
        List<String> path = new ArrayList<>();
        for (int i = 0; i < location.getNameCount(); i++) {
            path.add(location.getName(i));
        }
        return path;
    }

    private static ConfigValue value(ConfigObject root, List<String> path) {
        ConfigValue at = root;
        for (String name : path) {
            at =
                    at instanceof ConfigObject object
                            ? object.get(name)
                            : at instanceof List<?> list
                                    ? (ConfigValue) list.get(Integer.parseInt(name))
                                    : null;
            if (at == null) {
                return null;
            }
        }
        return at;
    }

    /** What is wrong, and what is allowed. */
    private String text(Error error, ConfigValue found) {
        JsonNode word = error.getSchemaNode();
        String allowed =
                switch (error.getKeyword()) {
                    case "additionalProperties" -> null;
                    case "enum" ->
                            "must be one of "
                                    + String.join(
                                            ", ",
                                            StreamSupport.stream(word.spliterator(), false)
                                                    .map(JsonNode::asText)
                                                    .toList());
                    case "minimum" -> "must be " + word.asText() + " or more";
                    case "maximum" -> "must be " + word.asText() + " or less";
                    case "required" -> "must have " + error.getProperty();
                    case "minItems" -> "must have " + word.asText() + " or more";
                    case "type" ->
                            "must be "
                                    + (word.asText().matches("[aeiou].*") ? "an " : "a ")
                                    + word.asText();
                    default -> error.getMessage();
                };
        return allowed == null
                ? unknown(error)
                : allowed + "; found " + found.render(ConfigRenderOptions.concise());
    }

    private String unknown(Error error) {
        // The names stand beside the word that refuses the others.
        List<String> known = new ArrayList<>();
        JsonNode parent = schema.getSchemaNode().at(parentPointer(error));
        parent.path("properties").fieldNames().forEachRemaining(known::add);
        String near = SpellingSuggestion.to(error.getProperty(), known);
        return "unknown"
                + (near == null ? "" : ": is " + near + " meant?")
                + "; known here: "
                + String.join(", ", known);
    }

    private static String parentPointer(Error error) {
        String fragment = error.getSchemaLocation().getFragment().toString();
        return fragment.substring(0, Math.max(0, fragment.lastIndexOf('/')));
    }
}
