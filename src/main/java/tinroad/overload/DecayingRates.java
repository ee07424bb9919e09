package tinroad.overload;

import java.util.Arrays;

/**
 * Rates by slot that decay with time. Each rate has its own time stamp and is decayed only when it
 * is read or added to, so that the passing of time costs nothing. Chunks that were never used take
 * no memory.
 */
final class DecayingRates {
    private static final int CHUNK_BITS = 8;

    /** Time constant of the decay: a rate falls to 1/e in this time. */
    private final double timeConstantMillis;

    /** Chunks in which each rate is followed by its time stamp. */
    private double[][] chunks = new double[1][];

    DecayingRates(double timeConstantMillis) {
        this.timeConstantMillis = timeConstantMillis;
    }

    /** Returns the rate in this slot. */
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
                            : chunk[index]
                                    * Math.exp((chunk[index + 1] - nowMillis) / timeConstantMillis);
            chunk[index + 1] = nowMillis;
        }
        return chunk[index];
    }
}
