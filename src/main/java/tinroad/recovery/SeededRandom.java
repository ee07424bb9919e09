package tinroad.recovery;

import java.util.SplittableRandom;

/** Random numbers by what tells one gateway from all others. */
final class SeededRandom {
    private SeededRandom() {}

    /**
     * The numbers of this gateway and start; none of another's, however near its name or seed is.
     */
    static SplittableRandom of(String name, long seed) {
        return new SplittableRandom(seed ^ (long) name.hashCode() << Integer.SIZE);
    }
}
