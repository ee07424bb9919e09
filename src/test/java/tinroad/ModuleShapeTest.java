package tinroad;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The module's size and independence, which the operators hold it to. */
class ModuleShapeTest {
    private static final Path MODULE = Path.of("src/main/java/tinroad/OverloadController.java");

    @Test
    void theModuleStaysSmallEnoughToPortByHand() throws IOException {
        List<String> lines = Files.readAllLines(MODULE);
        long nonBlank = lines.stream().filter(l -> !l.isBlank()).count();
        assertTrue(nonBlank <= 910, "non-blank lines: " + nonBlank);
        assertEquals(List.of(), lines.stream().filter(l -> l.length() > 110).toList());
    }

    @Test
    void itsFirstLinesPointToTheInterface() throws IOException {
        String head = String.join("\n", Files.readAllLines(MODULE).subList(0, 5));
        assertTrue(head.contains("Controller.java"));
    }

    @Test
    void itKnowsNoWireClockOrThread() throws IOException {
        String text = Files.readString(MODULE);
        for (String word : List.of("jackson", "json", "System.", "Thread", "Instant", "txn", "qos", "telemetry",
                "server_id", "min_rank", "synchronized", "HashSet", " HashMap")) {
            assertFalse(text.contains(word), word);
        }
    }
}
