package tinroad.catalog;

import java.util.ArrayDeque;
import java.util.BitSet;

/**
 * Which places of a table are given out. Guards against two entries at one place: a place is given
 * anew only once it was left and then said to be free, each once.
 */
final class SlotAllocator {
    private final int most;
    private final ArrayDeque<Integer> free = new ArrayDeque<>();
    private final BitSet left = new BitSet();
    private int next;

    /** {@code first} are given out; there are {@code most}. */
    SlotAllocator(int first, int most) {
        next = first;
        this.most = most;
    }

    /** How many can be given out now. */
    int room() {
        return free.size() + most - next;
    }

    /** Places that were left and may still be named by something in hand. */
    int waiting() {
        return left.cardinality();
    }

    int give() {
        return free.isEmpty() ? next++ : free.remove();
    }

    void leave(int place) {
        left.set(place);
    }

    void free(int place) {
        if (left.get(place)) {
            left.clear(place);
            free.add(place);
        }
    }
}
