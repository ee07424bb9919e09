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
 * Which requests are duplicates of which, and the results that may be replayed to them. Reads whose
 * key the controller retains are found by class and result key, while the first of them runs and
 * for the configured time that results stay fresh; none where that time is 0. Attempts of keyed
 * classes are found by their idempotency key, from the first that is queued until no attempt of the
 * same request may run any more: neither a full table nor a failure of the controller makes one of
 * them run twice. See docs/keyed-requests.md for what a duplicate gets in each state. Owned by the
 * event loop; times in Unix ms.
 */
final class IdempotencyTable {
    /** Bounds the reads retained, whatever the controller asks for: further ones are not. */
    private static final int MAX_READS = 2000;

    /**
     * Bounds the idempotency keys. Where the table is full a new request of a keyed class is
     * rejected: no key is dropped early.
     */
    static final int MAX_KEYS = 16_384;

    /**
     * Bounds the results of keyed runs, in bytes: beyond it the oldest is dropped, and its
     * duplicates fail.
     */
    static final int MAX_RESULT_BYTES = 4 * 1024 * 1024;

    /**
     * Extends the window in which nothing runs again, in ms. Guards against clocks and readings
     * that are a little off.
     */
    static final double WINDOW_MARGIN_MILLIS = 100;

    /** Period of the sweep for keys that have expired, in ms. */
    private static final double SWEEP_INTERVAL_MILLIS = 1000;

    private final double resultFreshMillis;
    private final Map<String, Entry> reads = new LinkedHashMap<>();
    private final Map<String, Entry> keyedRequests = new HashMap<>();

    /** Keyed requests whose result is retained, oldest first. */
    private final ArrayDeque<Entry> keyedResults = new ArrayDeque<>();

    private int resultBytes;
    private double nextSweepAtMillis;

    IdempotencyTable(double resultFreshMillis) {
        this.resultFreshMillis = resultFreshMillis;
    }

    /** One request, whichever of its attempts runs. */
    static final class Entry {
        final String requestId;

        /** What all its attempts carry; null for reads. */
        private final String idempotencyKey;

        private final String className;
        private final byte[] bodyDigest;
        private double validUntilMillis;

        /**
         * Keyed: a run was submitted, perhaps without effect; from then on none is submitted again
         * within the window.
         */
        private boolean runSubmitted;

        /** Keyed: no attempt with a deadline before this can still arrive. */
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

        /** Whether a run was submitted: then no attempt may get the answer that nothing ran. */
        boolean runSubmitted() {
            return runSubmitted;
        }

        /** The result of the run, or null where there is none. */
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

    /** The entry that this request is a duplicate of, or null. */
    Entry findOriginal(ActiveRequest request, double nowMillis) {
        if (request.idempotencyKey != null) {
            Entry entry = keyedRequests.get(request.idempotencyKey);
            return entry == null || isWindowOver(entry, request, nowMillis) ? null : entry;
        }
        Entry entry =
                request.resultKey == null || resultFreshMillis <= 0
                        ? null
                        : reads.get(readKey(request));
        boolean isUsable =
                entry != null
                        && nowMillis <= entry.validUntilMillis
                        && (!entry.completed
                                || (entry.result != null
                                        && nowMillis
                                                <= entry.completedAtMillis + resultFreshMillis));
        return isUsable ? entry : null;
    }

    /**
     * Whether the window is over for this attempt. Guards against an attempt that was written
     * within the window and is read after it: the arrival that it states counts where that is
     * earlier.
     */
    private static boolean isWindowOver(Entry entry, ActiveRequest request, double nowMillis) {
        return entry.runSubmitted
                && entry.completed
                && Math.min(nowMillis, request.arrivedAtMillis)
                        > entry.validUntilMillis + WINDOW_MARGIN_MILLIS;
    }

    /**
     * Whether the idempotency key of this request stands for another one: of another class, or with
     * another body.
     */
    static boolean conflicts(ActiveRequest request, Entry original) {
        return request.idempotencyKey != null
                && original != null
                && !(request.className().equals(original.className)
                        && Arrays.equals(request.bodyDigest(), original.bodyDigest));
    }

    /**
     * Whether a run was submitted for the request with this key, and no attempt of it may run again
     * yet; false for null.
     */
    boolean isRunSubmitted(String idempotencyKey) {
        Entry entry = idempotencyKey == null ? null : keyedRequests.get(idempotencyKey);
        return entry != null && entry.runSubmitted;
    }

    /** Whether there is no capacity for one more idempotency key. */
    boolean isFull() {
        return keyedRequests.size() >= MAX_KEYS;
    }

    void retain(ActiveRequest request, double validUntilMillis, double nowMillis) {
        if (request.idempotencyKey != null) {
            retainKeyed(request, nowMillis);
            return;
        }
        if (request.resultKey == null || resultFreshMillis <= 0 || reads.size() >= MAX_READS) {
            return;
        }
        Entry entry = reads.get(readKey(request));
        if (entry == null || !entry.requestId.equals(request.id)) {
            entry = new Entry(request);
            reads.put(readKey(request), entry);
            request.ownEntry = entry;
        }
        entry.validUntilMillis = validUntilMillis;
    }

    private void retainKeyed(ActiveRequest request, double nowMillis) {
        Entry entry = keyedRequests.get(request.idempotencyKey);
        if (entry == null || isWindowOver(entry, request, nowMillis)) {
            if (entry != null) {
                remove(entry);
            }
            request.ownEntry = new Entry(request);
            keyedRequests.put(request.idempotencyKey, request.ownEntry);
        }
    }

    /**
     * Claims the run that is about to be submitted; false where it must not be, as another attempt
     * has claimed it. The window counts from the arrival of this attempt.
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

    /** The run that was claimed was not submitted: nothing ran yet. */
    void revokeRun(ActiveRequest request) {
        if (request.ownEntry != null) {
            request.ownEntry.runSubmitted = false;
        }
    }

    void release(String id) {
        reads.values().removeIf(entry -> entry.requestId.equals(id));
    }

    /**
     * A request is over, with this result or, where it has none, null; returns the duplicates that
     * waited for it.
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
                // It never ran: the next attempt is a new request.
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
        keyedRequests.remove(entry.idempotencyKey, entry);
        dropResult(entry);
    }

    private void dropResult(Entry entry) {
        if (keyedResults.remove(entry)) {
            resultBytes -= entry.result.length;
            entry.result = null;
        }
    }

    /** Bytes of the results of keyed runs that are retained. */
    int resultBytes() {
        return resultBytes;
    }

    /** Keyed requests whose result is retained, oldest first; a copy. */
    List<Entry> keyedResults() {
        return List.copyOf(keyedResults);
    }

    /** Whether this is the entry of its idempotency key. */
    boolean isCurrent(Entry entry) {
        return keyedRequests.get(entry.idempotencyKey) == entry;
    }

    void expire(double nowMillis) {
        reads.values().removeIf(entry -> entry.validUntilMillis < nowMillis);
        if (nowMillis >= nextSweepAtMillis) {
            nextSweepAtMillis = nowMillis + SWEEP_INTERVAL_MILLIS;
            List.copyOf(keyedRequests.values()).stream()
                    .filter(entry -> entry.completed && entry.expiresAtMillis < nowMillis)
                    .forEach(this::remove);
        }
    }
}
