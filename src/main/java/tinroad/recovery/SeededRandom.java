package tinroad.recovery;

import java.util.SplittableRandom;

/**
 * Creates random number generators that differ between gateways, and repeat in each run with the
 * same seed.
 */
final class SeededRandom {
    private SeededRandom() {}

    /** Returns a generator that depends on every bit of the seed and of the name's hash code. */
    static SplittableRandom of(String name, long seed) {
        return new SplittableRandom(seed ^ (long) name.hashCode() << Integer.SIZE);
    }
}
