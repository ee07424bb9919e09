package tinroad.core;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Records which requests are duplicates of which, and the results that may be replayed to them.
 *
 * <p>Reads whose key the controller retains are found by class and result key, while the first of
 * them runs and then for the configured time that results stay fresh; none are found if that time
 * is 0.
 *
 * <p>Attempts of keyed classes are found by their idempotency key, from the first that is queued
 * until no attempt of the same request may run any more. Neither a full table nor a failure of the
 * controller makes a second one of them run.
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

    private int resultBytes;
    private double nextKeyExpiryAtMillis;

    IdempotencyTable(double resultReplayMillis) {
        this.resultReplayMillis = resultReplayMillis;
    }

    /** A request, whichever of its attempts runs. */
    static final class Entry {
        final String requestId;

        /** The key that all attempts of the request carry; null for reads. */
        private final String idempotencyKey;

        private final String className;
        private final byte[] bodyDigest;

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
            className = request.className();
            idempotencyKey = request.idempotencyKey;
            bodyDigest = request.idempotencyKey == null ? null : request.bodyDigest();
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

    /** Returns the entry that this request is a duplicate of, or null. */
    Entry findOriginal(ActiveRequest request, double nowMillis) {
        if (request.idempotencyKey != null) {
            Entry entry = keyedEntries.get(request.idempotencyKey);
            return entry == null || isWindowOver(entry, request, nowMillis) ? null : entry;
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
     * Returns whether the window is over for this attempt. If the arrival that the attempt states
     * is earlier than the current time, that arrival counts, so that an attempt that was written
     * within the window and is read after it does not run.
     */
    private static boolean isWindowOver(Entry entry, ActiveRequest request, double nowMillis) {
        return entry.runSubmitted
                && entry.completed
                && Math.min(nowMillis, request.arrivedAtMillis)
                        > entry.validUntilMillis + WINDOW_MARGIN_MILLIS;
    }

    /**
     * Returns whether the idempotency key of this request belongs to a different request: one of
     * another class, or with another body.
     */
    static boolean conflicts(ActiveRequest request, Entry original) {
        return request.idempotencyKey != null
                && original != null
                && !(request.className().equals(original.className)
                        && Arrays.equals(request.bodyDigest(), original.bodyDigest));
    }

    /**
     * Returns whether a run was submitted for the request with this key, and no attempt of it may
     * run again yet; false for null.
     */
    boolean isRunSubmitted(String idempotencyKey) {
        Entry entry = idempotencyKey == null ? null : keyedEntries.get(idempotencyKey);
        return entry != null && entry.runSubmitted;
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
     * because another attempt has claimed it. The window counts from the arrival of this attempt.
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
        request.ownEntry.runSubmitted = true;
        request.ownEntry.validUntilMillis = request.arrivedAtMillis + windowMillis;
        request.ownEntry.expiresAtMillis =
                Math.max(nowMillis, request.ownEntry.validUntilMillis)
                        + WINDOW_MARGIN_MILLIS
                        + deadlineMillis;
        return true;
    }

    /** Revokes the claim of a run that was not submitted after all, so that nothing has run yet. */
    void revokeClaim(ActiveRequest request) {
        if (request.ownEntry != null) {
            request.ownEntry.runSubmitted = false;
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
        entry.completed = true;
        entry.completedAtMillis = nowMillis;
        entry.result = result == null ? null : ByteBufUtil.getBytes(result);
        List<ActiveRequest> duplicates = List.copyOf(entry.waitingDuplicates);
        entry.waitingDuplicates.clear();
        if (entry.idempotencyKey != null) {
            if (request.progress == Progress.NOT_SENT) {
                // The request never ran, so the next attempt is a new request.
                remove(entry);
            } else if (entry.result != null) {
                keyedResults.add(entry);
                resultBytes += entry.result.length;
                while (resultBytes > MAX_RESULT_BYTES) {
                    dropResult(keyedResults.peek());
                }
            }
        }
        return duplicates;
    }

    private void remove(Entry entry) {
        keyedEntries.remove(entry.idempotencyKey, entry);
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
                    .filter(entry -> entry.completed && entry.expiresAtMillis < nowMillis)
                    .forEach(this::remove);
        }
    }
}
