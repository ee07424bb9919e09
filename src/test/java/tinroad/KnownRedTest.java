package tinroad;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Tests which failures CI ignores: runs {@code .ci/KnownRed.java} as a separate process on
 * generated test reports.
 */
class KnownRedTest {
    private static final String LISTED_FAILURE =
            "ATest#red | mvn verify, seed 3 | the clock goes back | issue 7";

    @TempDir Path dir;

    @BeforeEach
    void createReportsOfTwoClassesWithOneFailure() throws IOException {
        Files.createDirectories(dir.resolve("reports"));
        Files.createDirectories(dir.resolve("src/a"));
        report(
                "a.ATest",
                test("a.ATest", "green", "<system-out><![CDATA[<failure/>]]></system-out>"),
                test("a.ATest", "red", "<failure message=\"no\">at</failure>"));
        report(
                "a.BTest",
                test("a.BTest", "green(Path)[1]", ""),
                test("a.BTest", "green(Path)[2]", ""));
    }

    private static String test(String type, String name, String outcome) {
        return "<testcase name=\""
                + name
                + "\" classname=\""
                + type
                + "\" time=\"0.1\">"
                + outcome
                + "</testcase>";
    }

    private void report(String type, String... tests) throws IOException {
        Files.writeString(dir.resolve("src").resolve(type.replace('.', '/') + ".java"), "");
        Files.writeString(
                dir.resolve("reports").resolve("TEST-" + type + ".xml"),
                "<?xml version=\"1.0\" encoding=\"UTF-8\"?><testsuite>"
                        + String.join("", tests)
                        + "</testsuite>");
    }

    /** Runs the program with these lines as the list; returns its exit status and its output. */
    private List<String> resultOfList(String... lines) throws IOException, InterruptedException {
        Path list = Files.write(dir.resolve("KNOWN-RED.txt"), List.of(lines));
        return run(
                list.toString(), dir.resolve("reports").toString(), dir.resolve("src").toString());
    }

    private static List<String> run(String... arguments) throws IOException, InterruptedException {
        List<String> command =
                Stream.concat(
                                Stream.of(
                                        Path.of(System.getProperty("java.home"), "bin", "java")
                                                .toString(),
                                        ".ci/KnownRed.java"),
                                Stream.of(arguments))
                        .toList();
        Process process = new ProcessBuilder(command).redirectErrorStream(true).start();
        String out = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        return Stream.concat(Stream.of(Integer.toString(process.waitFor())), out.lines()).toList();
    }

    @Test
    void ignoresOnlyTheListedFailureAndPrintsIt() throws Exception {
        assertEquals(
                List.of("0", "known red: passed over: " + LISTED_FAILURE),
                resultOfList(LISTED_FAILURE));
    }

    @Test
    void failsOnEveryOtherFailure() throws Exception {
        report(
                "a.BTest",
                test("a.BTest", "green(Path)[1]", ""),
                test("a.BTest", "green(Path)[2]", "<error/>"),
                test("a.BTest", "", "<error/>"));
        assertEquals(
                List.of(
                        "1",
                        "known red: passed over: " + LISTED_FAILURE,
                        "known red: FAULT: red and not listed: a.BTest#green",
                        "known red: FAULT: red and not listed: a.BTest#"),
                resultOfList(LISTED_FAILURE));
        assertEquals("1", resultOfList().get(0));
    }

    @Test
    void reportsAListedTestThatPasses() throws Exception {
        String passes = "BTest#green | mvn verify, seed 3 | the clock goes back | issue 7";
        assertEquals(
                List.of(
                        "0",
                        "known red: passed over: " + LISTED_FAILURE,
                        "known red: PASSES, take it off the list: " + passes),
                resultOfList(LISTED_FAILURE, passes));
    }

    @Test
    void failsOnAListedTestThatIsMissingOrSkippedOrAmbiguous() throws Exception {
        report("a.BTest", test("a.BTest", "green", "<skipped/>"));
        Files.createDirectories(dir.resolve("src/b"));
        report("b.ATest", test("b.ATest", "red", ""));
        assertEquals(
                List.of(
                        "1",
                        "known red: FAULT: no such test ran: ATest#gone",
                        "known red: FAULT: skipped, not failed: BTest#green",
                        "known red: FAULT: more than one test is meant: ATest#red",
                        "known red: FAULT: red and not listed: a.ATest#red"),
                resultOfList(
                        "ATest#gone | mvn verify | left | issue 7",
                        "BTest#green | mvn verify | left | issue 7",
                        LISTED_FAILURE));
    }

    @Test
    void failsOnAMalformedList() throws Exception {
        String form = "Class#method | command and seed | what was seen | issue N";
        List<String> malformed =
                List.of(
                        "",
                        "ATest#red: the clock goes back, issue 7",
                        "ATest#red | mvn verify | issue 7",
                        "ATest#red | | the clock goes back | issue 7",
                        "ATest#red | mvn verify | the clock goes back | no issue");
        List<String> expected = new ArrayList<>(List.of("1"));
        malformed.forEach(
                line ->
                        expected.add(
                                "known red: FAULT: a line out of form ("
                                        + form
                                        + "): '"
                                        + line
                                        + "'"));
        expected.add("known red: FAULT: listed twice: ATest#red");
        expected.add("known red: FAULT: 7 lines, 3 at most");
        List<String> lines = new ArrayList<>(malformed);
        lines.addAll(List.of(LISTED_FAILURE, LISTED_FAILURE));
        assertEquals(expected, run(Files.write(dir.resolve("KNOWN-RED.txt"), lines).toString()));
    }

    /**
     * A test process that exits early writes no report of the class that it was running, nor of
     * those after it.
     */
    @Test
    void failsOnAClassWithoutAReport() throws Exception {
        Files.writeString(dir.resolve("src/a/CTest.java"), "");
        Files.writeString(dir.resolve("reports/TEST-a.BTest.xml"), "<testsuite><testcase");
        assertEquals(
                List.of(
                        "1",
                        "known red: passed over: " + LISTED_FAILURE,
                        "known red: FAULT: a report that can't be read: TEST-a.BTest.xml",
                        "known red: FAULT: no report of a.CTest"),
                resultOfList(LISTED_FAILURE));
    }
}
