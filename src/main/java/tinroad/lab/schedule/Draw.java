package tinroad.lab.schedule;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Random numbers of a run: one stream for each purpose, so that a change in one leaves the others
 * as they were.
 */
public final class Draw {
    /** Of SplitMix64: keeps the streams of small seeds apart. */
    private static final long MIX = 0x9e3779b97f4a7c15L;

    private Draw() {}

    /** The stream of this seed for this purpose. */
    public static UniformRandomProvider stream(long seed, String purpose) {
        // One number, which the library expands to a full state: near seeds must not begin alike.
        return RandomSource.XO_RO_SHI_RO_128_PP.create(
                seed * MIX ^ (long) purpose.hashCode() << Integer.SIZE);
    }
}
