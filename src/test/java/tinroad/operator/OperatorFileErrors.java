package tinroad.operator;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Operator files with one mistake each, for tests of the reported errors. */
@SuppressWarnings("ArrayRecordComponent") // Varargs, never compared.
public final class OperatorFileErrors {
    /**
     * An operator file with a mistake.
     *
     * @param file the content of the file
     * @param line the line that the error has to name
     * @param expectedText text that the error has to contain
     */
    public record Mistake(byte[] file, int line, String expectedText) {
        Mistake(String file, int line, String expectedText) {
            this(file.getBytes(StandardCharsets.UTF_8), line, expectedText);
        }

        /** Writes the file. */
        public void writeTo(Path path) throws IOException {
            Files.write(path, file);
        }
    }

    private OperatorFileErrors() {}

    /** Returns all such files. */
    public static List<Mistake> all() {
        List<Mistake> all =
                new ArrayList<>(
                        List.of(
                                new Mistake("", 1, "empty"),
                                new Mistake("# nothing\n\n// yet\n", 1, "empty"),
                                new Mistake(
                                        "log {}\nfrobnicate = 1\n",
                                        2,
                                        "frobnicate: unknown; known here: log, state, fleet,"
                                                + " catalog"),
                                new Mistake(
                                        "\nlgo { level = info }\n",
                                        2,
                                        "lgo: unknown; known here: log, state, fleet"),
                                new Mistake(
                                        "log {\n  formt = json\n}\n",
                                        2,
                                        "log.formt: unknown: is format meant?"),
                                new Mistake(
                                        "log {\n  format = xml\n}\n",
                                        2,
                                        "log.format: must be one of text, json; found \"xml\""),
                                new Mistake(
                                        "log {\n  level = loud\n}\n",
                                        2,
                                        "must be one of trace, debug, info"),
                                new Mistake("log.level = 3\n", 1, "log.level: must be one of"),
                                new Mistake(
                                        "log {\n level = null\n}\n",
                                        2,
                                        "log.level: must be one of"),
                                new Mistake(
                                        "log = json\n",
                                        1,
                                        "log: must be an object; found \"json\""),
                                new Mistake("log = [text]\n", 1, "log: must be an object"),
                                new Mistake(
                                        "log {\n levels = debug\n}\n",
                                        2,
                                        "log.levels: must be an object"),
                                new Mistake(
                                        "log.levels {\n\n engin = debug\n}\n",
                                        3,
                                        "log.levels.engin: unknown: is engine meant?"),
                                new Mistake(
                                        "log.levels {\n engine = verbose\n}\n",
                                        2,
                                        "log.levels.engine: must be one of"),
                                new Mistake(
                                        "log {\n queue = \"12\"\n}\n",
                                        2,
                                        "log.queue: must be an integer; found \"12\""),
                                new Mistake(
                                        "log {\n queue = 100.5\n}\n",
                                        2,
                                        "log.queue: must be an integer"),
                                new Mistake(
                                        "log {\n queue = -1\n}\n",
                                        2,
                                        "log.queue: must be 16 or more; found -1"),
                                new Mistake(
                                        "log {\n queue = 1e12\n}\n",
                                        2,
                                        "log.queue: must be 65536 or less"),
                                new Mistake(
                                        "log {\n queue = NaN\n}\n",
                                        2,
                                        "log.queue: must be an integer; found \"NaN\""),
                                new Mistake("log {\n queue = 1e999\n}\n", 2, "log.queue: must be"),
                                new Mistake(
                                        "log {\n flush = 5\n}\n",
                                        2,
                                        "log.flush: must be a duration, such as 250ms or 5s"),
                                new Mistake(
                                        "log {\n flush = 5 parsecs\n}\n",
                                        2,
                                        "from 10ms to 10s; found \"5 parsecs\""),
                                new Mistake(
                                        "log {\n flush = 5KiB\n}\n",
                                        2,
                                        "log.flush: must be a duration"),
                                new Mistake(
                                        "log {\n flush = -5ms\n}\n",
                                        2,
                                        "log.flush: must be a duration"),
                                new Mistake(
                                        "log {\n flush = 1e999s\n}\n",
                                        2,
                                        "log.flush: must be a duration"),
                                new Mistake(
                                        "log {\n flush = NaNs\n}\n",
                                        2,
                                        "log.flush: must be a duration"),
                                new Mistake("log {\n flush = 1h\n}\n", 2, "from 10ms to 10s"),
                                new Mistake(
                                        "log {\n level = info\n flush = 1s\n level = warn\n}\n",
                                        4,
                                        "log.level: given twice, first on line 2"),
                                new Mistake(
                                        "state {\n every = 5\n}\n",
                                        2,
                                        "state.every: must be a duration"),
                                new Mistake(
                                        "state {\n keep = 0\n}\n",
                                        2,
                                        "state.keep: must be 1 or more; found 0"),
                                new Mistake(
                                        "state {\n fodler = x\n}\n",
                                        2,
                                        "state.fodler: unknown: is folder meant?"),
                                new Mistake("state {\n oldest = 90d\n}\n", 2, "from 1s to 30d"),
                                new Mistake("fleet {\n listen = west\n}\n", 2, "fleet.listen: "),
                                new Mistake(
                                        "fleet {\n seeds = [\"127.0.0.1:1\", here]\n}\n",
                                        2,
                                        "fleet.seeds"),
                                new Mistake(
                                        "catalog {\n apply = now\n}\n",
                                        2,
                                        "catalog.apply: must be one of at-start, on-reload; found"
                                                + " \"now\""),
                                new Mistake(
                                        "catalog {\n poll = 1\n}\n",
                                        2,
                                        "catalog.poll: must be a duration"),
                                new Mistake("log {\n level = info\n", 3, "end of file"),
                                new Mistake(
                                        "log {\n level = info\n}\n}\n",
                                        4,
                                        "unbalanced close brace"),
                                new Mistake("log {\n level = \"info\n}\n", 2, "unescaped newline"),
                                new Mistake("log {\n level = ${LEVEL}\n}\n", 2, "LEVEL"),
                                new Mistake(
                                        "log { level = info }\ninclude \"absent.conf\"\n",
                                        2,
                                        "absent.conf can't be read: no such file"),
                                new Mistake(
                                        "log { level = info }\n\n"
                                                + "include url(\"http://127.0.0.1:9/x.conf\")\n",
                                        3,
                                        "must be a file"),
                                new Mistake("include \"operator.conf\"\n", 1, "more than 16 files"),
                                new Mistake(
                                        "log {\n level = info\u0007\n}\n",
                                        2,
                                        "a control character, U+0007"),
                                new Mistake(
                                        "log {\n a = " + "[".repeat(5000) + "\n}\n",
                                        2,
                                        "nested deeper than 64"),
                                new Mistake(
                                        "log {}\n" + "# filler\n".repeat(40_000),
                                        1,
                                        "longer than 256 KiB")));
        // The accented e in Latin-1 is not valid UTF-8.
        all.add(
                new Mistake(
                        "log {\n # caf\u00e9\n level = info\n}\n"
                                .getBytes(StandardCharsets.ISO_8859_1),
                        2,
                        "not UTF-8: the byte 0xe9"));
        all.add(
                new Mistake(
                        "log { level = info }".getBytes(StandardCharsets.UTF_16), 1, "not UTF-8"));
        return all;
    }
}
