package tinroad.recovery;

import java.util.SplittableRandom;

/** Random numbers that differ between gateways, and are the same in each run with one seed. */
final class SeededRandom {
    private SeededRandom() {}

    /** A generator that depends on every bit of the seed and of the name's hash code. */
    static SplittableRandom of(String name, long seed) {
        return new SplittableRandom(seed ^ (long) name.hashCode() << Integer.SIZE);
    }
}
