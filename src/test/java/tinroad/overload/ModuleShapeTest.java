package tinroad.overload;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/**
 * The operators' requirements on the decision classes: the deploy file lists all of them, and they
 * use no clock, network protocol or thread.
 */
class ModuleShapeTest {
    private static final Path SOURCES = Path.of("src/main/java/tinroad/overload");
    private static final Path CONTROLLER = SOURCES.resolve("OverloadController.java");

    /**
     * Files that use a {@code HashMap} without iterating over it, so that the order of its entries
     * decides nothing.
     */
    private static final Set<String> UNORDERED_LOOKUP_ONLY = Set.of("ExpiringSet.java");

    private static List<Path> decisionClasses() throws IOException {
        try (Stream<Path> files = Files.list(SOURCES)) {
            return files.filter(file -> file.toString().endsWith(".java")).sorted().toList();
        }
    }

    @Test
    void deployFileListsEveryDecisionClass() throws IOException {
        String policy =
                Files.readAllLines(Path.of("deploy/balancer.toml")).stream()
                        .filter(line -> line.startsWith("policy = "))
                        .collect(Collectors.joining());
        Set<String> listed = new TreeSet<>();
        for (Matcher path = Pattern.compile("\"([^\"]+)\"").matcher(policy); path.find(); ) {
            listed.add(path.group(1));
        }
        Set<String> present =
                decisionClasses().stream()
                        .filter(file -> !file.endsWith("package-info.java"))
                        .map(Path::toString)
                        .collect(Collectors.toCollection(TreeSet::new));
        assertEquals(present, listed);
    }

    @Test
    void firstLinesOfTheControllerPointToTheInterface() throws IOException {
        String head = String.join("\n", Files.readAllLines(CONTROLLER).subList(0, 5));
        assertTrue(head.contains("Controller.java"));
    }

    @Test
    void noDecisionClassUsesAProtocolClockOrThread() throws IOException {
        for (Path file : decisionClasses()) {
            String text = Files.readString(file);
            for (String word :
                    List.of(
                            "jackson",
                            "json",
                            "System.",
                            "Thread",
                            "Instant",
                            "txn",
                            "qos",
                            "telemetry",
                            "server_id",
                            "min_rank",
                            "synchronized",
                            "HashSet")) {
                assertFalse(text.contains(word), file + ": " + word);
            }
            if (!UNORDERED_LOOKUP_ONLY.contains(file.getFileName().toString())) {
                assertFalse(text.contains(" HashMap"), file + ": HashMap");
            }
        }
    }
}
