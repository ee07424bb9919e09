package tinroad.overload;

import java.util.Arrays;
import java.util.List;
import java.util.function.Consumer;

/**
 * Values by place, in chunks, so that a later version of a large table shares with the one before
 * all chunks but those that it changes. Guards against a change of one entry that costs by the size
 * of the table. Nothing is held for chunks never used.
 */
final class SlotTable<T> {
    private static final int BITS = 8;
    private static final int CHUNK = 1 << BITS;

    /**
     * Places beyond this are a mistake of whoever gives them: the table grows up to the highest
     * one.
     */
    static final int MOST = 1 << 24;

    private Object[][] chunks;

    /** Which chunks belong to this version alone; the others may be seen by another one. */
    private boolean[] own;

    private int size;

    /** By which tests hold what an event costs. */
    private long reads;

    /** An empty table. */
    SlotTable() {
        this(new Object[0][], 0);
    }

    private SlotTable(Object[][] chunks, int size) {
        this.chunks = chunks;
        this.own = new boolean[chunks.length];
        this.size = size;
    }

    /** The values of a list, at the places that they have there. */
    static <T> SlotTable<T> of(List<T> values) {
        SlotTable<T> all = new SlotTable<>();
        for (T value : values) {
            all.set(all.size, value);
        }
        return all;
    }

    /**
     * The next version, which is this one until something is set in it; what is set in this one
     * afterwards it may see or not.
     */
    SlotTable<T> next() {
        SlotTable<T> next = new SlotTable<>(chunks.clone(), size);
        next.reads = reads;
        return next;
    }

    /** The value at this place; null where there is none. */
    @SuppressWarnings("unchecked")
    T get(int place) {
        reads++;
        int chunk = place >> BITS;
        return place < 0 || chunk >= chunks.length || chunks[chunk] == null
                ? null
                : (T) chunks[chunk][place & CHUNK - 1];
    }

    /** Sets the value at this place, null for none; the table grows as it must. */
    void set(int place, T value) {
        if (place < 0 || place >= MOST) {
            throw new IllegalArgumentException("place " + place);
        }
        int chunk = place >> BITS;
        if (chunk >= chunks.length) {
            int length = Math.max(chunk + 1, chunks.length + chunks.length / 2);
            chunks = Arrays.copyOf(chunks, length);
            own = Arrays.copyOf(own, length);
        }
        if (!own[chunk]) {
            chunks[chunk] = chunks[chunk] == null ? new Object[CHUNK] : chunks[chunk].clone();
            own[chunk] = true;
        }
        chunks[chunk][place & CHUNK - 1] = value;
        size = Math.max(size, place + 1);
    }

    /** Goes over all values, without a look at chunks never used. */
    @SuppressWarnings("unchecked")
    void forEach(Consumer<T> what) {
        for (Object[] chunk : chunks) {
            for (int i = 0; chunk != null && i < CHUNK; i++) {
                reads++;
                if (chunk[i] != null) {
                    what.accept((T) chunk[i]);
                }
            }
        }
    }

    /** One more than the highest place ever set. */
    int size() {
        return size;
    }

    /** How often a place was read, in this version and those before it. */
    long reads() {
        return reads;
    }
}
