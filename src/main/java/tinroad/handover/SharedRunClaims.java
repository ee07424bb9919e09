package tinroad.handover;

import io.netty.buffer.Unpooled;
import java.io.IOException;
import java.nio.channels.FileLock;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.security.SecureRandom;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import tinroad.core.Digest;

/**
 * Shares the claims on runs of keyed requests with the other processes of this gateway. No process
 * waits for another: a claim is written to shared memory under the lock of its bucket, and outlives
 * the process that wrote it. If a lock can't be had at once, or if an earlier process may have
 * submitted runs without recording them, the answer is that nobody knows, and the run must not be
 * submitted.
 *
 * <p>Bounds: {@link ClaimTable#BYTES} bytes of claims and {@link #RESULT_BYTES} bytes of results
 * for all processes together, however many follow each other.
 */
final class SharedRunClaims implements HandoverClaims {
    private static final Logger LOG = LoggerFactory.getLogger("server");
    private static final String FILE_PREFIX = "tinroad-";
    private static final String FILE_SUFFIX = ".claims";

    /** Memory for results; a result that was overwritten by later ones is not replayed. */
    private static final int RESULT_BYTES = 1024 * 1024;

    private final ClaimFile file;
    private final ClaimTable table;
    private final ResultRing results;

    /** Tells the claims of this process from those of others. */
    private final long owner = new SecureRandom().nextLong();

    private SharedRunClaims(ClaimFile file) {
        this.file = file;
        table = new ClaimTable(file.content(0, ClaimTable.BYTES));
        results = new ResultRing(file.content(ClaimTable.BYTES, RESULT_BYTES));
    }

    /**
     * Opens the claims of gateway {@code name}; blocks meanwhile.
     *
     * @param directory directory that the processes of the gateway share
     * @throws IOException if the file can't be used
     */
    static SharedRunClaims open(Path directory, String name, ProcessStart start)
            throws IOException, InterruptedException {
        Path path = directory.resolve(FILE_PREFIX + name + FILE_SUFFIX);
        ClaimFile file = ClaimFile.open(path, ClaimTable.BYTES + RESULT_BYTES, start);
        SharedRunClaims claims = new SharedRunClaims(file);
        if (file.unrecordedBeforeMillis() == ClaimFile.UNRECORDED_UNTIL_NOW) {
            LOG.warn(
                    "the other process on this address records no runs of keyed requests: none is"
                            + " run here until it has ended and its runs are past their window");
        }
        return claims;
    }

    @Override
    public Lookup find(Attempt attempt, double nowMillis) {
        return UnrecordedRuns.mayInclude(file.unrecordedBeforeMillis(), attempt, nowMillis)
                ? Lookup.UNKNOWN
                : find(attempt.idempotencyKey(), nowMillis);
    }

    @Override
    public Lookup find(String idempotencyKey, double nowMillis) {
        Digest key = digest(idempotencyKey);
        try (FileLock lock = file.tryLock(ClaimTable.bucketOf(key))) {
            if (lock == null) {
                return Lookup.UNKNOWN;
            }
            int at = table.find(key, nowMillis);
            ClaimTable.Claim claim = at < 0 ? null : table.read(at);
            return claim == null || claim.owner() == owner
                    ? Lookup.NONE
                    : Lookup.of(peerRun(claim));
        } catch (IOException e) {
            return Lookup.UNKNOWN;
        }
    }

    private PeerRun peerRun(ClaimTable.Claim claim) {
        byte[] result = results.read(claim.result());
        return new PeerRun(
                claim.fingerprint(),
                claim.validUntilMillis(),
                claim.expiresAtMillis(),
                claim.completed(),
                result == null ? null : Unpooled.wrappedBuffer(result));
    }

    @Override
    public boolean claim(Attempt attempt, double expiresAtMillis, double nowMillis) {
        if (UnrecordedRuns.mayInclude(file.unrecordedBeforeMillis(), attempt, nowMillis)) {
            return false;
        }
        Digest key = digest(attempt.idempotencyKey());
        try (FileLock lock = file.tryLock(ClaimTable.bucketOf(key))) {
            if (lock == null) {
                return false;
            }
            int at = table.find(key, Double.NEGATIVE_INFINITY);
            if (at >= 0 && isClaimedByPeer(table.read(at), attempt, nowMillis)) {
                return false;
            }
            at = at >= 0 ? at : table.findFree(key, nowMillis);
            if (at < 0) {
                return false;
            }
            table.write(
                    at,
                    new ClaimTable.Claim(
                            key,
                            attempt.fingerprint(),
                            owner,
                            attempt.arrivedAtMillis() + attempt.windowMillis(),
                            expiresAtMillis,
                            false,
                            ResultRing.Location.NONE));
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    private boolean isClaimedByPeer(ClaimTable.Claim claim, Attempt attempt, double nowMillis) {
        boolean windowOver =
                claim.completed() && attempt.isAfterWindow(claim.validUntilMillis(), nowMillis);
        return claim.owner() != owner && claim.expiresAtMillis() >= nowMillis && !windowOver;
    }

    @Override
    public void release(String idempotencyKey) {
        update(idempotencyKey, table::free);
    }

    @Override
    public void complete(String idempotencyKey, byte[] result) {
        update(idempotencyKey, at -> table.complete(at, results.write(result)));
    }

    /** An update of the claim at a position. */
    @FunctionalInterface
    private interface Update {
        void apply(int at);
    }

    /**
     * Updates a claim of this process. If its lock can't be had, the claim stays as it is, and
     * other processes do not learn of the end of the run: their attempts fail at their deadline.
     */
    private void update(String idempotencyKey, Update update) {
        Digest key = digest(idempotencyKey);
        try (FileLock lock = file.tryLock(ClaimTable.bucketOf(key))) {
            int at = lock == null ? -1 : table.find(key, Double.NEGATIVE_INFINITY);
            if (at >= 0 && table.read(at).owner() == owner) {
                update.apply(at);
            }
        } catch (IOException e) {
            LOG.debug("lock of a claim not released", e);
        }
    }

    @Override
    public void heartbeat(double nowMillis) {
        file.heartbeat(nowMillis);
    }

    @Override
    public void recordPredecessorsEnded(double nowMillis) {
        file.recordPredecessorsEnded(nowMillis);
    }

    private static Digest digest(String idempotencyKey) {
        return Digest.of(idempotencyKey.getBytes(StandardCharsets.UTF_8));
    }

    /** Ends the use of the file by this process; the claims stay for the other ones. */
    @Override
    public void close() {
        try {
            file.close();
        } catch (IOException e) {
            LOG.warn("can't close the claims on runs: {}", e.toString());
        }
    }
}
