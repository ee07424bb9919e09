import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import javax.xml.stream.XMLInputFactory;
import javax.xml.stream.XMLStreamConstants;
import javax.xml.stream.XMLStreamException;
import javax.xml.stream.XMLStreamReader;

/**
 * Judges a run of all tests against KNOWN-RED.txt, the list of tests that fail for a known fault that is not mended yet. Passes over just
 * these. An entry is one line: {@code Class#method | command and seed | what was seen | issue N}. Guards against a list that hides anything else: a line out of form, too many, a test that is not there, a red one beside
 * them, a class that left no report as its process ended.
 *
 *     java .ci/KnownRed.java KNOWN-RED.txt                                        the list's form alone
 *     java .ci/KnownRed.java KNOWN-RED.txt target/surefire-reports src/test/java  all of it
 *
 * Exit status: 0 nothing red but what is listed, 1 something else is wrong, a line for each.
 */
final class KnownRed {
    private static final int MAX_ENTRIES = 3;
    private static final String FORM = "Class#method | command and seed | what was seen | issue N";
    private static final Pattern ENTRY =
            Pattern.compile("([\\w.$]+#[\\w$]+) \\| [^|\\s][^|]* \\| [^|\\s][^|]* \\| issue \\d+");

    private enum Outcome { PASSED, SKIPPED, FAILED }

    private final List<String> faults = new ArrayList<>();
    /** The listed tests, each with its whole line. */
    private final Map<String, String> listed = new LinkedHashMap<>();
    /** Every test that ran, by package, class and method; the worst outcome of a method that ran more than once. */
    private final Map<String, Outcome> ran = new LinkedHashMap<>();

    public static void main(String[] args) throws IOException {
        KnownRed known = new KnownRed();
        known.list(Path.of(args[0]));
        if (args.length == 3) {
            known.reports(Path.of(args[1]), Path.of(args[2]));
            known.judge();
        }
        known.faults.forEach(fault -> System.out.println("known red: FAULT: " + fault));
        System.exit(known.faults.isEmpty() ? 0 : 1);
    }

    private void list(Path file) throws IOException {
        List<String> lines = Files.readAllLines(file);
        for (String line : lines) {
            Matcher form = ENTRY.matcher(line);
            if (!form.matches()) {
                faults.add("a line out of form (" + FORM + "): '" + line + "'");
            } else if (listed.put(form.group(1), line) != null) {
                faults.add("listed twice: " + form.group(1));
            }
        }
        if (lines.size() > MAX_ENTRIES) {
            faults.add(lines.size() + " lines, " + MAX_ENTRIES + " at most");
        }
    }

    private void reports(Path folder, Path sources) throws IOException {
        TreeSet<Path> files = new TreeSet<>();
        if (Files.isDirectory(folder)) {
            try (Stream<Path> all = Files.list(folder)) {
                all.filter(file -> file.getFileName().toString().matches("TEST-.*\\.xml")).forEach(files::add);
            }
        }
        for (Path file : files) {
            try (InputStream in = Files.newInputStream(file)) {
                read(in);
            } catch (XMLStreamException e) {
                faults.add("a report that can't be read: " + file.getFileName());
            }
        }
        try (Stream<Path> all = Files.walk(sources)) {
            all.filter(file -> file.getFileName().toString().endsWith("Test.java"))
                    .map(file -> sources.relativize(file).toString().replaceAll("\\.java$", "").replace('/', '.')).sorted()
                    .filter(name -> !files.contains(folder.resolve("TEST-" + name + ".xml")))
                    .forEach(name -> faults.add("no report of " + name));
        }
    }

    private void read(InputStream in) throws XMLStreamException {
        XMLInputFactory factory = XMLInputFactory.newFactory();
        factory.setProperty(XMLInputFactory.SUPPORT_DTD, false);
        XMLStreamReader report = factory.createXMLStreamReader(in);
        String test = null;
        while (report.hasNext()) {
            if (report.next() != XMLStreamConstants.START_ELEMENT) {
                continue;
            }
            switch (report.getLocalName()) {
                // What a class's own set-up fails at has no name; arguments and the number of a repetition follow a method's.
                case "testcase" -> note(test = report.getAttributeValue(null, "classname") + "#"
                        + report.getAttributeValue(null, "name").replaceAll("[^\\w$].*", ""), Outcome.PASSED);
                case "failure", "error" -> note(test, Outcome.FAILED);
                case "skipped" -> note(test, Outcome.SKIPPED);
                default -> { }
            }
        }
    }

    private void note(String test, Outcome outcome) {
        ran.merge(test, outcome, (one, other) -> one.compareTo(other) > 0 ? one : other);
    }

    private void judge() {
        List<String> passedOver = new ArrayList<>();
        listed.forEach((name, line) -> {
            List<String> meant = ran.keySet().stream().filter(test -> test.equals(name) || test.endsWith("." + name)).toList();
            if (meant.size() != 1) {
                faults.add((meant.isEmpty() ? "no such test ran: " : "more than one test is meant: ") + name);
                return;
            }
            switch (ran.get(meant.get(0))) {
                case FAILED -> System.out.println("known red: passed over: " + line);
                case PASSED -> System.out.println("known red: PASSES, take it off the list: " + line);
                default -> faults.add("skipped, not failed: " + name);
            }
            passedOver.addAll(meant);
        });
        ran.forEach((test, outcome) -> {
            if (outcome == Outcome.FAILED && !passedOver.contains(test)) {
                faults.add("red and not listed: " + test);
            }
        });
    }
}
