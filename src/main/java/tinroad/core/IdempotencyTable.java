package tinroad.core;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Records which requests are duplicates of which, and the results that may be replayed to them.
 *
 * <p>Reads whose key the controller retains are found by class and result key, while the first of
 * them runs and then for the configured time that results stay fresh; none are found if that time
 * is 0.
 *
 * <p>Attempts of keyed classes are found by their idempotency key, from the first that is queued
 * until no attempt of the same request may run any more. Neither a full table nor a failure of the
 * controller makes a second one of them run. While another process of the gateway serves, too, runs
 * are also claimed in {@link RunClaims}, and an attempt of a request that the other process runs is
 * a duplicate of that run.
 *
 * <p>See docs/keyed-requests.md for what a duplicate gets in each state. All methods must be called
 * on the event loop. Times are in Unix ms.
 */
final class IdempotencyTable {
    /**
     * The maximum number of retained reads. Further reads are not retained, even if the controller
     * requests it.
     */
    private static final int MAX_READS = 2000;

    /**
     * The maximum number of idempotency keys. If the table is full, a new request of a keyed class
     * is rejected, because no key may be dropped early.
     */
    static final int MAX_KEYS = 16_384;

    /**
     * The maximum size of all results of keyed runs, in bytes. Beyond it the oldest result is
     * dropped, and duplicates of its request fail.
     */
    static final int MAX_RESULT_BYTES = 4 * 1024 * 1024;

    /**
     * Extends the window in which nothing runs again, in ms, because clocks and readings may be a
     * little off.
     */
    static final double WINDOW_MARGIN_MILLIS = 100;

    /** The period, in ms, at which expired idempotency keys are removed. */
    private static final double KEY_EXPIRY_PERIOD_MILLIS = 1000;

    private final double resultReplayMillis;

    /** Entries of reads, by class and result key. */
    private final Map<String, Entry> readEntries = new LinkedHashMap<>();

    /** Entries of requests of keyed classes, by idempotency key. */
    private final Map<String, Entry> keyedEntries = new HashMap<>();

    /** Entries of keyed requests whose result is retained, oldest first. */
    private final ArrayDeque<Entry> keyedResults = new ArrayDeque<>();

    /** Entries of runs of other processes that have not ended, as far as this one knows. */
    private final Set<Entry> peerRuns = new LinkedHashSet<>();

    private RunClaims claims = RunClaims.SINGLE_PROCESS;
    private int resultBytes;
    private double nextKeyExpiryAtMillis;

    IdempotencyTable(double resultReplayMillis) {
        this.resultReplayMillis = resultReplayMillis;
    }

    /**
     * Sets the claims on runs that all processes of the gateway share; called before any request.
     */
    void shareClaims(RunClaims shared) {
        claims = shared;
    }

    /** A request, whichever of its attempts runs. */
    static final class Entry {
        final String requestId;

        /** The key that all attempts of the request carry; null for reads. */
        private final String idempotencyKey;

        /** Of class and body; null for reads. */
        private final Digest fingerprint;

        /** Whether another process of the gateway runs the request. */
        private final boolean runByPeer;

        /** The end of a read's retention, or of a keyed request's window. */
        private double validUntilMillis;

        /**
         * For keyed requests: whether a run was submitted, perhaps without effect. From then on no
         * run is submitted again within the window.
         */
        private boolean runSubmitted;

        /**
         * For keyed requests: after this time every attempt that arrived within the window is past
         * its deadline, so that the key may be removed.
         */
        private double expiresAtMillis = Double.MAX_VALUE;

        private boolean completed;
        private double completedAtMillis;
        private byte[] result;
        private final List<ActiveRequest> waitingDuplicates = new ArrayList<>();

        private Entry(ActiveRequest request) {
            requestId = request.id;
            idempotencyKey = request.idempotencyKey;
            fingerprint = request.idempotencyKey == null ? null : request.fingerprint();
            runByPeer = false;
        }

        private Entry(String idempotencyKey, RunClaims.PeerRun run) {
            // The id of the attempt that runs is not known here, and nothing depends on it.
            requestId = idempotencyKey;
            this.idempotencyKey = idempotencyKey;
            fingerprint = run.fingerprint();
            runByPeer = true;
            runSubmitted = true;
            validUntilMillis = run.validUntilMillis();
            expiresAtMillis = run.expiresAtMillis();
        }

        boolean completed() {
            return completed;
        }

        /**
         * Returns whether a run was submitted. If so, no attempt may get the answer that nothing
         * ran.
         */
        boolean runSubmitted() {
            return runSubmitted;
        }

        /** Returns the result of the run, or null if there is none. */
        byte[] result() {
            return result;
        }

        void addWaitingDuplicate(ActiveRequest duplicate) {
            waitingDuplicates.add(duplicate);
        }
    }

    private static String readKey(ActiveRequest request) {
        return request.className() + ' ' + request.resultKey;
    }

    /**
     * Returns the entry that this request is a duplicate of, or null. Marks the request if other
     * processes may have run it and nobody can tell.
     */
    Entry findOriginal(ActiveRequest request, double nowMillis) {
        if (request.idempotencyKey != null) {
            Entry entry = keyedEntries.get(request.idempotencyKey);
            return entry == null || isWindowOver(entry, request, nowMillis)
                    ? findPeerRun(request, nowMillis)
                    : entry;
        }
        Entry entry =
                request.resultKey == null || resultReplayMillis <= 0
                        ? null
                        : readEntries.get(readKey(request));
        boolean isUsable =
                entry != null
                        && nowMillis <= entry.validUntilMillis
                        && (!entry.completed
                                || (entry.result != null
                                        && nowMillis
                                                <= entry.completedAtMillis + resultReplayMillis));
        return isUsable ? entry : null;
    }

    /**
     * Returns a new entry for a run of another process that this attempt is a duplicate of, or null
     * if none is known.
     */
    private Entry findPeerRun(ActiveRequest request, double nowMillis) {
        RunClaims.Lookup lookup = claims.find(request.attempt(), nowMillis);
        request.unknownWhetherRun = lookup.state() == RunClaims.Lookup.State.UNKNOWN;
        RunClaims.PeerRun run = lookup.run();
        if (run == null
                || (run.completed()
                        && request.attempt().isAfterWindow(run.validUntilMillis(), nowMillis))) {
            return null;
        }
        Entry earlier = keyedEntries.get(request.idempotencyKey);
        if (earlier != null) {
            remove(earlier);
        }
        Entry entry = new Entry(request.idempotencyKey, run);
        keyedEntries.put(request.idempotencyKey, entry);
        if (run.completed()) {
            complete(entry, bytesOf(run.result()), nowMillis);
        } else {
            peerRuns.add(entry);
        }
        return entry;
    }

    /** Returns whether the window of this run is over for this attempt. */
    private static boolean isWindowOver(Entry entry, ActiveRequest request, double nowMillis) {
        return entry.runSubmitted
                && entry.completed
                && request.attempt().isAfterWindow(entry.validUntilMillis, nowMillis);
    }

    /**
     * Returns whether the idempotency key of this request belongs to a different request: one of
     * another class, or with another body.
     */
    static boolean conflicts(ActiveRequest request, Entry original) {
        return request.idempotencyKey != null
                && original != null
                && !request.fingerprint().equals(original.fingerprint);
    }

    /**
     * Returns whether a run is known to be submitted for the request with this key, here or in
     * another process, and no attempt of it may run again yet; false for null.
     */
    boolean isRunSubmitted(String idempotencyKey, double nowMillis) {
        if (idempotencyKey == null) {
            return false;
        }
        Entry entry = keyedEntries.get(idempotencyKey);
        return (entry != null && entry.runSubmitted)
                || claims.find(idempotencyKey, nowMillis).run() != null;
    }

    /**
     * Returns whether another process may have submitted a run of this request. If so, no attempt
     * may get the answer that nothing ran.
     */
    boolean mayBeRunByPeer(ActiveRequest request, double nowMillis) {
        return request.idempotencyKey != null
                && claims.find(request.attempt(), nowMillis).state() != RunClaims.Lookup.State.NONE;
    }

    /** Returns whether there is no capacity for one more idempotency key. */
    boolean isFull() {
        return keyedEntries.size() >= MAX_KEYS;
    }

    /** Retains a request, so that duplicates of it are recognized. */
    void retain(ActiveRequest request, double validUntilMillis, double nowMillis) {
        if (request.idempotencyKey != null) {
            retainKeyed(request, nowMillis);
            return;
        }
        if (request.resultKey == null
                || resultReplayMillis <= 0
                || readEntries.size() >= MAX_READS) {
            return;
        }
        Entry entry = readEntries.get(readKey(request));
        if (entry == null || !entry.requestId.equals(request.id)) {
            entry = new Entry(request);
            readEntries.put(readKey(request), entry);
            request.ownEntry = entry;
        }
        entry.validUntilMillis = validUntilMillis;
    }

    private void retainKeyed(ActiveRequest request, double nowMillis) {
        Entry entry = keyedEntries.get(request.idempotencyKey);
        if (entry == null || isWindowOver(entry, request, nowMillis)) {
            if (entry != null) {
                remove(entry);
            }
            request.ownEntry = new Entry(request);
            keyedEntries.put(request.idempotencyKey, request.ownEntry);
        }
    }

    /**
     * Claims the run that is about to be submitted. Returns false if it must not be submitted,
     * because another attempt has claimed it, or may have in another process. The window counts
     * from the arrival of this attempt.
     */
    boolean claimRun(
            ActiveRequest request, double windowMillis, double deadlineMillis, double nowMillis) {
        if (request.idempotencyKey == null) {
            return true;
        }
        retainKeyed(request, nowMillis);
        if (request.ownEntry == null) {
            return false;
        }
        double validUntilMillis = request.arrivedAtMillis + windowMillis;
        double expiresAtMillis =
                Math.max(nowMillis, validUntilMillis) + WINDOW_MARGIN_MILLIS + deadlineMillis;
        if (!claims.claim(request.attempt(), expiresAtMillis, nowMillis)) {
            return false;
        }
        request.ownEntry.runSubmitted = true;
        request.ownEntry.validUntilMillis = validUntilMillis;
        request.ownEntry.expiresAtMillis = expiresAtMillis;
        return true;
    }

    /** Revokes the claim of a run that was not submitted after all, so that nothing has run yet. */
    void revokeClaim(ActiveRequest request) {
        if (request.ownEntry != null) {
            revokeClaim(request.ownEntry);
        }
    }

    private void revokeClaim(Entry entry) {
        if (entry.runSubmitted) {
            entry.runSubmitted = false;
            claims.release(entry.idempotencyKey);
        }
    }

    /** Releases the read that was retained for the request with this id. */
    void release(String id) {
        readEntries.values().removeIf(entry -> entry.requestId.equals(id));
    }

    /**
     * Completes a request with this result, or with null if it has none, and returns the duplicates
     * that waited for it.
     */
    List<ActiveRequest> complete(ActiveRequest request, ByteBuf result, double nowMillis) {
        Entry entry = request.ownEntry;
        if (entry == null || entry.completed) {
            return List.of();
        }
        byte[] resultCopy = bytesOf(result);
        List<ActiveRequest> duplicates = complete(entry, resultCopy, nowMillis);
        if (entry.idempotencyKey != null) {
            if (request.progress == Progress.NOT_SENT) {
                // The request never ran, so the next attempt is a new request.
                revokeClaim(entry);
                remove(entry);
            } else {
                claims.complete(entry.idempotencyKey, resultCopy);
            }
        }
        return duplicates;
    }

    private static byte[] bytesOf(ByteBuf result) {
        return result == null ? null : ByteBufUtil.getBytes(result);
    }

    /** Completes an entry and returns the duplicates that waited for it. */
    private List<ActiveRequest> complete(Entry entry, byte[] result, double nowMillis) {
        entry.completed = true;
        entry.completedAtMillis = nowMillis;
        entry.result = result;
        List<ActiveRequest> duplicates = List.copyOf(entry.waitingDuplicates);
        entry.waitingDuplicates.clear();
        if (entry.idempotencyKey != null && result != null) {
            keyedResults.add(entry);
            resultBytes += result.length;
            while (resultBytes > MAX_RESULT_BYTES) {
                dropResult(keyedResults.peek());
            }
        }
        return duplicates;
    }

    /** The end of a run of another process, with the duplicates that waited for it. */
    record PeerRunEnd(ByteBuf result, List<ActiveRequest> duplicates) {}

    /**
     * Returns the runs of other processes that have ended since the last call. Runs that no
     * duplicate waits for are left out until one does.
     */
    List<PeerRunEnd> endedPeerRuns(double nowMillis) {
        List<PeerRunEnd> ended = new ArrayList<>();
        for (Entry entry : List.copyOf(peerRuns)) {
            if (!entry.waitingDuplicates.isEmpty()) {
                RunClaims.PeerRun run = claims.find(entry.idempotencyKey, nowMillis).run();
                if (run != null && run.completed()) {
                    peerRuns.remove(entry);
                    ended.add(
                            new PeerRunEnd(
                                    run.result(),
                                    complete(entry, bytesOf(run.result()), nowMillis)));
                }
            }
        }
        return ended;
    }

    /** Records that this process is alive. */
    void heartbeat(double nowMillis) {
        claims.heartbeat(nowMillis);
    }

    private void remove(Entry entry) {
        keyedEntries.remove(entry.idempotencyKey, entry);
        peerRuns.remove(entry);
        dropResult(entry);
    }

    private void dropResult(Entry entry) {
        if (keyedResults.remove(entry)) {
            resultBytes -= entry.result.length;
            entry.result = null;
        }
    }

    /** Returns the size of all retained results of keyed runs, in bytes. */
    int resultBytes() {
        return resultBytes;
    }

    /** Returns a copy of the keyed requests whose result is retained, oldest first. */
    List<Entry> keyedResults() {
        return List.copyOf(keyedResults);
    }

    /** Returns whether this is the entry that is stored for its idempotency key. */
    boolean isCurrent(Entry entry) {
        return keyedEntries.get(entry.idempotencyKey) == entry;
    }

    /** Removes the reads and, periodically, the idempotency keys that have expired. */
    void expire(double nowMillis) {
        readEntries.values().removeIf(entry -> entry.validUntilMillis < nowMillis);
        if (nowMillis >= nextKeyExpiryAtMillis) {
            nextKeyExpiryAtMillis = nowMillis + KEY_EXPIRY_PERIOD_MILLIS;
            List.copyOf(keyedEntries.values()).stream()
                    .filter(entry -> entry.completed || entry.runByPeer)
                    .filter(entry -> entry.expiresAtMillis < nowMillis)
                    .forEach(this::remove);
        }
    }
}
