package tinroad.state;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.DirectoryStream;
import java.nio.file.FileAlreadyExistsException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import tinroad.state.SnapshotReadResult.Rejected;
import tinroad.state.SnapshotReadResult.RejectionReason;

/**
 * Reads and writes the state files, without judging their content. A snapshot is written to a
 * temporary file, forced to the disk and renamed, so that a file with the final name is always
 * complete. Each incarnation has a marker file that only one process can create; a process that
 * finds a marker above its own stops writing. There is no lock file, because a suspended process
 * that holds a lock would block its successor. The methods block. Used by one thread at a time.
 */
public final class SnapshotStore {
    /** File name of a snapshot: its incarnation and generation. */
    private static final Pattern SNAPSHOT = Pattern.compile("state-(\\d{19})-(\\d{19})");

    /** File name of the marker of an incarnation, which the file names call a life. */
    private static final Pattern MARKER = Pattern.compile("life-(\\d{19})");

    private static final String MARKER_FORMAT = "life-%019d";
    private static final String TEMPORARY_SUFFIX = ".part";
    private static final Pattern TEMPORARY_SNAPSHOT =
            Pattern.compile("state-\\d{19}-\\d{19}\\.part");
    private static final String FENCE_FILE = "life";

    private final Path folder;
    private final Path fenceFolder;
    private final int maxSnapshots;
    private long incarnation;

    /** Writes bytes to a file; replaced in tests to simulate failures. */
    interface FileWriter {
        void write(Path file, byte[] bytes) throws IOException;
    }

    private FileWriter fileWriter = DurableFiles::overwrite;

    /**
     * Creates a store for {@code folder}, which is created when the first incarnation is claimed.
     *
     * @param fenceFolder a folder elsewhere in which the last incarnation is recorded, so that an
     *     older copy of {@code folder} is detected; null for none
     * @param maxSnapshots number of snapshots that are retained, at least 1
     */
    public SnapshotStore(Path folder, Path fenceFolder, int maxSnapshots) {
        this.folder = folder;
        this.fenceFolder = fenceFolder;
        this.maxSnapshots = Math.max(1, maxSnapshots);
    }

    void setFileWriter(FileWriter other) {
        fileWriter = other;
    }

    /** Reads all snapshot files, valid or not, sorted by file name. */
    public List<SnapshotSelector.Candidate> candidates() throws IOException {
        List<SnapshotSelector.Candidate> candidates = new ArrayList<>();
        for (Path file : listFiles(SNAPSHOT)) {
            try {
                candidates.add(
                        new SnapshotSelector.Candidate(file.getFileName().toString(), read(file)));
            } catch (NoSuchFileException e) {
                // Deleted meanwhile by a process that retains fewer snapshots.
            }
        }
        return candidates;
    }

    private static SnapshotReadResult read(Path file) throws IOException {
        return Files.size(file) > SnapshotCodec.MAX_BYTES
                ? new Rejected(
                        RejectionReason.CORRUPT,
                        "longer than " + SnapshotCodec.MAX_BYTES + " bytes")
                : SnapshotCodec.read(Files.readAllBytes(file));
    }

    private List<Path> listFiles(Pattern names) throws IOException {
        List<Path> found = new ArrayList<>();
        if (Files.isDirectory(folder)) {
            try (DirectoryStream<Path> files = Files.newDirectoryStream(folder)) {
                for (Path file : files) {
                    if (names.matcher(file.getFileName().toString()).matches()) {
                        found.add(file);
                    }
                }
            }
        }
        found.sort(Comparator.comparing(file -> file.getFileName().toString()));
        return found;
    }

    /**
     * Returns the highest incarnation in the name of a marker or a snapshot, or 0 if there is none.
     */
    public long latestMarkedIncarnation() throws IOException {
        long latest = 0;
        for (Pattern names : List.of(MARKER, SNAPSHOT)) {
            for (Path file : listFiles(names)) {
                Matcher name = names.matcher(file.getFileName().toString());
                if (name.matches()) {
                    latest = Math.max(latest, parseIncarnation(name.group(1)));
                }
            }
        }
        return latest;
    }

    private static long parseIncarnation(String digits) {
        try {
            return Long.parseLong(digits);
        } catch (NumberFormatException e) {
            // Larger than any incarnation, so this class did not write the name.
            return 0;
        }
    }

    /** Returns the last incarnation that the fence records, or 0 if there is no fence. */
    public long fencedIncarnation() throws IOException {
        if (fenceFolder == null) {
            return 0;
        }
        Path file = fenceFolder.resolve(FENCE_FILE);
        return Files.exists(file) ? parseIncarnation(Files.readString(file).strip()) : 0;
    }

    /** Claims an incarnation above {@code last} that no other process can claim, and returns it. */
    public long claimIncarnation(long last) throws IOException {
        Files.createDirectories(folder);
        incarnation = createMarker(Math.max(last, 0) + 1);
        if (fenceFolder != null) {
            Files.createDirectories(fenceFolder);
            replace(
                    fenceFolder.resolve(FENCE_FILE),
                    (incarnation + "\n").getBytes(StandardCharsets.US_ASCII));
        }
        deleteBefore(MARKER, String.format(MARKER_FORMAT, incarnation));
        // Deletes the files that killed processes left. A file of this incarnation may be in
        // progress.
        deleteBefore(TEMPORARY_SNAPSHOT, String.format("state-%019d", incarnation));
        return incarnation;
    }

    private long createMarker(long lowest) throws IOException {
        for (long candidate = lowest; ; candidate++) {
            try {
                Files.createFile(folder.resolve(String.format(MARKER_FORMAT, candidate)));
                return candidate;
            } catch (FileAlreadyExistsException e) {
                // Another process that started at the same time has claimed it.
            }
        }
    }

    private void deleteBefore(Pattern names, String firstRetained) throws IOException {
        for (Path file : listFiles(names)) {
            if (file.getFileName().toString().compareTo(firstRetained) < 0) {
                Files.deleteIfExists(file);
            }
        }
    }

    /**
     * Saves a snapshot of the claimed incarnation, and deletes the oldest ones beyond the number to
     * retain. Returns false, without saving, if a later incarnation exists.
     */
    public boolean save(Snapshot snapshot) throws IOException {
        if (latestMarkedIncarnation() > incarnation || snapshot.incarnation() != incarnation) {
            return false;
        }
        replace(
                folder.resolve(
                        String.format(
                                "state-%019d-%019d",
                                snapshot.incarnation(), snapshot.generation())),
                SnapshotCodec.write(snapshot));
        List<Path> snapshots = listFiles(SNAPSHOT);
        for (Path old : snapshots.subList(0, Math.max(0, snapshots.size() - maxSnapshots))) {
            Files.deleteIfExists(old);
        }
        return true;
    }

    private void replace(Path file, byte[] bytes) throws IOException {
        Path temporary = file.resolveSibling(file.getFileName() + TEMPORARY_SUFFIX);
        try {
            fileWriter.write(temporary, bytes);
            Files.move(
                    temporary,
                    file,
                    StandardCopyOption.ATOMIC_MOVE,
                    StandardCopyOption.REPLACE_EXISTING);
            DurableFiles.forceFolder(file.getParent());
        } catch (IOException e) {
            Files.deleteIfExists(temporary);
            throw e;
        }
    }
}
