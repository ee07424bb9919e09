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
 * The text of an operator file and of what it includes, read and parsed. Guards against what HOCON
 * lets pass: a file that an include does not find, bytes that are no UTF-8, a setting given twice
 * in one file, includes of addresses.
 */
final class ConfigSources {
    /** A longer file, in bytes, is not read. */
    static final int MAX_FILE_BYTES = 256 * 1024;

    /** So many files at most, the first counted. */
    static final int MAX_FILES = 16;

    /** So deep may objects and lists be nested: the parser takes a frame of the stack for each. */
    static final int MAX_NESTING = 64;

    /**
     * Stands for a value while its place in the text is looked for; what a text holds itself is
     * made longer.
     */
    private static final String PLACEHOLDER = "mark";

    private final List<ValidationError> errors = new ArrayList<>();
    private final Deque<Path> includeStack = new ArrayDeque<>();
    private final Map<String, List<Integer>> lastLines = new HashMap<>();
    private int fileCount;

    /** What is wrong so far. */
    List<ValidationError> errors() {
        return errors;
    }

    /** Reads the first file, and with it all others; null where nothing can be made of it. */
    ConfigObject readRoot(Path file) {
        return parse(file, null, 0);
    }

    /**
     * The file read as {@code file}, on behalf of an include on {@code line} of {@code from}, or of
     * nobody.
     */
    private ConfigObject parse(Path file, Path from, int line) {
        String name = file.toString();
        String text = read(file, from, line);
        if (text == null) {
            return null;
        }
        includeStack.push(file);
        try {
            // Named here: what the parser makes of a bare name is no file of the operator's.
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

    /** What the parser says, with the line that it names. */
    static ValidationError toError(String name, ConfigException e) {
        int line = e.origin() == null ? 1 : Math.max(1, e.origin().lineNumber());
        String text = e.getMessage();
        String place = e.origin() == null ? "" : e.origin().description();
        text =
                text.startsWith(place)
                        ? text.substring(place.length()).replaceFirst("^:\\s*", "")
                        : text;
        // The rest is advice for other kinds of files.
        return new ValidationError(
                place.isEmpty() ? name : file(place),
                line,
                "",
                text.replaceFirst(" \\(if you intended.*", ""));
    }

    /**
     * The file in a description of an origin, which ends in a line number; of merged ones the
     * first.
     */
    static String file(String description) {
        return description
                .replaceFirst("^merge of ", "")
                .replaceFirst(",.*", "")
                .replaceFirst(": \\d+(-\\d+)?$", "");
    }

    private String read(Path file, Path from, int line) {
        String asked = from == null ? file.toString() : from.toString();
        int at = Math.max(1, line);
        if (++fileCount > MAX_FILES) {
            errors.add(
                    new ValidationError(
                            asked,
                            at,
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
            return decoded(file.toString(), bytes);
        } catch (IOException e) {
            errors.add(
                    new ValidationError(
                            asked,
                            at,
                            "",
                            (from == null
                                            ? "can't be read: "
                                            : "include of " + file + " can't be read: ")
                                    + (Files.exists(file) ? e.getMessage() : "no such file")));
            return null;
        }
    }

    private String decoded(String name, byte[] bytes) {
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
        // A mark of the byte order is no part of the text.
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

    private static int lineAfter(String before) {
        return 1 + (int) before.chars().filter(c -> c == '\n').count();
    }

    /**
     * Finds settings that a file gives twice. The parser keeps the last and says nothing; but its
     * document, told to set a value, sets the last and drops those before it: where the text up to
     * the new value has changed, there was one. Not found: {@code a.b = 1} beside {@code a { b = 1
     * }}, which are two paths to the document; the last one counts.
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
                String set = document.withValueText(key, placeholder).render();
                String before = set.substring(0, Math.max(0, set.indexOf(placeholder)));
                if (!text.startsWith(before)) {
                    int same = 0;
                    while (before.charAt(same) == text.charAt(same)) {
                        same++;
                    }
                    errors.add(
                            new ValidationError(
                                    name,
                                    entry.getValue().origin().lineNumber(),
                                    key,
                                    "given twice, first on line "
                                            + lineAfter(text.substring(0, same))
                                            + ": must be given once"));
                }
            }
            path.remove(path.size() - 1);
        }
    }

    /** Finds what an include names, beside the file that it stands in. */
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
        public ConfigObject include(ConfigIncludeContext context, String what) {
            Path from = includeStack.peek();
            ConfigObject found = parse(from.resolveSibling(what), from, line(from, what));
            return found == null ? ConfigFactory.empty().root() : found;
        }

        @Override
        public ConfigObject includeFile(ConfigIncludeContext context, File what) {
            return include(context, what.getPath());
        }

        @Override
        public ConfigObject includeURL(ConfigIncludeContext context, URL what) {
            return refused(what.toString());
        }

        @Override
        public ConfigObject includeResources(ConfigIncludeContext context, String what) {
            return refused(what);
        }

        private ConfigObject refused(String what) {
            Path from = includeStack.peek();
            errors.add(
                    new ValidationError(
                            from.toString(),
                            line(from, what),
                            "",
                            "include of " + what + ": must be a file"));
            return ConfigFactory.empty().root();
        }

        /**
         * The line of the include: the parser does not say it. Of several of one name, each time
         * the next.
         */
        private int line(Path from, String what) {
            List<Integer> lines =
                    lastLines.computeIfAbsent(from + "\n" + what, k -> includes(from, what));
            return lines.size() > 1 ? lines.remove(0) : lines.isEmpty() ? 1 : lines.get(0);
        }

        private List<Integer> includes(Path from, String what) {
            List<Integer> lines = new ArrayList<>();
            try {
                List<String> all = Files.readAllLines(from);
                for (int i = 0; i < all.size(); i++) {
                    if (all.get(i).contains("include") && all.get(i).contains(what)) {
                        lines.add(i + 1);
                    }
                }
            } catch (IOException e) {
                // Gone since it was read: the first line stands for it.
            }
            return lines;
        }
    }
}
