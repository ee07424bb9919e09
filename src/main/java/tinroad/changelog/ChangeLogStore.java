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
 * The files of a change log. A change is written to a temporary file, forced to the disk, and
 * linked to its name: a name stands for a complete file or for none, and only the first of two
 * publishers gets it. Guards against two publishers, and against a folder that grows for ever.
 * Blocks; any thread, any process.
 */
public final class ChangeLogStore {
    /** Changes that are kept by default: some hours at 2,400 a day. */
    public static final int DEFAULT_KEPT_CHANGES = 512;

    private static final String TEMPORARY_SUFFIX = ".part";

    private final Path folder;
    private final int maxChanges;

    /** A log in {@code folder}; an append keeps the newest {@code maxChanges}, at least 1. */
    public ChangeLogStore(Path folder, int maxChanges) {
        this.folder = folder;
        this.maxChanges = Math.max(1, maxChanges);
    }

    /** A change that was read, with what is invalid in it. */
    public record ChangeReadResult(CatalogChange change, ValidationErrors errors) {}

    /** All positions that there are, in order. */
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
     * The change at this position.
     *
     * @throws CorruptChangeException where the file holds none
     */
    public ChangeReadResult read(LogPosition at) throws IOException {
        try (InputStream in = open(at)) {
            return ChangeCodec.read(in, at);
        }
    }

    /** The change at this position without its entries: the content hashes before and after. */
    CatalogChange readHashes(LogPosition at) throws IOException {
        try (InputStream in = open(at)) {
            return ChangeCodec.readHashes(in);
        }
    }

    /**
     * The latest position at which the content had this hash; empty where no change that is there
     * leads to it or from it.
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
                // Reported when it is the next one, or pruned in this moment.
            }
        }
        return Optional.empty();
    }

    private InputStream open(LogPosition at) throws IOException {
        Path file = folder.resolve(at.fileName());
        if (Files.size(file) > ChangeCodec.MAX_BYTES) {
            throw new CorruptChangeException(
                    "it is longer than " + ChangeCodec.MAX_BYTES + " bytes");
        }
        return new BufferedInputStream(
                Channels.newInputStream(FileChannel.open(file, StandardOpenOption.READ)));
    }

    /** The stamp of the file of this change; empty where there is none. */
    Optional<FileStamp> stamp(LogPosition at) throws IOException {
        return FileStamp.of(folder.resolve(at.fileName()));
    }

    /** The stamp of the folder; empty where there is none. */
    Optional<FileStamp> stamp() throws IOException {
        return FileStamp.of(folder);
    }

    /**
     * Appends the change that follows the newest one; returns only once it is on the disk.
     *
     * @throws IOException that says why it can't be appended: it does not follow the newest, or
     *     another publisher took its number
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
            // A higher epoch may follow another content: that is how a log that was corrupted or
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
            // Not a rename, which would replace what another publisher wrote in the same moment.
            Files.createLink(folder.resolve(position.fileName()), temporary);
        } catch (FileAlreadyExistsException e) {
            throw new ChangeConflictException(
                    position, "was written by another publisher in the same moment");
        } finally {
            Files.deleteIfExists(temporary);
        }
        DurableFiles.forceFolder(folder);
    }

    /** Deletes what is beyond the newest few, and what killed publishers left incomplete. */
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
