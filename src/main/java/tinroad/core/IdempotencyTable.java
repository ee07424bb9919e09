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
    private static final int MOST_READS = 2000;

    /**
     * Bounds the tokens kept. Where all are taken a new request of a keyed class is turned away:
     * none is forgotten early.
     */
    static final int MOST_TOKENS = 16_384;

    /**
     * Bounds the results of keyed runs in bytes: beyond it the oldest goes, and its repeats fail.
     */
    static final int MOST_RESULTS = 4 * 1024 * 1024;

    /**
     * Guards the window against clocks and readings that are a little off, in ms: so much longer
     * nothing runs again.
     */
    static final double MARGIN = 100;

    /** Period of the look for tokens that may be forgotten, in ms. */
    private static final double SWEEP = 1000;

    private final double freshFor;
    private final int mostTokens;
    private final int mostResults;
    private final Map<String, Kept> byKey = new LinkedHashMap<>();
    private final Map<String, Kept> byToken = new HashMap<>();

    /** Keyed runs whose result is kept, the oldest first. */
    private final ArrayDeque<Kept> results = new ArrayDeque<>();

    private int resultBytes;
    private double nextSweep;

    IdempotencyTable(double freshFor) {
        this(freshFor, MOST_TOKENS, MOST_RESULTS);
    }

    IdempotencyTable(double freshFor, int mostTokens, int mostResults) {
        this.freshFor = freshFor;
        this.mostTokens = mostTokens;
        this.mostResults = mostResults;
    }

    /** An entry: one request, whichever of its tries runs. */
    static final class Kept {
        final String id;

        /** The token that names it, and what its tries carry; null for reads. */
        private final String token;

        private final String kind;
        private final byte[] digest;
        private double until;

        /**
         * Keyed: a run was ordered, perhaps without effect; from then on none is ordered again
         * within the window.
         */
        private boolean ran;

        /** Keyed: a try that is due later than this can't be there any more. */
        private double forgetAt = Double.MAX_VALUE;

        private boolean concluded;
        private double concludedAt;
        private byte[] result;
        private final List<Request> waiting = new ArrayList<>();

        private Kept(Request r) {
            id = r.id;
            kind = r.kind();
            token = r.token;
            digest = r.token == null ? null : r.digest();
        }

        boolean concluded() {
            return concluded;
        }

        /** Whether a run was ordered for it: then no try of it may be told that nothing ran. */
        boolean ran() {
            return ran;
        }

        /** The result that the run made, or null where there is none. */
        byte[] result() {
            return result;
        }

        void await(Request repeat) {
            waiting.add(repeat);
        }
    }

    private static String entry(Request r) {
        return r.kind() + ' ' + r.key;
    }

    /** What this request repeats, or null. */
    Kept find(Request r, double nowMillis) {
        if (r.token != null) {
            Kept kept = byToken.get(r.token);
            return kept == null || lapsed(kept, r, nowMillis) ? null : kept;
        }
        Kept kept = r.key == null || freshFor <= 0 ? null : byKey.get(entry(r));
        boolean useful =
                kept != null
                        && nowMillis <= kept.until
                        && (!kept.concluded
                                || (kept.result != null
                                        && nowMillis <= kept.concludedAt + freshFor));
        return useful ? kept : null;
    }

    /**
     * Whether the window is over for this try. Guards against a try that was written within the
     * window and is read after it: what it says of its own arrival counts where that is earlier.
     */
    private static boolean lapsed(Kept kept, Request r, double nowMillis) {
        return kept.ran && kept.concluded && Math.min(nowMillis, r.arrivedAt) > kept.until + MARGIN;
    }

    /** Whether the token that it carries names another request: another class, or another body. */
    static boolean conflicts(Request r, Kept repeated) {
        return r.token != null
                && repeated != null
                && !(r.kind().equals(repeated.kind) && Arrays.equals(r.digest(), repeated.digest));
    }

    /**
     * Whether a run was ordered for the request that this token, perhaps null, names, and no try of
     * it may run again yet.
     */
    boolean ran(String token) {
        Kept kept = token == null ? null : byToken.get(token);
        return kept != null && kept.ran;
    }

    /** Whether there is no room for one more token. */
    boolean full() {
        return byToken.size() >= mostTokens;
    }

    void keep(Request r, double until, double nowMillis) {
        if (r.token != null) {
            keepKeyed(r, nowMillis);
            return;
        }
        if (r.key == null || freshFor <= 0 || byKey.size() >= MOST_READS) {
            return;
        }
        Kept kept = byKey.get(entry(r));
        if (kept == null || !kept.id.equals(r.id)) {
            kept = new Kept(r);
            byKey.put(entry(r), kept);
            r.kept = kept;
        }
        kept.until = until;
    }

    private void keepKeyed(Request r, double nowMillis) {
        Kept kept = byToken.get(r.token);
        if (kept == null || lapsed(kept, r, nowMillis)) {
            if (kept != null) {
                remove(kept);
            }
            r.kept = new Kept(r);
            byToken.put(r.token, r.kept);
        }
    }

    /**
     * A run of this request is about to be ordered; false where it must not be: another try of it
     * has the token. Counts the window from the arrival of this try.
     */
    boolean mayRun(Request r, double window, double deadline, double nowMillis) {
        if (r.token == null) {
            return true;
        }
        keepKeyed(r, nowMillis);
        if (r.kept == null) {
            return false;
        }
        r.kept.ran = true;
        r.kept.until = r.arrivedAt + window;
        r.kept.forgetAt = Math.max(nowMillis, r.kept.until) + MARGIN + deadline;
        return true;
    }

    /** The run that was to be ordered was not: nothing ran yet. */
    void unsent(Request r) {
        if (r.kept != null) {
            r.kept.ran = false;
        }
    }

    void forget(String id) {
        byKey.values().removeIf(kept -> kept.id.equals(id));
    }

    /** A kept request came to its end; returns the repeats that waited for it. */
    List<Request> conclude(Request r, ByteBuf result, double nowMillis) {
        Kept kept = r.kept;
        if (kept == null || kept.concluded) {
            return List.of();
        }
        kept.concluded = true;
        kept.concludedAt = nowMillis;
        kept.result = result == null ? null : ByteBufUtil.getBytes(result);
        List<Request> waiting = List.copyOf(kept.waiting);
        kept.waiting.clear();
        if (kept.token != null) {
            if (r.progress == Progress.NOT_SENT) {
                // It never ran: the next try is a new one.
                remove(kept);
            } else if (kept.result != null) {
                results.add(kept);
                resultBytes += kept.result.length;
                while (resultBytes > mostResults) {
                    dropResult(results.peek());
                }
            }
        }
        return waiting;
    }

    private void remove(Kept kept) {
        byToken.remove(kept.token, kept);
        dropResult(kept);
    }

    private void dropResult(Kept kept) {
        if (results.remove(kept)) {
            resultBytes -= kept.result.length;
            kept.result = null;
        }
    }

    void expire(double nowMillis) {
        byKey.values().removeIf(kept -> kept.until < nowMillis);
        if (nowMillis >= nextSweep) {
            nextSweep = nowMillis + SWEEP;
            List.copyOf(byToken.values()).stream()
                    .filter(kept -> kept.concluded && kept.forgetAt < nowMillis)
                    .forEach(this::remove);
        }
    }
}
