package tinroad.overload;

import java.util.Arrays;

/**
 * Rates by slot that decay with time. Each has its own time stamp and is decayed only when it is
 * read or added to, so that time passing costs nothing. Chunks never used take no memory.
 */
final class DecayingRates {
    private static final int CHUNK_BITS = 8;

    /** Time in which a rate falls to its e-th part. */
    private final double spanMillis;

    /** Each rate and then its time stamp. */
    private double[][] chunks = new double[1][];

    DecayingRates(double spanMillis) {
        this.spanMillis = spanMillis;
    }

    /** The rate in this slot. */
    double at(int slot, double nowMillis) {
        double[] chunk = slot >> CHUNK_BITS < chunks.length ? chunks[slot >> CHUNK_BITS] : null;
        return chunk == null ? 0 : decayed(chunk, index(slot), nowMillis);
    }

    /** Adds to the rate in this slot. */
    void add(int slot, double amount, double nowMillis) {
        int at = slot >> CHUNK_BITS;
        if (at >= chunks.length) {
            chunks = Arrays.copyOf(chunks, Math.max(at + 1, chunks.length + chunks.length / 2));
        }
        if (chunks[at] == null) {
            chunks[at] = new double[2 << CHUNK_BITS];
        }
        decayed(chunks[at], index(slot), nowMillis);
        chunks[at][index(slot)] += amount;
    }

    /** Sets the rate in this slot to 0. */
    void clear(int slot) {
        if (slot >> CHUNK_BITS < chunks.length && chunks[slot >> CHUNK_BITS] != null) {
            chunks[slot >> CHUNK_BITS][index(slot)] = 0;
        }
    }

    private static int index(int slot) {
        return (slot & (1 << CHUNK_BITS) - 1) * 2;
    }

    private double decayed(double[] chunk, int index, double nowMillis) {
        if (nowMillis > chunk[index + 1]) {
            chunk[index] =
                    chunk[index] == 0
                            ? 0
                            : chunk[index] * Math.exp((chunk[index + 1] - nowMillis) / spanMillis);
            chunk[index + 1] = nowMillis;
        }
        return chunk[index];
    }
}
