package tinroad.overload;

import java.util.Arrays;

/**
 * Rates by place that fade with time. Each has its own time stamp and is faded only when it is read
 * or added to, so that time passing costs nothing. Times in ms, as they are given. Nothing is held
 * for chunks never used.
 */
final class DecayingRates {
    private static final int BITS = 8;

    /** The time in which a rate falls to its e-th part. */
    private final double span;

    /** Each rate and then its time stamp. */
    private double[][] chunks = new double[1][];

    DecayingRates(double span) {
        this.span = span;
    }

    /** The rate at this place. */
    double at(int place, double nowMillis) {
        double[] chunk = place >> BITS < chunks.length ? chunks[place >> BITS] : null;
        return chunk == null ? 0 : faded(chunk, index(place), nowMillis);
    }

    /** Adds to the rate at this place. */
    void add(int place, double amount, double nowMillis) {
        int at = place >> BITS;
        if (at >= chunks.length) {
            chunks = Arrays.copyOf(chunks, Math.max(at + 1, chunks.length + chunks.length / 2));
        }
        if (chunks[at] == null) {
            chunks[at] = new double[2 << BITS];
        }
        faded(chunks[at], index(place), nowMillis);
        chunks[at][index(place)] += amount;
    }

    /** The rate at this place is nothing from now on. */
    void clear(int place) {
        if (place >> BITS < chunks.length && chunks[place >> BITS] != null) {
            chunks[place >> BITS][index(place)] = 0;
        }
    }

    private static int index(int place) {
        return (place & (1 << BITS) - 1) * 2;
    }

    private double faded(double[] chunk, int i, double nowMillis) {
        if (nowMillis > chunk[i + 1]) {
            chunk[i] = chunk[i] == 0 ? 0 : chunk[i] * Math.exp((chunk[i + 1] - nowMillis) / span);
            chunk[i + 1] = nowMillis;
        }
        return chunk[i];
    }
}
