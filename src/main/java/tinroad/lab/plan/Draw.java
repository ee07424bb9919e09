package tinroad.lab.plan;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** Random numbers of a run: one stream for each purpose, so that a change in one leaves the others as they were. */
public final class Draw {
    private Draw() { }

    /** The stream of this seed for this purpose. */
    public static UniformRandomProvider stream(long seed, String purpose) {
        return RandomSource.XO_RO_SHI_RO_128_PP.create(new long[] {seed, purpose.hashCode()});
    }
}
