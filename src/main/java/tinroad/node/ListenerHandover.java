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
 * Lets two processes of one gateway that listen on the same address (SO_REUSEPORT) detect each
 * other, by two files in a shared directory. The first file holds the id of the process that
 * started to listen last; a process that finds another id there has been replaced. The second file
 * is locked by the older process; the operating system releases the lock however that process ends.
 *
 * <p>{@link #recordListening} is called on the thread that starts the node, {@link #isShared} on
 * the thread that waits for its end, and {@link #isReplaced} on any thread. All of them access
 * files, so none is called on the event loop.
 */
final class ListenerHandover implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger("server");
    private static final String FILE_PREFIX = "tinroad-";
    private static final String LATEST_SUFFIX = ".latest";
    private static final String LOCK_SUFFIX = ".lock";

    /** Holds the id of the process that started to listen last; null without a directory. */
    private final Path latestFile;

    /** Locked by the older of two processes; null without a directory. */
    private final Path lockFile;

    private final String processId = UUID.randomUUID().toString();

    /** Open while this process holds the lock, otherwise null. */
    private FileChannel lockChannel;

    private volatile boolean listening;

    /**
     * Creates the handover of the processes of gateway {@code name}.
     *
     * @param directory directory in which they find each other; null or empty if there is none, in
     *     which case this process counts as the only one
     */
    ListenerHandover(String directory, String name) {
        boolean hasDirectory = directory != null && !directory.isEmpty();
        latestFile = hasDirectory ? Path.of(directory, FILE_PREFIX + name + LATEST_SUFFIX) : null;
        lockFile = hasDirectory ? Path.of(directory, FILE_PREFIX + name + LOCK_SUFFIX) : null;
    }

    /** Records this process as the one that started to listen last. */
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

    /** Whether another process started to listen after this one. */
    boolean isReplaced() {
        try {
            // Until this process has recorded itself, the file names an older process. A shutdown
            // notice that arrives in that time must not count as a replacement.
            return listening
                    && latestFile != null
                    && !Files.readString(latestFile).equals(processId);
        } catch (IOException e) {
            // A successor would have written the file, so there is none.
            return false;
        }
    }

    /** Whether two processes serve: this one was replaced, or its predecessor still runs. */
    boolean isShared() {
        return isReplaced() || !isOldest();
    }

    /**
     * Whether no older process is left. If there is a shared directory, this process then tries to
     * hold the lock, by which younger ones detect it.
     */
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
            // Other processes can't be detected, so this one serves as if it were the only one.
            return true;
        }
    }

    /**
     * Whether this process is known to have outlived every older one; not so without a directory.
     */
    boolean isKnownAsOldest() {
        return lockChannel != null;
    }

    private static boolean tryLock(FileChannel channel) throws IOException {
        try {
            return channel.tryLock() != null;
        } catch (OverlappingFileLockException e) {
            // Another gateway object in this process holds the lock, as happens in tests.
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
