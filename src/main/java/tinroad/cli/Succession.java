package tinroad.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.UUID;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Which process of a gateway was the last to listen: told by a file in the directory that they share. A process that
 * finds another named there was replaced while it served.
 */
final class Succession {
    private static final Logger LOG = LoggerFactory.getLogger("server");

    private final Path file;
    private final String self = UUID.randomUUID().toString();

    /** The processes named {@code name} that share {@code directory}; null where there is none to share. */
    Succession(String directory, String name) {
        file = directory == null || directory.isEmpty() ? null : Path.of(directory, "tinroad-" + name + ".latest");
    }

    /** This process listens now. */
    void take() {
        if (file != null) {
            try {
                Files.writeString(file, self);
            } catch (IOException e) {
                LOG.warn("can't tell that this process listens: {}", e.toString());
            }
        }
    }

    /** Whether another process listened later. */
    boolean passedOn() {
        try {
            return file != null && !Files.readString(file).equals(self);
        } catch (IOException e) {
            // Nobody can have told so: it leaves as a process that has no successor.
            return false;
        }
    }
}
