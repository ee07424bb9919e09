package tinroad.overload;

import java.util.Arrays;
import java.util.List;
import java.util.function.Consumer;

/**
 * Values by slot, in chunks that versions of the table share until one changes them (copy on
 * write). Guards against a change of one entry that costs by the size of the table. Chunks never
 * used take no memory.
 */
final class SlotTable<T> {
    private static final int CHUNK_BITS = 8;
    private static final int CHUNK_SLOTS = 1 << CHUNK_BITS;

    /** Slots beyond this are an error of the caller: the table grows up to the highest one. */
    static final int MAX_SLOTS = 1 << 24;

    private Object[][] chunks;

    /** Which chunks belong to this version alone; the others are shared. */
    private boolean[] ownChunks;

    private int size;

    /** Reads so far, by which tests bound the cost of an event. */
    private long reads;

    /** An empty table. */
    SlotTable() {
        this(new Object[0][], 0);
    }

    private SlotTable(Object[][] chunks, int size) {
        this.chunks = chunks;
        this.ownChunks = new boolean[chunks.length];
        this.size = size;
    }

    /** The values of a list, each in the slot of its index. */
    static <T> SlotTable<T> of(List<T> values) {
        SlotTable<T> all = new SlotTable<>();
        for (T value : values) {
            all.set(all.size, value);
        }
        return all;
    }

    /** A copy to be changed; what is set in this version afterwards may show in the copy or not. */
    SlotTable<T> nextVersion() {
        SlotTable<T> next = new SlotTable<>(chunks.clone(), size);
        next.reads = reads;
        return next;
    }

    /** The value in this slot; null where there is none. */
    @SuppressWarnings("unchecked")
    T get(int slot) {
        reads++;
        int chunk = slot >> CHUNK_BITS;
        return slot < 0 || chunk >= chunks.length || chunks[chunk] == null
                ? null
                : (T) chunks[chunk][slot & CHUNK_SLOTS - 1];
    }

    /** Sets the value in this slot, null for none; the table grows as it must. */
    void set(int slot, T value) {
        if (slot < 0 || slot >= MAX_SLOTS) {
            throw new IllegalArgumentException("slot " + slot);
        }
        int chunk = slot >> CHUNK_BITS;
        if (chunk >= chunks.length) {
            int length = Math.max(chunk + 1, chunks.length + chunks.length / 2);
            chunks = Arrays.copyOf(chunks, length);
            ownChunks = Arrays.copyOf(ownChunks, length);
        }
        if (!ownChunks[chunk]) {
            chunks[chunk] = chunks[chunk] == null ? new Object[CHUNK_SLOTS] : chunks[chunk].clone();
            ownChunks[chunk] = true;
        }
        chunks[chunk][slot & CHUNK_SLOTS - 1] = value;
        size = Math.max(size, slot + 1);
    }

    /** Visits all values, without a look at chunks never used. */
    @SuppressWarnings("unchecked")
    void forEach(Consumer<T> action) {
        for (Object[] chunk : chunks) {
            for (int i = 0; chunk != null && i < CHUNK_SLOTS; i++) {
                reads++;
                if (chunk[i] != null) {
                    action.accept((T) chunk[i]);
                }
            }
        }
    }

    /** One more than the highest slot ever set. */
    int size() {
        return size;
    }

    /** How often a slot was read, in this version and those before it. */
    long reads() {
        return reads;
    }
}
