package tinroad.changelog;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.channels.Channels;
import java.nio.channels.FileChannel;
import java.nio.file.DirectoryStream;
import java.nio.file.FileAlreadyExistsException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.NotDirectoryException;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import tinroad.catalog.CatalogChange;
import tinroad.config.ValidationErrors;
import tinroad.state.DurableFiles;

/**
 * Reads and writes the files of a change log. A change is written to a temporary file, forced to
 * the disk, and linked to its final name. So a file with the final name is always complete, and
 * only the first of two publishers gets the name. Old changes are deleted, so that the folder does
 * not grow without bound. The methods block. Can be used by any thread and any process.
 */
public final class ChangeLogStore {
    /** Number of changes retained by default: those of some hours at 2,400 changes per day. */
    public static final int DEFAULT_KEPT_CHANGES = 512;

    private static final String TEMPORARY_SUFFIX = ".part";

    private final Path folder;
    private final int maxChanges;

    /**
     * Creates a log in {@code folder}. Appending retains the newest {@code maxChanges}, at least 1.
     */
    public ChangeLogStore(Path folder, int maxChanges) {
        this.folder = folder;
        this.maxChanges = Math.max(1, maxChanges);
    }

    /** A change that was read, and the errors in its entries. */
    public record ChangeReadResult(CatalogChange change, ValidationErrors errors) {}

    /** Returns the positions of all changes in the log, in order. */
    public List<LogPosition> positions() throws IOException {
        List<LogPosition> found = new ArrayList<>();
        try (DirectoryStream<Path> files = Files.newDirectoryStream(folder)) {
            for (Path file : files) {
                LogPosition.parse(file.getFileName().toString()).ifPresent(found::add);
            }
        } catch (NotDirectoryException e) {
            throw new NoSuchFileException(folder.toString());
        }
        found.sort(null);
        return found;
    }

    /**
     * Reads the change at this position.
     *
     * @throws CorruptChangeException if the file does not contain it
     */
    public ChangeReadResult read(LogPosition position) throws IOException {
        try (InputStream in = open(position)) {
            return ChangeCodec.read(in, position);
        }
    }

    /**
     * Reads the change at this position without its entries, but with the content hashes before and
     * after it.
     */
    CatalogChange readHashes(LogPosition position) throws IOException {
        try (InputStream in = open(position)) {
            return ChangeCodec.readHashes(in);
        }
    }

    /**
     * Returns the latest position at which the content had this hash. Empty if no change in the log
     * leads to it or follows it.
     */
    Optional<LogPosition> locate(String hash) throws IOException {
        List<LogPosition> positions = positions();
        for (int i = positions.size() - 1; i >= 0; i--) {
            LogPosition position = positions.get(i);
            try {
                CatalogChange change = readHashes(position);
                if (hash.equals(change.hashAfter())) {
                    return Optional.of(position);
                }
                if (hash.equals(change.hashBefore())) {
                    return Optional.of(new LogPosition(position.epoch(), position.number() - 1));
                }
            } catch (CorruptChangeException | NoSuchFileException e) {
                // A corrupt change is reported when it is the next one to apply; a missing one was
                // pruned meanwhile.
            }
        }
        return Optional.empty();
    }

    private InputStream open(LogPosition position) throws IOException {
        Path file = folder.resolve(position.fileName());
        if (Files.size(file) > ChangeCodec.MAX_BYTES) {
            throw new CorruptChangeException(
                    "it is longer than " + ChangeCodec.MAX_BYTES + " bytes");
        }
        return new BufferedInputStream(
                Channels.newInputStream(FileChannel.open(file, StandardOpenOption.READ)));
    }

    /** Returns the stamp of the file of this change; empty if it does not exist. */
    Optional<FileStamp> stamp(LogPosition position) throws IOException {
        return FileStamp.of(folder.resolve(position.fileName()));
    }

    /** Returns the stamp of the folder; empty if it does not exist. */
    Optional<FileStamp> stamp() throws IOException {
        return FileStamp.of(folder);
    }

    /**
     * Appends the change that follows the newest one. Returns only once it is on the disk.
     *
     * @throws IOException with the reason if the change can't be appended, for example because it
     *     does not follow the newest one or another publisher took its number
     */
    public void append(CatalogChange change) throws IOException {
        Files.createDirectories(folder);
        LogPosition position = new LogPosition(change.epoch(), change.number());
        List<LogPosition> positions = positions();
        if (!positions.isEmpty()) {
            checkFollows(position, change, positions.get(positions.size() - 1));
        }
        link(position, ChangeCodec.write(change));
        prune();
    }

    private void checkFollows(LogPosition position, CatalogChange change, LogPosition newest)
            throws IOException {
        if (newest.compareTo(position) >= 0) {
            throw new ChangeConflictException(
                    position, "is taken, or its epoch is over: the newest is " + newest);
        }
        if (!position.follows(newest)) {
            throw new ChangeConflictException(position, "does not follow the newest, " + newest);
        }
        if (position.epoch() > newest.epoch()) {
            // A higher epoch may follow another content: this is how a log that was corrupted or
            // rolled back is repaired.
            return;
        }
        String newestHash = hashAfter(newest);
        if (!newestHash.equals(change.hashBefore())) {
            throw new ChangeConflictException(
                    position,
                    "leads on from content "
                            + change.hashBefore()
                            + ", and the newest, "
                            + newest
                            + ", led to "
                            + newestHash);
        }
    }

    private String hashAfter(LogPosition newest) throws IOException {
        try {
            return read(newest).change().hashAfter();
        } catch (CorruptChangeException e) {
            throw new IOException(
                    "the newest change, " + newest + ", is damaged: " + e.getMessage(), e);
        }
    }

    private void link(LogPosition position, byte[] bytes) throws IOException {
        Path temporary =
                folder.resolve(position.fileName() + "-" + UUID.randomUUID() + TEMPORARY_SUFFIX);
        try {
            DurableFiles.create(temporary, bytes);
            // A link instead of a rename, as a rename would replace a file that another publisher
            // wrote meanwhile.
            Files.createLink(folder.resolve(position.fileName()), temporary);
        } catch (FileAlreadyExistsException e) {
            throw new ChangeConflictException(
                    position, "was written by another publisher in the same moment");
        } finally {
            Files.deleteIfExists(temporary);
        }
        DurableFiles.forceFolder(folder);
    }

    /** Deletes all but the newest changes, and the incomplete files that killed publishers left. */
    private void prune() throws IOException {
        List<LogPosition> positions = positions();
        for (LogPosition old : positions.subList(0, Math.max(0, positions.size() - maxChanges))) {
            Files.deleteIfExists(folder.resolve(old.fileName()));
        }
        String newest = positions.get(positions.size() - 1).fileName();
        try (DirectoryStream<Path> files =
                Files.newDirectoryStream(folder, "change-*" + TEMPORARY_SUFFIX)) {
            for (Path file : files) {
                if (file.getFileName().toString().compareTo(newest) < 0) {
                    Files.deleteIfExists(file);
                }
            }
        }
    }
}
