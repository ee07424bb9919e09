package tinroad.lab.schedule;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Random streams of a run. Each purpose has a stream of its own, so that a change in how one is
 * used does not change the others.
 */
public final class Draw {
    /** Increment of SplitMix64: separates the streams of small seeds. */
    private static final long MIX = 0x9e3779b97f4a7c15L;

    private Draw() {}

    /** Creates the stream of a seed for a purpose. */
    public static UniformRandomProvider stream(long seed, String purpose) {
        // A single number is expanded to a full state by the library, so that similar seeds do not
        // give similar first numbers.
        return RandomSource.XO_RO_SHI_RO_128_PP.create(
                seed * MIX ^ (long) purpose.hashCode() << Integer.SIZE);
    }
}
