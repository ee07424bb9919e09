package tinroad.core;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The table of keys: reads that the module keeps, so that a read of the same class and key is known as a repeat
 * while the first runs, and for the settings' fresh time after it. Empty where that time is 0. Other classes
 * carry no key in today's protocol, so nothing is kept for them.
 */
final class Repeats {
    /** Bounds the results kept, whatever the module asks for. */
    private static final int MOST = 2000;

    private final double freshFor;
    private final Map<String, Kept> byKey = new LinkedHashMap<>();

    Repeats(double freshFor) {
        this.freshFor = freshFor;
    }

    /** An entry of the table. */
    static final class Kept {
        final String id;
        private double until;
        private boolean concluded;
        private double concludedAt;
        private byte[] result;
        private final List<Request> waiting = new ArrayList<>();

        private Kept(String id) {
            this.id = id;
        }

        boolean concluded() {
            return concluded;
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
        return r.kind + ' ' + r.key;
    }

    /** What this request repeats, or null. */
    Kept find(Request r, double now) {
        Kept kept = r.key == null || freshFor <= 0 ? null : byKey.get(entry(r));
        boolean useful = kept != null && now <= kept.until
                && (!kept.concluded || kept.result != null && now <= kept.concludedAt + freshFor);
        return useful ? kept : null;
    }

    void keep(Request r, double until) {
        if (r.key == null || freshFor <= 0 || byKey.size() >= MOST) {
            return;
        }
        Kept kept = byKey.get(entry(r));
        if (kept == null || !kept.id.equals(r.id)) {
            kept = new Kept(r.id);
            byKey.put(entry(r), kept);
            r.kept = kept;
        }
        kept.until = until;
    }

    void forget(String id) {
        byKey.values().removeIf(kept -> kept.id.equals(id));
    }

    /** A kept request came to its end; returns the repeats that waited for it. */
    List<Request> conclude(Request r, ByteBuf result, double now) {
        if (r.kept == null || r.kept.concluded) {
            return List.of();
        }
        r.kept.concluded = true;
        r.kept.concludedAt = now;
        r.kept.result = result == null ? null : ByteBufUtil.getBytes(result);
        List<Request> waiting = List.copyOf(r.kept.waiting);
        r.kept.waiting.clear();
        return waiting;
    }

    void expire(double now) {
        Iterator<Kept> entries = byKey.values().iterator();
        while (entries.hasNext()) {
            if (entries.next().until < now) {
                entries.remove();
            }
        }
    }
}
