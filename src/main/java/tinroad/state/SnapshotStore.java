package tinroad.state;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.DirectoryStream;
import java.nio.file.FileAlreadyExistsException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The files of state, and nothing decided about them. A snapshot is written beside, forced to the
 * disk and renamed, so that a name stands for a whole file or for none. Each life has a marker of
 * its own, created by one process only; a process that finds a marker above its own writes no more.
 * No lock: one that a stopped process held would stop the next one, too.
 */
public final class SnapshotStore {
    private static final Pattern SNAPSHOT = Pattern.compile("state-(\\d{19})-(\\d{19})");
    private static final Pattern MARKER = Pattern.compile("life-(\\d{19})");
    private static final String PART = ".part";
    private static final Pattern HALF = Pattern.compile("state-\\d{19}-\\d{19}\\.part");
    private static final String FENCE = "life";

    private final Path folder;
    private final Path fence;
    private final int keep;
    private long life;

    /** How bytes get to the disk; tests have it fail. */
    interface Disk {
        void write(Path file, byte[] bytes) throws IOException;
    }

    private Disk disk = SnapshotStore::force;

    /**
     * State in {@code folder}, which is made where it is not there.
     *
     * @param fence a folder elsewhere that remembers the last life, so that an older copy of this
     *     one is told; null for none
     * @param keep snapshots that are kept, at least 1
     */
    public SnapshotStore(Path folder, Path fence, int keep) {
        this.folder = folder;
        this.fence = fence;
        this.keep = Math.max(1, keep);
    }

    void disk(Disk other) {
        disk = other;
    }

    /** All snapshots that are there, whatever they are. */
    public List<SnapshotSelector.Candidate> candidates() throws IOException {
        List<SnapshotSelector.Candidate> found = new ArrayList<>();
        for (Path file : list(SNAPSHOT)) {
            try {
                found.add(
                        new SnapshotSelector.Candidate(
                                file.getFileName().toString(),
                                Files.size(file) > SnapshotCodec.MAX_BYTES
                                        ? SnapshotReadResult.not(
                                                SnapshotReadResult.RejectionReason.DAMAGED,
                                                "longer than " + SnapshotCodec.MAX_BYTES + " bytes")
                                        : SnapshotCodec.read(Files.readAllBytes(file))));
            } catch (NoSuchFileException e) {
                // Another process keeps fewer.
            }
        }
        return found;
    }

    private List<Path> list(Pattern names) throws IOException {
        List<Path> found = new ArrayList<>();
        if (Files.isDirectory(folder)) {
            try (DirectoryStream<Path> all = Files.newDirectoryStream(folder)) {
                all.forEach(
                        p -> {
                            if (names.matcher(p.getFileName().toString()).matches()) {
                                found.add(p);
                            }
                        });
            }
        }
        found.sort(Comparator.comparing(p -> p.getFileName().toString()));
        return found;
    }

    /** The highest life that a marker or a snapshot's name tells of; 0 without any. */
    public long latestMarkedIncarnation() throws IOException {
        long most = 0;
        for (Pattern names : List.of(MARKER, SNAPSHOT)) {
            for (Path file : list(names)) {
                Matcher m = names.matcher(file.getFileName().toString());
                if (m.matches()) {
                    most = Math.max(most, number(m.group(1)));
                }
            }
        }
        return most;
    }

    private static long number(String digits) {
        try {
            return Long.parseLong(digits);
        } catch (NumberFormatException e) {
            // More than any life: no name of ours.
            return 0;
        }
    }

    /** The last life that the fence knows of; 0 without one. */
    public long fencedIncarnation() throws IOException {
        Path file = fence == null ? null : fence.resolve(FENCE);
        return file == null || !Files.exists(file) ? 0 : number(Files.readString(file).strip());
    }

    /** Begins a life with a higher number than {@code last}, which no other process gets. */
    public long claimIncarnation(long last) throws IOException {
        Files.createDirectories(folder);
        for (long n = Math.max(last, 0) + 1; ; n++) {
            try {
                Files.createFile(folder.resolve(String.format("life-%019d", n)));
                life = n;
                break;
            } catch (FileAlreadyExistsException e) {
                // Another process began in the same moment.
            }
        }
        if (fence != null) {
            Files.createDirectories(fence);
            replace(fence.resolve(FENCE), (life + "\n").getBytes(StandardCharsets.US_ASCII));
        }
        for (Path marker : list(MARKER)) {
            if (marker.getFileName().toString().compareTo(String.format("life-%019d", life)) < 0) {
                Files.deleteIfExists(marker);
            }
        }
        // What a killed process left half written; one of this life may be on its way.
        for (Path part : list(HALF)) {
            if (part.getFileName().toString().compareTo(String.format("state-%019d", life)) < 0) {
                Files.deleteIfExists(part);
            }
        }
        return life;
    }

    /**
     * Saves a snapshot of this life; false where a later life has begun, and this one has nothing
     * to say any more.
     */
    public boolean save(Snapshot s) throws IOException {
        if (latestMarkedIncarnation() > life || s.incarnation() != life) {
            return false;
        }
        replace(
                folder.resolve(String.format("state-%019d-%019d", s.incarnation(), s.generation())),
                SnapshotCodec.write(s));
        List<Path> all = list(SNAPSHOT);
        for (Path old : all.subList(0, Math.max(0, all.size() - keep))) {
            Files.deleteIfExists(old);
        }
        return true;
    }

    private void replace(Path file, byte[] bytes) throws IOException {
        Path part = file.resolveSibling(file.getFileName() + PART);
        try {
            disk.write(part, bytes);
            Files.move(
                    part,
                    file,
                    StandardCopyOption.ATOMIC_MOVE,
                    StandardCopyOption.REPLACE_EXISTING);
            try (FileChannel directory =
                    FileChannel.open(file.getParent(), StandardOpenOption.READ)) {
                directory.force(true);
            }
        } catch (IOException e) {
            Files.deleteIfExists(part);
            throw e;
        }
    }

    private static void force(Path file, byte[] bytes) throws IOException {
        try (FileChannel out =
                FileChannel.open(
                        file,
                        StandardOpenOption.CREATE,
                        StandardOpenOption.WRITE,
                        StandardOpenOption.TRUNCATE_EXISTING)) {
            ByteBuffer left = ByteBuffer.wrap(bytes);
            while (left.hasRemaining()) {
                out.write(left);
            }
            out.force(true);
        }
    }
}
