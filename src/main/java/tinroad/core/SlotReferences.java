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
    static final double REUSE_DELAY_MILLIS = 2000;

    /** So many are told free at once. */
    static final int MAX_FREED_PER_SWEEP = 256;

    private record Unreferenced(int slot, double sinceMillis) {}

    private final BitSet removed = new BitSet();

    /** Removed ones that nothing named when they were put here, in the order of time. */
    private final ArrayDeque<Unreferenced> unreferenced = new ArrayDeque<>();

    private int[] counts = new int[16];
    private Consumer<int[]> freeListener = slots -> {};

    /** Sets who hears of the places that may be given anew. */
    void onFree(Consumer<int[]> listener) {
        freeListener = listener;
    }

    void acquire(int slot) {
        if (slot >= counts.length) {
            counts = Arrays.copyOf(counts, Math.max(slot + 1, 2 * counts.length));
        }
        counts[slot]++;
    }

    void release(int slot, double nowMillis) {
        if (--counts[slot] == 0 && removed.get(slot)) {
            unreferenced.add(new Unreferenced(slot, nowMillis));
        }
    }

    /** No request comes under this place any more. */
    void remove(int slot, double nowMillis) {
        removed.set(slot);
        if (count(slot) == 0) {
            unreferenced.add(new Unreferenced(slot, nowMillis));
        }
    }

    private int count(int slot) {
        return slot < counts.length ? counts[slot] : 0;
    }

    /** Tells the places that were left long enough ago, a bounded part of them. */
    void releaseUnreferenced(double nowMillis) {
        int[] freed = new int[Math.min(MAX_FREED_PER_SWEEP, unreferenced.size())];
        int freedCount = 0;
        while (freedCount < freed.length
                && !unreferenced.isEmpty()
                && nowMillis - unreferenced.peek().sinceMillis >= REUSE_DELAY_MILLIS) {
            int slot = unreferenced.remove().slot;
            // Named anew meanwhile: whoever lets go of it last puts it here again.
            if (count(slot) == 0 && removed.get(slot)) {
                removed.clear(slot);
                freed[freedCount++] = slot;
            }
        }
        if (freedCount > 0) {
            freeListener.accept(Arrays.copyOf(freed, freedCount));
        }
    }
}
