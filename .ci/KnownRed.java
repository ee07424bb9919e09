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
 * Compares a run of all tests with KNOWN-RED.txt, the list of tests that fail because of a known fault that is not fixed yet. Only
 * failures of these tests are ignored. An entry is one line: {@code Class#method | command and seed | what was seen | issue N}. The
 * list must not hide anything else, so these are errors: a malformed line, too many lines, a listed test that did not run, a failed test
 * that is not listed, and a class without a report because its test process exited.
 *
 *     java .ci/KnownRed.java KNOWN-RED.txt                                        checks only the format of the list
 *     java .ci/KnownRed.java KNOWN-RED.txt target/surefire-reports src/test/java  checks everything
 *
 * Exit status: 0 if no test failed except listed ones, 1 if there are errors, each printed as one line.
 */
final class KnownRed {
    private static final int MAX_ENTRIES = 3;
    private static final String FORM = "Class#method | command and seed | what was seen | issue N";
    private static final Pattern ENTRY =
            Pattern.compile("([\\w.$]+#[\\w$]+) \\| [^|\\s][^|]* \\| [^|\\s][^|]* \\| issue \\d+");

    private enum Outcome { PASSED, SKIPPED, FAILED }

    private final List<String> faults = new ArrayList<>();
    /** The listed tests, each with its complete line. */
    private final Map<String, String> entries = new LinkedHashMap<>();
    /** The outcome of every test that ran, by package, class and method; the worst one if a method ran more than once. */
    private final Map<String, Outcome> outcomes = new LinkedHashMap<>();

    public static void main(String[] args) throws IOException {
        KnownRed run = new KnownRed();
        run.readList(Path.of(args[0]));
        if (args.length == 3) {
            run.readReports(Path.of(args[1]), Path.of(args[2]));
            run.compare();
        }
        run.faults.forEach(fault -> System.out.println("known red: FAULT: " + fault));
        System.exit(run.faults.isEmpty() ? 0 : 1);
    }

    private void readList(Path file) throws IOException {
        List<String> lines = Files.readAllLines(file);
        for (String line : lines) {
            Matcher matcher = ENTRY.matcher(line);
            if (!matcher.matches()) {
                faults.add("a line out of form (" + FORM + "): '" + line + "'");
            } else if (entries.put(matcher.group(1), line) != null) {
                faults.add("listed twice: " + matcher.group(1));
            }
        }
        if (lines.size() > MAX_ENTRIES) {
            faults.add(lines.size() + " lines, " + MAX_ENTRIES + " at most");
        }
    }

    private void readReports(Path folder, Path sources) throws IOException {
        TreeSet<Path> files = new TreeSet<>();
        if (Files.isDirectory(folder)) {
            try (Stream<Path> all = Files.list(folder)) {
                all.filter(file -> file.getFileName().toString().matches("TEST-.*\\.xml")).forEach(files::add);
            }
        }
        for (Path file : files) {
            try (InputStream in = Files.newInputStream(file)) {
                readReport(in);
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

    private void readReport(InputStream in) throws XMLStreamException {
        XMLInputFactory factory = XMLInputFactory.newFactory();
        factory.setProperty(XMLInputFactory.SUPPORT_DTD, false);
        XMLStreamReader report = factory.createXMLStreamReader(in);
        String test = null;
        while (report.hasNext()) {
            if (report.next() != XMLStreamConstants.START_ELEMENT) {
                continue;
            }
            switch (report.getLocalName()) {
                // The name is empty if the set-up of a class failed. Arguments and the number of a repetition follow a method's name.
                case "testcase" -> addOutcome(test = report.getAttributeValue(null, "classname") + "#"
                        + report.getAttributeValue(null, "name").replaceAll("[^\\w$].*", ""), Outcome.PASSED);
                case "failure", "error" -> addOutcome(test, Outcome.FAILED);
                case "skipped" -> addOutcome(test, Outcome.SKIPPED);
                default -> { }
            }
        }
    }

    private void addOutcome(String test, Outcome outcome) {
        outcomes.merge(test, outcome, (one, other) -> one.compareTo(other) > 0 ? one : other);
    }

    private void compare() {
        List<String> ignored = new ArrayList<>();
        entries.forEach((name, line) -> {
            List<String> matches = outcomes.keySet().stream().filter(test -> test.equals(name) || test.endsWith("." + name)).toList();
            if (matches.size() != 1) {
                faults.add((matches.isEmpty() ? "no such test ran: " : "more than one test is meant: ") + name);
                return;
            }
            switch (outcomes.get(matches.get(0))) {
                case FAILED -> System.out.println("known red: passed over: " + line);
                case PASSED -> System.out.println("known red: PASSES, take it off the list: " + line);
                default -> faults.add("skipped, not failed: " + name);
            }
            ignored.addAll(matches);
        });
        outcomes.forEach((test, outcome) -> {
            if (outcome == Outcome.FAILED && !ignored.contains(test)) {
                faults.add("red and not listed: " + test);
            }
        });
    }
}
