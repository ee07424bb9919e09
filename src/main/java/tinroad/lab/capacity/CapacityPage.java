package tinroad.lab.capacity;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import tinroad.operator.OperatorException;
import tinroad.operator.ValidationError;

/**
 * Generates the capacity page. The tables between {@code <!-- table NAME -->} and {@code <!-- end
 * -->} and the figures in sentences between {@code <!-- figure ID -->} and {@code <!-- end -->} are
 * written from the result files. So that every figure has a source, a number anywhere else on the
 * page is an error, except in code and in the targets of links.
 */
public final class CapacityPage {
    private static final String END_MARKER = "<!-- end -->";
    private static final Pattern TABLE_MARKER = Pattern.compile("<!-- table ([a-z-]+) -->");
    private static final Pattern INLINE_FIGURE =
            Pattern.compile("<!-- figure ([a-z0-9_]+) -->(.*?)" + END_MARKER);
    private static final Pattern ANY_MARKER = Pattern.compile("<!-- (table|figure|end)\\b");
    private static final Pattern NUMBER = Pattern.compile("(?<![A-Za-z0-9_])\\d[\\d.,]*");

    /** Code spans and link targets, where numbers are allowed. */
    private static final Pattern CODE_OR_LINK_TARGET = Pattern.compile("`[^`]*`|\\]\\([^)]*\\)");

    private final Path file;
    private final Tables tables;
    private final List<String> output = new ArrayList<>();
    private final List<ValidationError> errors = new ArrayList<>();

    private CapacityPage(Path file, Tables tables) {
        this.file = file;
        this.tables = tables;
    }

    /**
     * Regenerates the tables and figures of the page. Throws with all errors found in the page, in
     * its file of formulas or in the results.
     */
    public static void write(Path page) throws OperatorException, IOException {
        CapacityPage generated = generate(page);
        if (!generated.errors.isEmpty()) {
            throw new OperatorException(generated.errors.stream().sorted().toList());
        }
        Files.writeString(page, String.join("\n", generated.output) + "\n");
    }

    /**
     * Returns the errors of the page, including the first line that differs from the generated
     * page. Throws if the file of formulas or the results have errors.
     */
    public static List<ValidationError> check(Path page) throws OperatorException, IOException {
        CapacityPage generated = generate(page);
        List<String> actualLines = Files.readAllLines(page);
        for (int i = 0; i < Math.max(actualLines.size(), generated.output.size()); i++) {
            String actual = i < actualLines.size() ? actualLines.get(i) : "the end of the page";
            String expected =
                    i < generated.output.size() ? generated.output.get(i) : "the end of the page";
            if (!actual.equals(expected)) {
                generated.addError(
                        i + 1,
                        "out of step with the results: found " + actual + "; would be " + expected);
                break;
            }
        }
        return generated.errors.stream().sorted().toList();
    }

    private static CapacityPage generate(Path page) throws OperatorException, IOException {
        Path formulaFile = page.resolveSibling("capacity.conf");
        CapacityPage generated = new CapacityPage(page, new Tables(Figures.read(formulaFile)));
        generated.generate(Files.readAllLines(page));
        return generated;
    }

    private void addError(int line, String text) {
        errors.add(new ValidationError(file.toString(), line, "", text));
    }

    private void generate(List<String> lines) {
        Set<String> tablesFound = new HashSet<>();
        boolean inCodeBlock = false;
        for (int i = 0; i < lines.size(); i++) {
            String line = lines.get(i);
            Matcher table = TABLE_MARKER.matcher(line);
            if (table.matches()) {
                output.add(line);
                i = replaceTable(lines, i, table.group(1));
                if (!tablesFound.add(table.group(1))) {
                    addError(i + 1, "the table " + table.group(1) + " appears twice");
                }
                continue;
            }
            inCodeBlock ^= line.startsWith("```");
            output.add(replaceFigures(line, i + 1));
            if (!inCodeBlock && !line.startsWith("    ")) {
                checkProse(line, i + 1);
            }
        }
        tables.tableNames().stream()
                .filter(name -> !tablesFound.contains(name))
                .forEach(name -> addError(Math.max(1, lines.size()), "has no table " + name));
    }

    /** Replaces the lines between the markers of a table; returns the index of its end marker. */
    private int replaceTable(List<String> lines, int start, String name) {
        if (tables.tableNames().contains(name)) {
            output.addAll(tables.render(name));
        } else {
            addError(
                    start + 1,
                    "no table " + name + "; there are " + String.join(", ", tables.tableNames()));
        }
        for (int i = start + 1; i < lines.size(); i++) {
            if (lines.get(i).equals(END_MARKER)) {
                output.add(END_MARKER);
                return i;
            }
            if (ANY_MARKER.matcher(lines.get(i)).find()) {
                break;
            }
        }
        addError(start + 1, "the table " + name + " has no " + END_MARKER);
        return start;
    }

    private String replaceFigures(String line, int lineNumber) {
        return INLINE_FIGURE
                .matcher(line)
                .replaceAll(
                        m -> {
                            String text = tables.inlineText(m.group(1));
                            if (text == null) {
                                addError(lineNumber, "no figure " + m.group(1));
                            }
                            return Matcher.quoteReplacement(
                                    "<!-- figure "
                                            + m.group(1)
                                            + " -->"
                                            + (text == null ? m.group(2) : text)
                                            + END_MARKER);
                        });
    }

    /** Reports a number or a stray marker outside of generated text, code and link targets. */
    private void checkProse(String line, int lineNumber) {
        String prose =
                CODE_OR_LINK_TARGET
                        .matcher(INLINE_FIGURE.matcher(line).replaceAll(""))
                        .replaceAll("]");
        Matcher found = NUMBER.matcher(prose);
        if (found.find()) {
            addError(
                    lineNumber,
                    "a number outside of the generator's output: "
                            + found.group()
                            + "; make it a row and name it by <!-- figure ID -->");
        }
        if (ANY_MARKER.matcher(prose).find()) {
            addError(lineNumber, "a marker without its counterpart: " + line.strip());
        }
    }
}
