package tinroad.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.UUID;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Tests which of two processes of one gateway counts as replaced, and when they share the limits.
 */
class ListenerHandoverTest {
    @TempDir Path directory;

    private ListenerHandover process() {
        return new ListenerHandover(directory.toString(), "n3");
    }

    @Test
    void laterListenerReplacesTheEarlierOneAndSharesUntilThatEnds() {
        try (ListenerHandover later = process()) {
            try (ListenerHandover earlier = process()) {
                earlier.recordListening();
                assertFalse(earlier.isShared());
                assertTrue(later.isShared());
                assertFalse(later.isReplaced(), "it does not listen yet");
                later.recordListening();
                assertTrue(earlier.isReplaced());
                assertTrue(earlier.isShared());
                assertFalse(later.isReplaced());
                assertTrue(later.isShared());
            }
            assertFalse(later.isShared());
        }
    }

    @Test
    void filesHaveTheNamesAndTheContentThatOtherReleasesRead() throws IOException {
        try (ListenerHandover handover = process()) {
            handover.recordListening();
            assertFalse(handover.isShared());
            try (Stream<Path> files = Files.list(directory)) {
                assertEquals(
                        Stream.of("tinroad-n3.latest", "tinroad-n3.lock").toList(),
                        files.map(file -> file.getFileName().toString()).sorted().toList());
            }
            String latest = Files.readString(directory.resolve("tinroad-n3.latest"));
            assertEquals(latest, UUID.fromString(latest).toString());
            assertEquals(0, Files.size(directory.resolve("tinroad-n3.lock")));
        }
    }

    @Test
    void processWithoutADirectoryCountsAsAlone() {
        for (String none : new String[] {null, ""}) {
            try (ListenerHandover handover = new ListenerHandover(none, "n3")) {
                handover.recordListening();
                assertFalse(handover.isReplaced());
                assertFalse(handover.isShared());
            }
        }
    }
}
