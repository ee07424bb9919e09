package tinroad.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Tests the state files when a write fails or is cut short, and when two processes write. */
@Timeout(120)
class SnapshotStoreTest {
    private static final double NOW_MILLIS = 1.8e12;

    @TempDir private Path dir;

    private SnapshotStore store() {
        return new SnapshotStore(dir.resolve("state"), dir.resolve("fence"), 3);
    }

    private SnapshotSelector.Decision select(SnapshotStore store) throws IOException {
        return SnapshotSelector.select(
                store.candidates(),
                "n3",
                NOW_MILLIS,
                600_000,
                store.latestMarkedIncarnation(),
                store.fencedIncarnation());
    }

    @Test
    void keepsTheLatestSnapshotsOverIncarnations() throws Exception {
        for (long incarnation = 1; incarnation <= 3; incarnation++) {
            SnapshotStore store = store();
            SnapshotSelector.Decision decision = select(store);
            assertEquals(
                    incarnation == 1
                            ? SnapshotSelector.StartMode.FIRST
                            : SnapshotSelector.StartMode.WARM,
                    decision.startMode());
            assertEquals(incarnation, store.claimIncarnation(decision.lastIncarnation()));
            for (int g = 1; g <= 5; g++) {
                assertTrue(store.save(SnapshotTest.snapshot(incarnation, g, NOW_MILLIS)));
            }
            assertEquals(
                    List.of(5L, 4L, 3L),
                    store.candidates().stream()
                            .map(c -> c.readResult().usable().orElseThrow().generation())
                            .sorted((a, b) -> Long.compare(b, a))
                            .toList());
        }
        try (Stream<Path> files = Files.list(dir.resolve("state"))) {
            assertEquals(4, files.count());
        }
    }

    @Test
    void fencesTheEarlierOfTwoProcessesThatStartAtOnce() throws Exception {
        SnapshotStore first = store();
        SnapshotStore second = store();
        assertEquals(1, first.claimIncarnation(0));
        assertEquals(2, second.claimIncarnation(0));
        assertTrue(second.save(SnapshotTest.snapshot(2, 1, NOW_MILLIS)));
        // The first process was suspended and resumes: it must not write any more.
        assertFalse(first.save(SnapshotTest.snapshot(1, 900, NOW_MILLIS)));
        assertEquals(2, select(store()).snapshot().orElseThrow().incarnation());
        // Even if it checks before the second one creates its marker, and renames its file
        // afterwards.
        Files.write(
                dir.resolve("state/state-0000000000000000001-0000000000000000900"),
                SnapshotCodec.write(SnapshotTest.snapshot(1, 900, NOW_MILLIS)));
        assertEquals(2, select(store()).snapshot().orElseThrow().incarnation());
    }

    @Test
    void rejectsSnapshotsOfAFolderRolledBackOrLost() throws Exception {
        SnapshotStore store = store();
        store.claimIncarnation(0);
        store.save(SnapshotTest.snapshot(1, 1, NOW_MILLIS));
        byte[] older =
                Files.readAllBytes(
                        dir.resolve("state/state-0000000000000000001-0000000000000000001"));
        SnapshotStore next = store();
        next.claimIncarnation(1);
        next.save(SnapshotTest.snapshot(2, 1, NOW_MILLIS));
        try (Stream<Path> files = Files.list(dir.resolve("state"))) {
            files.forEach(p -> p.toFile().delete());
        }
        assertEquals(
                new SnapshotSelector.Decision(
                        SnapshotSelector.StartMode.COLD, Optional.empty(), 2, List.of()),
                select(store()));
        Files.write(dir.resolve("state/state-0000000000000000001-0000000000000000001"), older);
        SnapshotSelector.Decision decision = select(store());
        assertEquals(SnapshotSelector.StartMode.COLD, decision.startMode());
        assertTrue(decision.rejectedFiles().get(0).contains("rolled back"), decision::toString);
        assertEquals(3, store().claimIncarnation(decision.lastIncarnation()));
    }

    @Test
    void keepsTheLastSnapshotWhenAWriteFails() throws Exception {
        SnapshotStore store = store();
        store.claimIncarnation(0);
        store.save(SnapshotTest.snapshot(1, 1, NOW_MILLIS));
        byte[] next = SnapshotCodec.write(SnapshotTest.snapshot(1, 2, NOW_MILLIS));
        for (int n = 0; n <= next.length; n += 7) {
            int written = n;
            store.setFileWriter(
                    (file, bytes) -> {
                        Files.write(file, Arrays.copyOf(bytes, Math.min(written, bytes.length)));
                        throw new IOException("no space left on device");
                    });
            assertThrows(
                    IOException.class, () -> store.save(SnapshotTest.snapshot(1, 2, NOW_MILLIS)));
            assertEquals(1, select(store()).snapshot().orElseThrow().generation());
        }
        // The incomplete file of a killed process is ignored, and the next incarnation deletes it.
        Path incomplete = dir.resolve("state/state-0000000000000000001-0000000000000000003.part");
        Files.write(incomplete, new byte[20]);
        assertEquals(1, select(store()).snapshot().orElseThrow().generation());
        store().claimIncarnation(1);
        assertFalse(Files.exists(incomplete));
    }

    @Test
    void throwsWhereTheFolderCanNotBeWrittenAndFindsNothingWhereItIsAbsent() throws Exception {
        Path file = Files.writeString(dir.resolve("plain"), "not a folder");
        assertThrows(IOException.class, () -> new SnapshotStore(file, null, 3).claimIncarnation(0));
        assertEquals(List.of(), new SnapshotStore(dir.resolve("absent"), null, 3).candidates());
    }

    @Test
    void neverBlocksOffersOnASlowDiskAndSavesTheLatest() throws Exception {
        SnapshotStore store = store();
        store.claimIncarnation(0);
        CountDownLatch writing = new CountDownLatch(1);
        CountDownLatch diskReady = new CountDownLatch(1);
        store.setFileWriter(
                (file, bytes) -> {
                    writing.countDown();
                    try {
                        diskReady.await();
                    } catch (InterruptedException e) {
                        throw new IOException(e);
                    }
                    Files.write(file, bytes);
                });
        try (SnapshotWriter writer = new SnapshotWriter(store)) {
            writer.offer(SnapshotTest.snapshot(1, 1, NOW_MILLIS));
            writing.await();
            for (int g = 2; g <= 1000; g++) {
                writer.offer(SnapshotTest.snapshot(1, g, NOW_MILLIS));
            }
            assertEquals(0, writer.savedCount());
            diskReady.countDown();
        }
        assertEquals(
                List.of(1L, 1000L),
                store.candidates().stream()
                        .map(c -> c.readResult().usable().orElseThrow().generation())
                        .toList());
    }

    @Test
    void survivesFiftyKillsWhileWriting() throws Exception {
        assertEquals(
                "kills 50, damaged 0, lost 0", KillWrites.campaign(dir.resolve("killed"), 50, 1));
    }
}
