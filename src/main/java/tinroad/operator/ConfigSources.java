package tinroad.operator;

import com.typesafe.config.ConfigException;
import com.typesafe.config.ConfigFactory;
import com.typesafe.config.ConfigIncludeContext;
import com.typesafe.config.ConfigIncluder;
import com.typesafe.config.ConfigIncluderClasspath;
import com.typesafe.config.ConfigIncluderFile;
import com.typesafe.config.ConfigIncluderURL;
import com.typesafe.config.ConfigObject;
import com.typesafe.config.ConfigParseOptions;
import com.typesafe.config.ConfigSyntax;
import com.typesafe.config.ConfigUtil;
import com.typesafe.config.ConfigValue;
import com.typesafe.config.parser.ConfigDocument;
import com.typesafe.config.parser.ConfigDocumentFactory;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.net.URL;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.CharsetDecoder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Reads and parses an operator file and the files that it includes. Rejects what HOCON accepts:
 * includes of missing files, bytes that are not UTF-8, a setting given twice in one file, and
 * includes of URLs.
 */
final class ConfigSources {
    /** A longer file is not read. */
    static final int MAX_FILE_BYTES = 256 * 1024;

    /** Maximum number of files, including the first. */
    static final int MAX_FILES = 16;

    /**
     * Maximum nesting of objects and lists. The bound protects the stack, as the parser recurses
     * for each level.
     */
    static final int MAX_NESTING = 64;

    /**
     * Replaces a value in order to find the value's position in the text. It is repeated until it
     * does not occur in the text itself.
     */
    private static final String PLACEHOLDER = "mark";

    private final List<ValidationError> errors = new ArrayList<>();
    private final Deque<Path> includeStack = new ArrayDeque<>();
    private final Map<String, List<Integer>> includeLines = new HashMap<>();
    private int fileCount;

    /** Returns the errors found so far. */
    List<ValidationError> errors() {
        return errors;
    }

    /** Reads the first file and all that it includes; returns null if it can't be parsed. */
    ConfigObject readRoot(Path file) {
        return parse(file, null, 0);
    }

    /**
     * Reads and parses one file.
     *
     * @param from the file that includes it, on {@code line}; null for the first file
     */
    private ConfigObject parse(Path file, Path from, int line) {
        String name = file.toString();
        String text = read(file, from, line);
        if (text == null) {
            return null;
        }
        includeStack.push(file);
        try {
            // The origin is named explicitly, as the parser's own description of a bare name is not
            // the name of the operator's file.
            ConfigObject root =
                    ConfigFactory.parseString(
                                    text,
                                    ConfigParseOptions.defaults()
                                            .setSyntax(ConfigSyntax.CONF)
                                            .setOriginDescription(name)
                                            .setIncluder(new Includer()))
                            .root();
            String placeholder = PLACEHOLDER;
            while (text.contains(placeholder)) {
                placeholder += PLACEHOLDER;
            }
            findDuplicates(
                    name,
                    text,
                    ConfigDocumentFactory.parseString(text),
                    placeholder,
                    root,
                    new ArrayList<>());
            return root;
        } catch (ConfigException e) {
            errors.add(toError(name, e));
            return null;
        } finally {
            includeStack.pop();
        }
    }

    /** Converts an error of the parser, with the file and line that it names. */
    static ValidationError toError(String name, ConfigException e) {
        int line = e.origin() == null ? 1 : Math.max(1, e.origin().lineNumber());
        String text = e.getMessage();
        String origin = e.origin() == null ? "" : e.origin().description();
        text =
                text.startsWith(origin)
                        ? text.substring(origin.length()).replaceFirst("^:\\s*", "")
                        : text;
        // The text removed at the end is advice for other kinds of files.
        return new ValidationError(
                origin.isEmpty() ? name : file(origin),
                line,
                "",
                text.replaceFirst(" \\(if you intended.*", ""));
    }

    /**
     * Returns the file name in the description of an origin, without the line number at its end;
     * for a merge of several origins, the first file name.
     */
    static String file(String description) {
        return description
                .replaceFirst("^merge of ", "")
                .replaceFirst(",.*", "")
                .replaceFirst(": \\d+(-\\d+)?$", "");
    }

    private String read(Path file, Path from, int line) {
        String reportedFile = from == null ? file.toString() : from.toString();
        int reportedLine = Math.max(1, line);
        if (++fileCount > MAX_FILES) {
            errors.add(
                    new ValidationError(
                            reportedFile,
                            reportedLine,
                            "",
                            "more than " + MAX_FILES + " files: do they include each other?"));
            return null;
        }
        try (InputStream in = Files.newInputStream(file)) {
            byte[] bytes = in.readNBytes(MAX_FILE_BYTES + 1);
            if (bytes.length > MAX_FILE_BYTES) {
                errors.add(
                        new ValidationError(
                                file.toString(),
                                1,
                                "",
                                "longer than " + MAX_FILE_BYTES / 1024 + " KiB"));
                return null;
            }
            return decode(file.toString(), bytes);
        } catch (IOException e) {
            errors.add(
                    new ValidationError(
                            reportedFile,
                            reportedLine,
                            "",
                            (from == null
                                            ? "can't be read: "
                                            : "include of " + file + " can't be read: ")
                                    + (Files.exists(file) ? e.getMessage() : "no such file")));
            return null;
        }
    }

    /** Decodes the text of a file and checks its characters and nesting; null if it is invalid. */
    private String decode(String name, byte[] bytes) {
        CharsetDecoder decoder = StandardCharsets.UTF_8.newDecoder();
        ByteBuffer in = ByteBuffer.wrap(bytes);
        String text;
        try {
            text = decoder.decode(in).toString();
        } catch (CharacterCodingException e) {
            errors.add(
                    new ValidationError(
                            name,
                            lineAfter(
                                    new String(
                                            bytes, 0, in.position(), StandardCharsets.ISO_8859_1)),
                            "",
                            "not UTF-8: the byte 0x"
                                    + Integer.toHexString(bytes[in.position()] & 0xff)));
            return null;
        }
        // A byte order mark is not part of the text.
        text = text.startsWith("\ufeff") ? text.substring(1) : text;
        int depth = 0;
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            depth += c == '{' || c == '[' ? 1 : c == '}' || c == ']' ? -1 : 0;
            boolean control = c < ' ' && c != '\n' && c != '\r' && c != '\t';
            if (control || depth > MAX_NESTING) {
                errors.add(
                        new ValidationError(
                                name,
                                lineAfter(text.substring(0, i)),
                                "",
                                control
                                        ? "a control character, U+" + String.format("%04X", (int) c)
                                        : "nested deeper than " + MAX_NESTING));
                return null;
            }
        }
        if (text.lines()
                .map(String::strip)
                .allMatch(l -> l.isEmpty() || l.startsWith("#") || l.startsWith("//"))) {
            errors.add(new ValidationError(name, 1, "", "empty: a setting was expected"));
            return null;
        }
        return text;
    }

    /** Returns the number of the line on which {@code before} ends. */
    private static int lineAfter(String before) {
        return 1 + (int) before.chars().filter(c -> c == '\n').count();
    }

    /**
     * Finds settings that a file gives twice. The parser silently uses the last one. Setting a
     * value in the parsed document, however, replaces the last occurrence and removes earlier ones:
     * if the text before the new value has changed, there was an earlier occurrence. Not detected:
     * {@code a.b = 1} together with {@code a { b = 1 }}, which are two different paths for the
     * document; the last one takes effect.
     */
    private void findDuplicates(
            String name,
            String text,
            ConfigDocument document,
            String placeholder,
            ConfigObject object,
            List<String> path) {
        for (Map.Entry<String, ConfigValue> entry : object.entrySet()) {
            path.add(entry.getKey());
            if (entry.getValue() instanceof ConfigObject inner) {
                findDuplicates(name, text, document, placeholder, inner, path);
            } else if (file(entry.getValue().origin().description()).equals(name)) {
                String key = ConfigUtil.joinPath(path);
                String edited = document.withValueText(key, placeholder).render();
                String before = edited.substring(0, Math.max(0, edited.indexOf(placeholder)));
                if (!text.startsWith(before)) {
                    int commonLength = 0;
                    while (before.charAt(commonLength) == text.charAt(commonLength)) {
                        commonLength++;
                    }
                    errors.add(
                            new ValidationError(
                                    name,
                                    entry.getValue().origin().lineNumber(),
                                    key,
                                    "given twice, first on line "
                                            + lineAfter(text.substring(0, commonLength))
                                            + ": must be given once"));
                }
            }
            path.remove(path.size() - 1);
        }
    }

    /** Resolves includes relative to the file that contains them. */
    private final class Includer
            implements ConfigIncluder,
                    ConfigIncluderFile,
                    ConfigIncluderURL,
                    ConfigIncluderClasspath {
        @Override
        public ConfigIncluder withFallback(ConfigIncluder fallback) {
            return this;
        }

        @Override
        public ConfigObject include(ConfigIncludeContext context, String included) {
            Path from = includeStack.peek();
            ConfigObject found =
                    parse(from.resolveSibling(included), from, lineOfInclude(from, included));
            return found == null ? ConfigFactory.empty().root() : found;
        }

        @Override
        public ConfigObject includeFile(ConfigIncludeContext context, File included) {
            return include(context, included.getPath());
        }

        @Override
        public ConfigObject includeURL(ConfigIncludeContext context, URL included) {
            return reject(included.toString());
        }

        @Override
        public ConfigObject includeResources(ConfigIncludeContext context, String included) {
            return reject(included);
        }

        private ConfigObject reject(String included) {
            Path from = includeStack.peek();
            errors.add(
                    new ValidationError(
                            from.toString(),
                            lineOfInclude(from, included),
                            "",
                            "include of " + included + ": must be a file"));
            return ConfigFactory.empty().root();
        }

        /**
         * Returns the line of an include, which the parser does not report. For several includes of
         * the same name, each call returns the next line.
         */
        private int lineOfInclude(Path from, String included) {
            List<Integer> lines =
                    includeLines.computeIfAbsent(
                            from + "\n" + included, k -> findIncludes(from, included));
            return lines.size() > 1 ? lines.remove(0) : lines.isEmpty() ? 1 : lines.get(0);
        }

        private List<Integer> findIncludes(Path from, String included) {
            List<Integer> lines = new ArrayList<>();
            try {
                List<String> all = Files.readAllLines(from);
                for (int i = 0; i < all.size(); i++) {
                    if (all.get(i).contains("include") && all.get(i).contains(included)) {
                        lines.add(i + 1);
                    }
                }
            } catch (IOException e) {
                // The file was removed after it was read: the error is reported for line 1.
            }
            return lines;
        }
    }
}
