package tinroad.catalog;

import java.util.ArrayDeque;
import java.util.BitSet;

/**
 * Allocates the slots of a table. It prevents two entries from sharing a slot: a slot is allocated
 * again only after it was retired and then released, once each.
 */
final class SlotAllocator {
    private final int maxSlots;
    private final ArrayDeque<Integer> free = new ArrayDeque<>();
    private final BitSet retired = new BitSet();
    private int nextUnused;

    /**
     * Creates an allocator of {@code maxSlots} slots, of which those below {@code allocated} are in
     * use.
     */
    SlotAllocator(int allocated, int maxSlots) {
        nextUnused = allocated;
        this.maxSlots = maxSlots;
    }

    /** The number of slots that can be allocated now. */
    int available() {
        return free.size() + maxSlots - nextUnused;
    }

    /** The number of slots without an entry to which requests in flight may still refer. */
    int retiredCount() {
        return retired.cardinality();
    }

    int allocate() {
        return free.isEmpty() ? nextUnused++ : free.remove();
    }

    /** Marks a slot whose entry was removed, but to which requests in flight may still refer. */
    void retire(int slot) {
        retired.set(slot);
    }

    /**
     * Makes a retired slot available again, once nothing refers to it. Has no effect on other
     * slots.
     */
    void release(int slot) {
        if (retired.get(slot)) {
            retired.clear(slot);
            free.add(slot);
        }
    }
}
