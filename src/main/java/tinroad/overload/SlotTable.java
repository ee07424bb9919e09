package tinroad.overload;

import java.util.Arrays;
import java.util.List;
import java.util.function.Consumer;

/**
 * A table of values by slot. Versions of the table share chunks until one of them changes a chunk
 * (copy on write), so that the cost of changing one entry does not depend on the size of the table.
 * Chunks that were never used take no memory.
 */
final class SlotTable<T> {
    private static final int CHUNK_BITS = 8;
    private static final int CHUNK_SLOTS = 1 << CHUNK_BITS;

    /**
     * Bound on slot numbers. A higher one is an error of the caller, because the table grows up to
     * the highest slot.
     */
    static final int MAX_SLOTS = 1 << 24;

    private Object[][] chunks;

    /** Whether each chunk belongs to this version alone; the others are shared. */
    private boolean[] ownChunks;

    private int size;

    /** Number of slot reads so far, by which tests bound the cost of an event. */
    private long reads;

    /** Creates an empty table. */
    SlotTable() {
        this(new Object[0][], 0);
    }

    private SlotTable(Object[][] chunks, int size) {
        this.chunks = chunks;
        this.ownChunks = new boolean[chunks.length];
        this.size = size;
    }

    /** Creates a table from a list, each value in the slot of its index. */
    static <T> SlotTable<T> of(List<T> values) {
        SlotTable<T> table = new SlotTable<>();
        for (T value : values) {
            table.set(table.size, value);
        }
        return table;
    }

    /**
     * Returns a copy to be changed. What is set in this version afterwards may or may not show in
     * the copy.
     */
    SlotTable<T> nextVersion() {
        SlotTable<T> next = new SlotTable<>(chunks.clone(), size);
        next.reads = reads;
        return next;
    }

    /** Returns the value in this slot, or null if there is none. */
    @SuppressWarnings("unchecked")
    T get(int slot) {
        reads++;
        int chunk = slot >> CHUNK_BITS;
        return slot < 0 || chunk >= chunks.length || chunks[chunk] == null
                ? null
                : (T) chunks[chunk][slot & CHUNK_SLOTS - 1];
    }

    /** Sets the value in this slot, null for none. The table grows as needed. */
    void set(int slot, T value) {
        if (slot < 0 || slot >= MAX_SLOTS) {
            throw new IllegalArgumentException("slot out of range: " + slot);
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

    /** Visits all values; chunks that were never used are skipped. */
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

    /** Number of slot reads in this version and those before it. */
    long reads() {
        return reads;
    }
}
