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
 * What repeats what. Reads that the module keeps are known by class and key, while the first runs
 * and for the settings' fresh time after it; none where that time is 0. Tries of keyed classes are
 * known by their token, from the first that is held until no try of the same request may run any
 * more: no memory that runs short, and no failure of the module, makes one of them run twice. See
 * docs/keyed-requests.md for what a repeat gets in each state.
 */
final class IdempotencyTable {
    /** Bounds the reads kept, whatever the module asks for. */
    private static final int MAX_READS = 2000;

    /**
     * Bounds the tokens kept. Where all are taken a new request of a keyed class is turned away:
     * none is forgotten early.
     */
    static final int MAX_KEYS = 16_384;

    /**
     * Bounds the results of keyed runs in bytes: beyond it the oldest goes, and its repeats fail.
     */
    static final int MAX_RESULT_BYTES = 4 * 1024 * 1024;

    /**
     * Guards the window against clocks and readings that are a little off, in ms: so much longer
     * nothing runs again.
     */
    static final double WINDOW_MARGIN_MILLIS = 100;

    /** Period of the look for tokens that may be forgotten, in ms. */
    private static final double SWEEP_INTERVAL_MILLIS = 1000;

    private final double resultFreshMillis;
    private final int maxKeys;
    private final int maxResultBytes;
    private final Map<String, Entry> reads = new LinkedHashMap<>();
    private final Map<String, Entry> keyedRequests = new HashMap<>();

    /** Keyed runs whose result is kept, the oldest first. */
    private final ArrayDeque<Entry> keyedResults = new ArrayDeque<>();

    private int resultBytes;
    private double nextSweepAtMillis;

    IdempotencyTable(double resultFreshMillis) {
        this(resultFreshMillis, MAX_KEYS, MAX_RESULT_BYTES);
    }

    IdempotencyTable(double resultFreshMillis, int maxKeys, int maxResultBytes) {
        this.resultFreshMillis = resultFreshMillis;
        this.maxKeys = maxKeys;
        this.maxResultBytes = maxResultBytes;
    }

    /** An entry: one request, whichever of its tries runs. */
    static final class Entry {
        final String requestId;

        /** The token that names it, and what its tries carry; null for reads. */
        private final String idempotencyKey;

        private final String className;
        private final byte[] bodyDigest;
        private double validUntilMillis;

        /**
         * Keyed: a run was ordered, perhaps without effect; from then on none is ordered again
         * within the window.
         */
        private boolean runSubmitted;

        /** Keyed: a try that is due later than this can't be there any more. */
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

        /** Whether a run was ordered for it: then no try of it may be told that nothing ran. */
        boolean runSubmitted() {
            return runSubmitted;
        }

        /** The result that the run made, or null where there is none. */
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

    /** What this request repeats, or null. */
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
     * Whether the window is over for this try. Guards against a try that was written within the
     * window and is read after it: what it says of its own arrival counts where that is earlier.
     */
    private static boolean isWindowOver(Entry entry, ActiveRequest request, double nowMillis) {
        return entry.runSubmitted
                && entry.completed
                && Math.min(nowMillis, request.arrivedAtMillis)
                        > entry.validUntilMillis + WINDOW_MARGIN_MILLIS;
    }

    /** Whether the token that it carries names another request: another class, or another body. */
    static boolean conflicts(ActiveRequest request, Entry original) {
        return request.idempotencyKey != null
                && original != null
                && !(request.className().equals(original.className)
                        && Arrays.equals(request.bodyDigest(), original.bodyDigest));
    }

    /**
     * Whether a run was ordered for the request that this token, perhaps null, names, and no try of
     * it may run again yet.
     */
    boolean isRunSubmitted(String idempotencyKey) {
        Entry entry = idempotencyKey == null ? null : keyedRequests.get(idempotencyKey);
        return entry != null && entry.runSubmitted;
    }

    /** Whether there is no room for one more token. */
    boolean isFull() {
        return keyedRequests.size() >= maxKeys;
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
     * A run of this request is about to be ordered; false where it must not be: another try of it
     * has the token. Counts the window from the arrival of this try.
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

    /** The run that was to be ordered was not: nothing ran yet. */
    void revokeRun(ActiveRequest request) {
        if (request.ownEntry != null) {
            request.ownEntry.runSubmitted = false;
        }
    }

    void release(String id) {
        reads.values().removeIf(entry -> entry.requestId.equals(id));
    }

    /** A kept request came to its end; returns the repeats that waited for it. */
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
                // It never ran: the next try is a new one.
                remove(entry);
            } else if (entry.result != null) {
                keyedResults.add(entry);
                resultBytes += entry.result.length;
                while (resultBytes > maxResultBytes) {
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
