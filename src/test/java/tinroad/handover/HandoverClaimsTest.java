package tinroad.handover;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBufUtil;
import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Arrays;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import tinroad.core.Digest;
import tinroad.core.RunClaims.Attempt;
import tinroad.core.RunClaims.Lookup;
import tinroad.core.RunClaims.PeerRun;

/** Tests the claims on runs that two processes of one gateway share. */
class HandoverClaimsTest {
    private static final double WINDOW_MILLIS = 3000;
    private static final double EXPIRES_AFTER_MILLIS = 5000;
    private static final double NOW = 1_000_000;
    private static final ProcessStart ALONE = new ProcessStart((long) NOW, false);
    private static final ProcessStart BESIDE_A_LISTENER = new ProcessStart((long) NOW, true);

    @TempDir Path directory;

    private HandoverClaims open(ProcessStart start) {
        return HandoverClaims.open(directory.toString(), "n3", start);
    }

    private static Attempt attempt(String key, double arrivedAtMillis) {
        return new Attempt(key, new Digest(1, 2), arrivedAtMillis, WINDOW_MILLIS);
    }

    private static boolean claim(HandoverClaims process, String key, double nowMillis) {
        return process.claim(attempt(key, nowMillis), nowMillis + EXPIRES_AFTER_MILLIS, nowMillis);
    }

    private static Lookup find(HandoverClaims process, String key) {
        return process.find(attempt(key, NOW), NOW);
    }

    private static byte[] result(HandoverClaims process, String key) {
        return ByteBufUtil.getBytes(find(process, key).run().result());
    }

    @Test
    void onlyOneProcessClaimsAKeyAndTheOtherLearnsOfItsRun() {
        try (HandoverClaims older = open(ALONE);
                HandoverClaims newer = open(BESIDE_A_LISTENER)) {
            assertEquals(Lookup.NONE, find(newer, "a1"));
            assertTrue(claim(older, "a1", NOW));
            assertFalse(claim(newer, "a1", NOW));
            assertEquals(Lookup.NONE, find(older, "a1"), "its own runs are in its own table");
            PeerRun run = find(newer, "a1").run();
            assertFalse(run.completed());
            assertEquals(NOW + WINDOW_MILLIS, run.validUntilMillis());
            assertTrue(claim(newer, "b2", NOW));
            assertFalse(claim(older, "b2", NOW));
            older.complete("a1", new byte[] {1, 2, 3});
            assertTrue(find(newer, "a1").run().completed());
            assertArrayEquals(new byte[] {1, 2, 3}, result(newer, "a1"));
        }
    }

    @Test
    void aClaimEndsWithItsWindowOrItsRelease() {
        try (HandoverClaims older = open(ALONE);
                HandoverClaims newer = open(BESIDE_A_LISTENER)) {
            assertTrue(claim(older, "a1", NOW));
            older.release("a1");
            assertTrue(claim(newer, "a1", NOW));
            assertTrue(claim(older, "b2", NOW));
            double afterWindowMillis = NOW + WINDOW_MILLIS + 101;
            assertFalse(claim(newer, "b2", afterWindowMillis), "it still runs");
            older.complete("b2", null);
            assertFalse(
                    newer.claim(attempt("b2", NOW + 1), NOW + 9000, afterWindowMillis),
                    "it was written within the window");
            assertTrue(claim(newer, "b2", afterWindowMillis));
            assertFalse(claim(older, "b2", afterWindowMillis));
            assertTrue(claim(older, "a1", NOW + EXPIRES_AFTER_MILLIS + 1), "it has expired");
        }
    }

    @Test
    void claimsOutliveTheirProcessAsLongAsAnyOtherOneUsesThem() throws IOException {
        HandoverClaims older = open(ALONE);
        try (HandoverClaims newer = open(BESIDE_A_LISTENER)) {
            assertTrue(claim(older, "a1", NOW));
            older.close();
            assertFalse(claim(newer, "a1", NOW));
            try (HandoverClaims newest = open(BESIDE_A_LISTENER)) {
                assertFalse(claim(newest, "a1", NOW));
            }
        }
    }

    @Test
    void whatAnEarlierIncarnationLeftBindsNobody() {
        try (HandoverClaims earlier = open(ALONE)) {
            assertTrue(claim(earlier, "a1", NOW));
            earlier.heartbeat(NOW + 10);
        }
        try (HandoverClaims later = open(new ProcessStart((long) NOW + 20, false))) {
            assertTrue(claim(later, "a1", NOW + 30));
        }
    }

    @Test
    void whatAProcessLeftThatWasKilledWhileThisOneStartedBinds() {
        try (HandoverClaims earlier = open(ALONE)) {
            assertTrue(claim(earlier, "a1", NOW));
            earlier.heartbeat(NOW + 30);
        }
        try (HandoverClaims later = open(new ProcessStart((long) NOW + 20, false))) {
            assertFalse(claim(later, "a1", NOW + 40));
        }
    }

    @Test
    void nothingRunsBesideAProcessThatRecordsNothingNorInTheWindowAfterIt() {
        for (String shared : new String[] {directory.toString(), ""}) {
            try (HandoverClaims process = HandoverClaims.open(shared, "n3", BESIDE_A_LISTENER)) {
                assertEquals(Lookup.UNKNOWN, find(process, "a1"));
                assertFalse(claim(process, "a1", NOW));
                process.recordPredecessorsEnded(NOW + 50);
                assertFalse(claim(process, "a1", NOW + 50 + WINDOW_MILLIS));
                assertTrue(claim(process, "a1", NOW + 50 + WINDOW_MILLIS + 101));
            }
        }
    }

    @Test
    void aProcessThatCanNotUseTheFileRunsKeyedRequestsOnlyAlone() throws IOException {
        Files.createDirectory(directory.resolve("tinroad-n3.claims"));
        try (HandoverClaims alone = open(ALONE);
                HandoverClaims beside = open(BESIDE_A_LISTENER)) {
            assertTrue(claim(alone, "a1", NOW));
            assertFalse(claim(beside, "b2", NOW));
        }
    }

    @Test
    void aProcessThatKeepsALockLeavesItsKeysInDoubtAndNoOthers() throws Exception {
        try (HandoverClaims process = open(ALONE);
                FileChannel other =
                        FileChannel.open(
                                directory.resolve("tinroad-n3.claims"),
                                StandardOpenOption.READ,
                                StandardOpenOption.WRITE)) {
            Digest key = Digest.of("b2".getBytes(StandardCharsets.US_ASCII));
            long firstLock = (1L << 40) + 1;
            FileLock lock = other.lock(firstLock + ClaimTable.bucketOf(key), 1, false);
            assertTrue(claim(process, "a1", NOW));
            assertFalse(claim(process, "b2", NOW));
            assertEquals(Lookup.UNKNOWN, find(process, "b2"));
            lock.release();
            assertTrue(claim(process, "b2", NOW));
        }
    }

    @Test
    void theFileDoesNotGrowAndAFullBucketTakesNoMoreUntilAKeyExpires() throws IOException {
        try (HandoverClaims process = open(ALONE)) {
            Path file = directory.resolve("tinroad-n3.claims");
            long size = Files.size(file);
            long claimed =
                    IntStream.range(0, 40_000)
                            .filter(i -> claim(process, Integer.toHexString(i), NOW))
                            .count();
            assertTrue(claimed >= 32_000 && claimed <= 32 * 1024, claimed + " claimed");
            IntStream.range(0, 2000)
                    .forEach(i -> process.complete(Integer.toHexString(i), new byte[4096]));
            assertEquals(size, Files.size(file));
            assertTrue(size < 4 * 1024 * 1024, size + " bytes");
            long claimedLater =
                    IntStream.range(100_000, 110_000)
                            .filter(
                                    i ->
                                            claim(
                                                    process,
                                                    Integer.toHexString(i),
                                                    NOW + EXPIRES_AFTER_MILLIS + 1))
                            .count();
            assertEquals(10_000, claimedLater);
        }
    }

    @Test
    void aResultThatWasOverwrittenIsNotReplayed() {
        try (HandoverClaims older = open(ALONE);
                HandoverClaims newer = open(BESIDE_A_LISTENER)) {
            byte[] result = new byte[4096];
            for (int i = 0; i < 600; i++) {
                Arrays.fill(result, (byte) i);
                assertTrue(claim(older, Integer.toHexString(i), NOW));
                older.complete(Integer.toHexString(i), result);
            }
            assertNull(find(newer, "0").run().result());
            assertTrue(find(newer, "0").run().completed());
            assertArrayEquals(result, result(newer, Integer.toHexString(599)));
        }
    }
}
