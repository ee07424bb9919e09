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
 * A page whose tables are written from result files: between {@code <!-- table NAME -->} and {@code
 * <!-- end -->}, and, in a sentence, {@code <!-- figure ID -->} and {@code <!-- end -->}. Guards
 * against figures that nobody measured: outside of these, of code and of links, no number may stand
 * on it.
 */
public final class CapacityPage {
    private static final String END = "<!-- end -->";
    private static final Pattern TABLE = Pattern.compile("<!-- table ([a-z-]+) -->");
    private static final Pattern FIGURE =
            Pattern.compile("<!-- figure ([a-z0-9_]+) -->(.*?)" + END);
    private static final Pattern MARKER = Pattern.compile("<!-- (table|figure|end)\\b");
    private static final Pattern NUMBER = Pattern.compile("(?<![A-Za-z0-9_])\\d[\\d.,]*");

    /** Code, and the addresses of links. */
    private static final Pattern NO_PROSE = Pattern.compile("`[^`]*`|\\]\\([^)]*\\)");

    private final Path file;
    private final Tables tables;
    private final List<String> out = new ArrayList<>();
    private final List<ValidationError> faults = new ArrayList<>();

    private CapacityPage(Path file, Tables tables) {
        this.file = file;
        this.tables = tables;
    }

    /**
     * Writes the tables of this page anew; throws with all that is wrong in it, in its figures'
     * file or in the results.
     */
    public static void write(Path page) throws OperatorException, IOException {
        CapacityPage made = make(page);
        if (!made.faults.isEmpty()) {
            throw new OperatorException(made.faults.stream().sorted().toList());
        }
        Files.writeString(page, String.join("\n", made.out) + "\n");
    }

    /**
     * What of the page is not as it would be written, a fault for each place; throws where the
     * figures themselves are wrong.
     */
    public static List<ValidationError> check(Path page) throws OperatorException, IOException {
        CapacityPage made = make(page);
        List<String> found = Files.readAllLines(page);
        for (int i = 0; i < Math.max(found.size(), made.out.size()); i++) {
            String is = i < found.size() ? found.get(i) : "the end of the page";
            String would = i < made.out.size() ? made.out.get(i) : "the end of the page";
            if (!is.equals(would)) {
                made.fault(
                        i + 1, "out of step with the results: found " + is + "; would be " + would);
                break;
            }
        }
        return made.faults.stream().sorted().toList();
    }

    private static CapacityPage make(Path page) throws OperatorException, IOException {
        Path figures = page.resolveSibling("capacity.conf");
        CapacityPage made = new CapacityPage(page, new Tables(Figures.read(figures)));
        made.make(Files.readAllLines(page));
        return made;
    }

    private void fault(int line, String text) {
        faults.add(new ValidationError(file.toString(), line, "", text));
    }

    private void make(List<String> lines) {
        Set<String> seen = new HashSet<>();
        boolean code = false;
        for (int i = 0; i < lines.size(); i++) {
            String line = lines.get(i);
            Matcher table = TABLE.matcher(line);
            if (table.matches()) {
                out.add(line);
                i = table(lines, i, table.group(1));
                if (!seen.add(table.group(1))) {
                    fault(i + 1, "the table " + table.group(1) + " stands there twice");
                }
                continue;
            }
            code ^= line.startsWith("```");
            out.add(figures(line, i + 1));
            if (!code && !line.startsWith("    ")) {
                prose(line, i + 1);
            }
        }
        tables.names().stream()
                .filter(name -> !seen.contains(name))
                .forEach(name -> fault(Math.max(1, lines.size()), "has no table " + name));
    }

    /** Writes a table in place of what stands between its markers; returns the line of its end. */
    private int table(List<String> lines, int start, String name) {
        if (tables.names().contains(name)) {
            out.addAll(tables.table(name));
        } else {
            fault(
                    start + 1,
                    "no table " + name + "; there are " + String.join(", ", tables.names()));
        }
        for (int i = start + 1; i < lines.size(); i++) {
            if (lines.get(i).equals(END)) {
                out.add(END);
                return i;
            }
            if (MARKER.matcher(lines.get(i)).find()) {
                break;
            }
        }
        fault(start + 1, "the table " + name + " has no " + END);
        return start;
    }

    private String figures(String line, int number) {
        return FIGURE.matcher(line)
                .replaceAll(
                        m -> {
                            String text = tables.inline(m.group(1));
                            if (text == null) {
                                fault(number, "no figure " + m.group(1));
                            }
                            return Matcher.quoteReplacement(
                                    "<!-- figure "
                                            + m.group(1)
                                            + " -->"
                                            + (text == null ? m.group(2) : text)
                                            + END);
                        });
    }

    private void prose(String line, int number) {
        String rest = NO_PROSE.matcher(FIGURE.matcher(line).replaceAll("")).replaceAll("]");
        Matcher found = NUMBER.matcher(rest);
        if (found.find()) {
            fault(
                    number,
                    "a number outside of the generator's output: "
                            + found.group()
                            + "; make it a row and name it by <!-- figure ID -->");
        }
        if (MARKER.matcher(rest).find()) {
            fault(number, "a marker that begins or ends nothing: " + line.strip());
        }
    }
}
