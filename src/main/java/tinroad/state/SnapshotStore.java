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
 * The files of state; decides nothing about their content. A snapshot is written to a temporary
 * file, forced to the disk and renamed, so that a name stands for a complete file or for none. Each
 * incarnation has a marker file, created by one process only; a process that finds a marker above
 * its own stops writing. There is no lock: one held by a suspended process would stop its
 * successor, too. Blocks; used by one thread at a time.
 */
public final class SnapshotStore {
    /** Named by incarnation and generation. */
    private static final Pattern SNAPSHOT = Pattern.compile("state-(\\d{19})-(\\d{19})");

    /** Marker of an incarnation, which the file names call a life. */
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

    /** How bytes get to the disk; tests have it fail. */
    interface FileWriter {
        void write(Path file, byte[] bytes) throws IOException;
    }

    private FileWriter fileWriter = DurableFiles::overwrite;

    /**
     * State in {@code folder}, which is created with the first incarnation.
     *
     * @param fenceFolder a folder elsewhere that keeps the last incarnation, so that an older copy
     *     of {@code folder} is detected; null for none
     * @param maxSnapshots snapshots that are kept, at least 1
     */
    public SnapshotStore(Path folder, Path fenceFolder, int maxSnapshots) {
        this.folder = folder;
        this.fenceFolder = fenceFolder;
        this.maxSnapshots = Math.max(1, maxSnapshots);
    }

    void setFileWriter(FileWriter other) {
        fileWriter = other;
    }

    /** All snapshots that are there, usable or not, by file name. */
    public List<SnapshotSelector.Candidate> candidates() throws IOException {
        List<SnapshotSelector.Candidate> candidates = new ArrayList<>();
        for (Path file : list(SNAPSHOT)) {
            try {
                candidates.add(
                        new SnapshotSelector.Candidate(file.getFileName().toString(), read(file)));
            } catch (NoSuchFileException e) {
                // Deleted in this moment by a process that keeps fewer.
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

    private List<Path> list(Pattern names) throws IOException {
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

    /** The highest incarnation that a marker or a snapshot is named after; 0 without any. */
    public long latestMarkedIncarnation() throws IOException {
        long latest = 0;
        for (Pattern names : List.of(MARKER, SNAPSHOT)) {
            for (Path file : list(names)) {
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
            // Above any incarnation: not a name that this class gave.
            return 0;
        }
    }

    /** The last incarnation that the fence knows; 0 without a fence. */
    public long fencedIncarnation() throws IOException {
        if (fenceFolder == null) {
            return 0;
        }
        Path file = fenceFolder.resolve(FENCE_FILE);
        return Files.exists(file) ? parseIncarnation(Files.readString(file).strip()) : 0;
    }

    /** Claims an incarnation above {@code last}, which no other process gets, and returns it. */
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
        // Left by killed processes; one of this incarnation may be in progress.
        deleteBefore(TEMPORARY_SNAPSHOT, String.format("state-%019d", incarnation));
        return incarnation;
    }

    private long createMarker(long lowest) throws IOException {
        for (long candidate = lowest; ; candidate++) {
            try {
                Files.createFile(folder.resolve(String.format(MARKER_FORMAT, candidate)));
                return candidate;
            } catch (FileAlreadyExistsException e) {
                // Another process started in the same moment.
            }
        }
    }

    private void deleteBefore(Pattern names, String first) throws IOException {
        for (Path file : list(names)) {
            if (file.getFileName().toString().compareTo(first) < 0) {
                Files.deleteIfExists(file);
            }
        }
    }

    /**
     * Saves a snapshot of the claimed incarnation, and deletes the oldest beyond those to keep;
     * false, without saving, where a later incarnation exists.
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
        List<Path> snapshots = list(SNAPSHOT);
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
