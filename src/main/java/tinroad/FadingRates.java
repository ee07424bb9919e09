package tinroad;

import java.util.Arrays;

/**
 * Rates by place that fade with time. Each has its own time stamp and is faded only when it is read
 * or added to, so that time passing costs nothing. Times in ms, as they are given. Nothing is held
 * for chunks never used.
 */
final class FadingRates {
    private static final int BITS = 8;

    /** The time in which a rate falls to its e-th part. */
    private final double span;

    /** Each rate and then its time stamp. */
    private double[][] chunks = new double[1][];

    FadingRates(double span) {
        this.span = span;
    }

    /** The rate at this place. */
    double at(int place, double now) {
        double[] chunk = place >> BITS < chunks.length ? chunks[place >> BITS] : null;
        return chunk == null ? 0 : faded(chunk, index(place), now);
    }

    /** Adds to the rate at this place. */
    void add(int place, double amount, double now) {
        int at = place >> BITS;
        if (at >= chunks.length) {
            chunks = Arrays.copyOf(chunks, Math.max(at + 1, chunks.length + chunks.length / 2));
        }
        if (chunks[at] == null) {
            chunks[at] = new double[2 << BITS];
        }
        faded(chunks[at], index(place), now);
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

    private double faded(double[] chunk, int i, double now) {
        if (now > chunk[i + 1]) {
            chunk[i] = chunk[i] == 0 ? 0 : chunk[i] * Math.exp((chunk[i + 1] - now) / span);
            chunk[i + 1] = now;
        }
        return chunk[i];
    }
}
