package tinroad.node;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.UUID;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Which process of a gateway was the last to listen, and whether there is another: told by files in
 * the directory that they share. A process that finds another named there was replaced while it
 * served; the one that came first holds a lock, which the system lets go however that process ends.
 */
final class ListenerHandover implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger("server");

    private final Path file;
    private final Path lock;
    private final String self = UUID.randomUUID().toString();
    private FileChannel held;
    private volatile boolean taken;

    /**
     * The processes named {@code name} that share {@code directory}; null where there is none to
     * share.
     */
    ListenerHandover(String directory, String name) {
        boolean shared = directory != null && !directory.isEmpty();
        file = shared ? Path.of(directory, "tinroad-" + name + ".latest") : null;
        lock = shared ? Path.of(directory, "tinroad-" + name + ".lock") : null;
    }

    /** This process listens now. */
    void take() {
        taken = true;
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
            // Guards a process whose notice comes between its listening and its word: the one named
            // was there before.
            return taken && file != null && !Files.readString(file).equals(self);
        } catch (IOException e) {
            // Nobody can have told so: it leaves as a process that has no successor.
            return false;
        }
    }

    /** Whether there are two: this process was replaced, or the one before it still lives. */
    boolean shared() {
        return passedOn() || !first();
    }

    /**
     * Whether no process that came before this one is left; from then on later ones see this one.
     */
    private boolean first() {
        if (lock == null || held != null) {
            return true;
        }
        try {
            FileChannel channel =
                    FileChannel.open(lock, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
            held = locked(channel) ? channel : null;
            if (held == null) {
                channel.close();
            }
            return held != null;
        } catch (IOException e) {
            // Nobody can tell: it serves as a process that is alone.
            return true;
        }
    }

    private static boolean locked(FileChannel channel) throws IOException {
        try {
            return channel.tryLock() != null;
        } catch (OverlappingFileLockException e) {
            // Another gateway object of this very process holds it, as in tests.
            return false;
        }
    }

    @Override
    public void close() {
        try {
            if (held != null) {
                held.close();
            }
        } catch (IOException e) {
            LOG.warn("can't let go of {}: {}", lock, e.toString());
        }
    }
}
