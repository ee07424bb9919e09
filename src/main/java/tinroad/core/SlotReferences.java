package tinroad.core;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.BitSet;
import java.util.function.Consumer;

/**
 * Counts how many requests in flight refer to each slot of classes, or of tenants, and reports the
 * removed slots that none refers to any more. This prevents a slot from being assigned again while
 * a request of its former class still refers to it. The table is as long as the highest slot
 * referred to; a request costs two steps, whatever that length. All methods must be called on the
 * event loop.
 */
final class SlotReferences {
    /**
     * How long, in ms, a removed slot stays reserved after its last reference, because the
     * controller may still know a request that the gateway has answered on its own.
     */
    static final double REUSE_DELAY_MILLIS = 2000;

    /**
     * The maximum number of slots that are reported free at once. The others follow at the next
     * check.
     */
    static final int MAX_FREED_PER_CHECK = 256;

    private record Unreferenced(int slot, double sinceMillis) {}

    private final BitSet removed = new BitSet();

    /** Removed slots that nothing referred to when they were added here, oldest first. */
    private final ArrayDeque<Unreferenced> unreferenced = new ArrayDeque<>();

    private int[] counts = new int[16];
    private Consumer<int[]> freeListener = slots -> {};

    /** Sets the listener that is notified of the slots that may be assigned again. */
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

    /**
     * Records that the class or tenant of this slot was removed, so that no further request will
     * refer to it.
     */
    void remove(int slot, double nowMillis) {
        removed.set(slot);
        if (count(slot) == 0) {
            unreferenced.add(new Unreferenced(slot, nowMillis));
        }
    }

    /** Returns how many requests in flight refer to this slot. */
    int count(int slot) {
        return slot < counts.length ? counts[slot] : 0;
    }

    /**
     * Reports the slots that have been without a reference for long enough, up to a maximum number.
     */
    void releaseUnreferenced(double nowMillis) {
        int[] freed = new int[Math.min(MAX_FREED_PER_CHECK, unreferenced.size())];
        int freedCount = 0;
        while (freedCount < freed.length
                && !unreferenced.isEmpty()
                && nowMillis - unreferenced.peek().sinceMillis >= REUSE_DELAY_MILLIS) {
            int slot = unreferenced.remove().slot;
            // A slot that was referred to again meanwhile is skipped; its last release adds it
            // again.
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
