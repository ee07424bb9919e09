package tinroad.catalog;

import java.util.ArrayDeque;
import java.util.BitSet;

/**
 * Allocates the slots of a table. Guards against two entries in one slot: a slot is allocated again
 * only after it was retired and then released, each once.
 */
final class SlotAllocator {
    private final int maxSlots;
    private final ArrayDeque<Integer> free = new ArrayDeque<>();
    private final BitSet retired = new BitSet();
    private int nextUnused;

    /** Slots from 0 to {@code allocated} are in use; there are {@code maxSlots}. */
    SlotAllocator(int allocated, int maxSlots) {
        nextUnused = allocated;
        this.maxSlots = maxSlots;
    }

    /** How many slots can be allocated now. */
    int available() {
        return free.size() + maxSlots - nextUnused;
    }

    /** Slots without an entry that requests in flight may still refer to. */
    int retiredCount() {
        return retired.cardinality();
    }

    int allocate() {
        return free.isEmpty() ? nextUnused++ : free.remove();
    }

    /** The slot's entry was removed; requests in flight may still refer to it. */
    void retire(int slot) {
        retired.set(slot);
    }

    /** Nothing refers to the slot any more; without effect on one that was not retired. */
    void release(int slot) {
        if (retired.get(slot)) {
            retired.clear(slot);
            free.add(slot);
        }
    }
}
