package tinroad.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** The files of state: what is left when writing fails, stops half way, or is done by two. */
@Timeout(120)
class StateFolderTest {
    private static final double NOW = 1.8e12;

    @TempDir private Path dir;

    private SnapshotStore folder() {
        return new SnapshotStore(dir.resolve("state"), dir.resolve("fence"), 3);
    }

    private SnapshotSelector.Decision recall(SnapshotStore f) throws IOException {
        return SnapshotSelector.select(
                f.candidates(),
                "n3",
                NOW,
                600_000,
                f.latestMarkedIncarnation(),
                f.fencedIncarnation());
    }

    @Test
    void lifeAfterLifeKeepsTheLatestFew() throws Exception {
        for (long life = 1; life <= 3; life++) {
            SnapshotStore f = folder();
            SnapshotSelector.Decision d = recall(f);
            assertEquals(
                    life == 1 ? SnapshotSelector.StartMode.FIRST : SnapshotSelector.StartMode.WARM,
                    d.startMode());
            assertEquals(life, f.claimIncarnation(d.lastIncarnation()));
            for (int g = 1; g <= 5; g++) {
                assertTrue(f.save(StateTest.snapshot(life, g, NOW)));
            }
            assertEquals(
                    List.of(5L, 4L, 3L),
                    f.candidates().stream()
                            .map(c -> c.readResult().snapshot().generation())
                            .sorted((a, b) -> Long.compare(b, a))
                            .toList());
        }
        try (Stream<Path> files = Files.list(dir.resolve("state"))) {
            assertEquals(4, files.count());
        }
    }

    @Test
    void twoThatBeginAtOnceGetTwoLivesAndTheEarlierOneIsFenced() throws Exception {
        SnapshotStore first = folder();
        SnapshotStore second = folder();
        assertEquals(1, first.claimIncarnation(0));
        assertEquals(2, second.claimIncarnation(0));
        assertTrue(second.save(StateTest.snapshot(2, 1, NOW)));
        // The first one was stopped, and wakes: it has nothing to say any more.
        assertFalse(first.save(StateTest.snapshot(1, 900, NOW)));
        assertEquals(2, recall(folder()).snapshot().incarnation());
        // Even if its look came before the second one's marker, and its rename after.
        Files.write(
                dir.resolve("state/state-0000000000000000001-0000000000000000900"),
                SnapshotCodec.write(StateTest.snapshot(1, 900, NOW)));
        assertEquals(2, recall(folder()).snapshot().incarnation());
    }

    @Test
    void aFolderRolledBackOrLostIsTold() throws Exception {
        SnapshotStore f = folder();
        f.claimIncarnation(0);
        f.save(StateTest.snapshot(1, 1, NOW));
        byte[] older =
                Files.readAllBytes(
                        dir.resolve("state/state-0000000000000000001-0000000000000000001"));
        SnapshotStore next = folder();
        next.claimIncarnation(1);
        next.save(StateTest.snapshot(2, 1, NOW));
        try (Stream<Path> files = Files.list(dir.resolve("state"))) {
            files.forEach(p -> p.toFile().delete());
        }
        assertEquals(
                new SnapshotSelector.Decision(SnapshotSelector.StartMode.COLD, null, 2, List.of()),
                recall(folder()));
        Files.write(dir.resolve("state/state-0000000000000000001-0000000000000000001"), older);
        SnapshotSelector.Decision d = recall(folder());
        assertEquals(SnapshotSelector.StartMode.COLD, d.startMode());
        assertTrue(d.rejectedFiles().get(0).contains("rolled back"), d::toString);
        assertEquals(3, folder().claimIncarnation(d.lastIncarnation()));
    }

    @Test
    void aWriteThatFailsLeavesWhatWasThere() throws Exception {
        SnapshotStore f = folder();
        f.claimIncarnation(0);
        f.save(StateTest.snapshot(1, 1, NOW));
        byte[] next = SnapshotCodec.write(StateTest.snapshot(1, 2, NOW));
        for (int n = 0; n <= next.length; n += 7) {
            int most = n;
            f.disk(
                    (file, bytes) -> {
                        Files.write(
                                file, java.util.Arrays.copyOf(bytes, Math.min(most, bytes.length)));
                        throw new IOException("no space left on device");
                    });
            assertThrows(IOException.class, () -> f.save(StateTest.snapshot(1, 2, NOW)));
            assertEquals(1, recall(folder()).snapshot().generation());
        }
        // Nor does what a killed process left half written count; the next life clears it away.
        Path half = dir.resolve("state/state-0000000000000000001-0000000000000000003.part");
        Files.write(half, new byte[20]);
        assertEquals(1, recall(folder()).snapshot().generation());
        folder().claimIncarnation(1);
        assertFalse(Files.exists(half));
    }

    @Test
    void aFolderThatCanNotBeWrittenCostsALineAndNoMore() throws Exception {
        Path file = Files.writeString(dir.resolve("plain"), "no folder");
        assertThrows(IOException.class, () -> new SnapshotStore(file, null, 3).claimIncarnation(0));
        assertEquals(List.of(), new SnapshotStore(dir.resolve("absent"), null, 3).candidates());
    }

    @Test
    void whoOffersNeverWaitsForASlowDiskAndTheLatestIsSaved() throws Exception {
        SnapshotStore f = folder();
        f.claimIncarnation(0);
        CountDownLatch writing = new CountDownLatch(1);
        CountDownLatch slow = new CountDownLatch(1);
        f.disk(
                (file, bytes) -> {
                    writing.countDown();
                    try {
                        slow.await();
                    } catch (InterruptedException e) {
                        throw new IOException(e);
                    }
                    Files.write(file, bytes);
                });
        try (SnapshotWriter saver = new SnapshotWriter(f)) {
            saver.offer(StateTest.snapshot(1, 1, NOW));
            writing.await();
            for (int g = 2; g <= 1000; g++) {
                saver.offer(StateTest.snapshot(1, g, NOW));
            }
            assertEquals(0, saver.saved());
            slow.countDown();
        }
        assertEquals(
                List.of(1L, 1000L),
                f.candidates().stream().map(c -> c.readResult().snapshot().generation()).toList());
    }

    @Test
    void fiftyKillsWhileWritingDamageNothing() throws Exception {
        assertEquals(
                "kills 50, damaged 0, lost 0", KillWrites.campaign(dir.resolve("killed"), 50, 1));
    }
}
