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
 * How two processes of one gateway that listen on one address (SO_REUSEPORT) know of each other: by
 * two files in a directory that they share. One names the process that began to listen last; a
 * process that finds another's name there has been replaced. The other is locked by the older
 * process; the system releases the lock however that process ends.
 *
 * <p>{@link #recordListening} is called on the thread that starts the node, {@link #isShared} on
 * the one that waits for its end, {@link #isReplaced} on any; none on the event loop, as all touch
 * files.
 */
final class ListenerHandover implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger("server");
    private static final String FILE_PREFIX = "tinroad-";
    private static final String LATEST_SUFFIX = ".latest";
    private static final String LOCK_SUFFIX = ".lock";

    /** Holds the id of the process that began to listen last; null without a directory. */
    private final Path latestFile;

    private final Path lockFile;

    private final String processId = UUID.randomUUID().toString();

    /** Open while this process has the lock. */
    private FileChannel lockChannel;

    private volatile boolean listening;

    /**
     * Where the processes of gateway {@code name} find each other.
     *
     * @param directory null or empty where there is none: then this process counts as alone
     */
    ListenerHandover(String directory, String name) {
        boolean hasDirectory = directory != null && !directory.isEmpty();
        latestFile = hasDirectory ? Path.of(directory, FILE_PREFIX + name + LATEST_SUFFIX) : null;
        lockFile = hasDirectory ? Path.of(directory, FILE_PREFIX + name + LOCK_SUFFIX) : null;
    }

    /** Names this process as the last that began to listen. */
    void recordListening() {
        listening = true;
        if (latestFile != null) {
            try {
                Files.writeString(latestFile, processId);
            } catch (IOException e) {
                LOG.warn("can't record this process as the last listener: {}", e.toString());
            }
        }
    }

    /** Whether another process began to listen after this one. */
    boolean isReplaced() {
        try {
            // Guards a process whose shutdown notice comes after it listens and before its name is
            // written: the process named there is older.
            return listening
                    && latestFile != null
                    && !Files.readString(latestFile).equals(processId);
        } catch (IOException e) {
            // A successor would have written the file: there is none.
            return false;
        }
    }

    /** Whether two processes serve: this one was replaced, or the one before it still runs. */
    boolean isShared() {
        return isReplaced() || !isOldest();
    }

    /** Whether no older process is left; from then on younger ones see this one. */
    private boolean isOldest() {
        if (lockFile == null || lockChannel != null) {
            return true;
        }
        try {
            FileChannel channel =
                    FileChannel.open(lockFile, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
            if (tryLock(channel)) {
                lockChannel = channel;
            } else {
                channel.close();
            }
            return lockChannel != null;
        } catch (IOException e) {
            // Nothing is known of other processes: it serves as one that is alone.
            return true;
        }
    }

    private static boolean tryLock(FileChannel channel) throws IOException {
        try {
            return channel.tryLock() != null;
        } catch (OverlappingFileLockException e) {
            // Another gateway object in this process has it, as in tests.
            return false;
        }
    }

    /** Releases the lock. */
    @Override
    public void close() {
        try {
            if (lockChannel != null) {
                lockChannel.close();
            }
        } catch (IOException e) {
            LOG.warn("can't release {}: {}", lockFile, e.toString());
        }
    }
}
