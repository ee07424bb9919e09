package tinroad.core;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.BitSet;
import java.util.function.Consumer;

/**
 * How many requests in hand name each place of classes, or of tenants, and which removed places
 * nothing names any more. Guards against a place that is given anew while a request of the one
 * before still goes by it. Its size is that of the highest place that was named; a request costs
 * two steps, whatever else there is.
 */
final class SlotReferences {
    /**
     * So long, in ms, after nothing names it the module may still know what this gateway has
     * answered in its stead.
     */
    static final double GRACE = 2000;

    /** So many are told free at once. */
    static final int MOST_TOLD = 256;

    private record Left(int place, double at) {}

    private final BitSet removed = new BitSet();

    /** Removed ones that nothing named when they were put here, in the order of time. */
    private final ArrayDeque<Left> leaving = new ArrayDeque<>();

    private int[] naming = new int[16];
    private Consumer<int[]> free = places -> {};

    /** Sets who hears of the places that may be given anew. */
    void onFree(Consumer<int[]> listener) {
        free = listener;
    }

    void take(int place) {
        if (place >= naming.length) {
            naming = Arrays.copyOf(naming, Math.max(place + 1, 2 * naming.length));
        }
        naming[place]++;
    }

    void release(int place, double nowMillis) {
        if (--naming[place] == 0 && removed.get(place)) {
            leaving.add(new Left(place, nowMillis));
        }
    }

    /** No request comes under this place any more. */
    void remove(int place, double nowMillis) {
        removed.set(place);
        if (named(place) == 0) {
            leaving.add(new Left(place, nowMillis));
        }
    }

    private int named(int place) {
        return place < naming.length ? naming[place] : 0;
    }

    /** Tells the places that were left long enough ago, a bounded part of them. */
    void sweep(double nowMillis) {
        int[] told = new int[Math.min(MOST_TOLD, leaving.size())];
        int n = 0;
        while (n < told.length && !leaving.isEmpty() && nowMillis - leaving.peek().at >= GRACE) {
            int place = leaving.remove().place;
            // Named anew meanwhile: whoever lets go of it last puts it here again.
            if (named(place) == 0 && removed.get(place)) {
                removed.clear(place);
                told[n++] = place;
            }
        }
        if (n > 0) {
            free.accept(Arrays.copyOf(told, n));
        }
    }
}
