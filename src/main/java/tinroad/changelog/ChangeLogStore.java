package tinroad.changelog;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.channels.Channels;
import java.nio.channels.FileChannel;
import java.nio.file.DirectoryStream;
import java.nio.file.FileAlreadyExistsException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.NotDirectoryException;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.nio.file.attribute.BasicFileAttributes;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import tinroad.catalog.CatalogChange;
import tinroad.config.ValidationErrors;

/**
 * The files of a change log. A batch is written beside, forced to the disk, and linked to its name:
 * a name stands for a whole file or for none, and is taken once, whoever comes second. Guards
 * against two publishers, and against a folder that grows for ever.
 */
public final class ChangeLogStore {
    /** Batches that are kept unless told otherwise: some hours at 2,400 a day. */
    public static final int DEFAULT_KEPT_CHANGES = 512;

    private static final String PART = ".part";

    private final Path folder;
    private final int keep;

    /** A log in {@code folder}; an append leaves the newest {@code keep}, at least 1. */
    public ChangeLogStore(Path folder, int keep) {
        this.folder = folder;
        this.keep = Math.max(1, keep);
    }

    /** A batch that was read: what can't be meant of it stands in the faults. */
    public record ChangeReadResult(CatalogChange change, ValidationErrors errors) {}

    /** All positions that there are, in order. */
    public List<LogPosition> positions() throws IOException {
        List<LogPosition> found = new ArrayList<>();
        try (DirectoryStream<Path> all = Files.newDirectoryStream(folder)) {
            for (Path file : all) {
                LogPosition p = LogPosition.of(file.getFileName().toString());
                if (p != null) {
                    found.add(p);
                }
            }
        } catch (NotDirectoryException e) {
            throw new NoSuchFileException(folder.toString());
        }
        found.sort(null);
        return found;
    }

    /** The change at this position; a {@link CorruptChangeException} where the file holds none. */
    public ChangeReadResult read(LogPosition at) throws IOException {
        try (InputStream in = open(at)) {
            return ChangeCodec.read(in, at);
        }
    }

    /**
     * The change at this position without its entries: the hashes of the contents before and after.
     */
    CatalogChange head(LogPosition at) throws IOException {
        try (InputStream in = open(at)) {
            return ChangeCodec.readHead(in);
        }
    }

    /**
     * The latest position at which the content had this hash; null where no change that is there
     * leads to it or from it.
     */
    public LogPosition locate(String hash) throws IOException {
        List<LogPosition> there = positions();
        for (int i = there.size() - 1; i >= 0; i--) {
            LogPosition at = there.get(i);
            try {
                CatalogChange c = head(at);
                if (hash.equals(c.hashAfter())) {
                    return at;
                }
                if (hash.equals(c.hashBefore())) {
                    return new LogPosition(at.epoch(), at.number() - 1);
                }
            } catch (CorruptChangeException | NoSuchFileException e) {
                // Told when it is its turn, or pruned in this moment.
            }
        }
        return null;
    }

    private InputStream open(LogPosition at) throws IOException {
        Path file = folder.resolve(at.file());
        if (Files.size(file) > ChangeCodec.LONGEST) {
            throw new CorruptChangeException("it is longer than " + ChangeCodec.LONGEST + " bytes");
        }
        return new BufferedInputStream(
                Channels.newInputStream(FileChannel.open(file, StandardOpenOption.READ)));
    }

    /** What tells whether a name stands for the same file as before; null where there is none. */
    Object stamp(LogPosition at) throws IOException {
        return stamp(folder.resolve(at.file()));
    }

    /** The same of the folder. */
    Object stamp() throws IOException {
        return stamp(folder);
    }

    private static Object stamp(Path file) throws IOException {
        try {
            BasicFileAttributes a = Files.readAttributes(file, BasicFileAttributes.class);
            return List.of(a.lastModifiedTime(), a.size(), String.valueOf(a.fileKey()));
        } catch (NoSuchFileException e) {
            return null;
        }
    }

    /**
     * Writes the change that follows the newest one; returns only once it lasts. An {@link
     * IOException} tells why not: it does not follow, or another publisher took its number.
     */
    public void append(CatalogChange c) throws IOException {
        Files.createDirectories(folder);
        LogPosition at = new LogPosition(c.epoch(), c.number());
        List<LogPosition> there = positions();
        LogPosition newest = there.isEmpty() ? null : there.get(there.size() - 1);
        if (newest != null) {
            if (newest.compareTo(at) >= 0) {
                throw new IOException(
                        "change "
                                + at
                                + " is taken, or its epoch is over: the newest is "
                                + newest);
            }
            if (!at.follows(newest)) {
                throw new IOException("change " + at + " does not follow the newest, " + newest);
            }
            // A higher epoch may go on from another content: that is how a log that was damaged or
            // rolled back is mended.
            String after = at.epoch() > newest.epoch() ? c.hashBefore() : after(newest);
            if (!after.equals(c.hashBefore())) {
                throw new IOException(
                        "change "
                                + at
                                + " leads on from content "
                                + c.hashBefore()
                                + ", and the newest, "
                                + newest
                                + ", led to "
                                + after);
            }
        }
        link(at, ChangeCodec.write(c));
        prune();
    }

    private String after(LogPosition newest) throws IOException {
        try {
            return read(newest).change().hashAfter();
        } catch (CorruptChangeException e) {
            throw new IOException(
                    "the newest change, " + newest + ", is damaged: " + e.getMessage());
        }
    }

    private void link(LogPosition at, byte[] bytes) throws IOException {
        Path part = folder.resolve(at.file() + "-" + UUID.randomUUID() + PART);
        try {
            try (FileChannel out =
                    FileChannel.open(
                            part, StandardOpenOption.CREATE_NEW, StandardOpenOption.WRITE)) {
                ByteBuffer left = ByteBuffer.wrap(bytes);
                while (left.hasRemaining()) {
                    out.write(left);
                }
                out.force(true);
            }
            // Not a rename, which would replace what another publisher wrote in the same moment.
            Files.createLink(folder.resolve(at.file()), part);
        } catch (FileAlreadyExistsException e) {
            throw new IOException(
                    "change " + at + " was written by another publisher in the same moment");
        } finally {
            Files.deleteIfExists(part);
        }
        try (FileChannel directory = FileChannel.open(folder, StandardOpenOption.READ)) {
            directory.force(true);
        }
    }

    /** Deletes what is beyond the newest few, and what killed publishers left half written. */
    private void prune() throws IOException {
        List<LogPosition> there = positions();
        for (LogPosition old : there.subList(0, Math.max(0, there.size() - keep))) {
            Files.deleteIfExists(folder.resolve(old.file()));
        }
        String newest = there.get(there.size() - 1).file();
        try (DirectoryStream<Path> parts = Files.newDirectoryStream(folder, "change-*" + PART)) {
            for (Path part : parts) {
                if (part.getFileName().toString().compareTo(newest) < 0) {
                    Files.deleteIfExists(part);
                }
            }
        }
    }
}
