package tinroad.core;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.BitSet;
import java.util.function.Consumer;

/**
 * How many requests in flight refer to each slot of classes, or of tenants, and which removed slots
 * none refers to any more. Guards against a slot that is assigned again while a request of its
 * former class still refers to it. The size is that of the highest slot referred to; a request
 * costs two steps, whatever the size. Owned by the event loop.
 */
final class SlotReferences {
    /**
     * A removed slot stays reserved this long, in ms, after its last reference: the controller may
     * still know a request that the gateway has answered on its own.
     */
    static final double REUSE_DELAY_MILLIS = 2000;

    /** Bounds how many slots are reported free at once; the others follow at the next sweep. */
    static final int MAX_FREED_PER_SWEEP = 256;

    private record Unreferenced(int slot, double sinceMillis) {}

    private final BitSet removed = new BitSet();

    /** Removed slots that nothing referred to when they were added here, oldest first. */
    private final ArrayDeque<Unreferenced> unreferenced = new ArrayDeque<>();

    private int[] counts = new int[16];
    private Consumer<int[]> freeListener = slots -> {};

    /** Sets who is notified of the slots that may be assigned again. */
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

    /** The class or tenant of this slot was removed: no further request will refer to it. */
    void remove(int slot, double nowMillis) {
        removed.set(slot);
        if (count(slot) == 0) {
            unreferenced.add(new Unreferenced(slot, nowMillis));
        }
    }

    /** How many requests in flight refer to this slot. */
    int count(int slot) {
        return slot < counts.length ? counts[slot] : 0;
    }

    /** Reports slots that have been without a reference long enough, a bounded number of them. */
    void releaseUnreferenced(double nowMillis) {
        int[] freed = new int[Math.min(MAX_FREED_PER_SWEEP, unreferenced.size())];
        int freedCount = 0;
        while (freedCount < freed.length
                && !unreferenced.isEmpty()
                && nowMillis - unreferenced.peek().sinceMillis >= REUSE_DELAY_MILLIS) {
            int slot = unreferenced.remove().slot;
            // Referred to again meanwhile: the last release adds it again.
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
