package tinroad.recovery;

import java.util.SplittableRandom;

/**
 * A period that keeps no two gateways in step: each gap is drawn anew, so that a fleet that started
 * in one moment has spread over the whole period after a few gaps, and stays so. Times in ms.
 */
public final class JitteredInterval {
    private final SplittableRandom random;
    private final double period;
    private final double spread;

    /** Gaps of {@code period} more or less {@code spread}, a share of it. */
    public JitteredInterval(String name, long seed, double period, double spread) {
        random = SeededRandom.of(name, seed);
        this.period = period;
        this.spread = spread;
    }

    /** How long to wait until the next time. */
    public double nextMillis() {
        return period * (1 + spread * random.nextDouble(-1, 1));
    }
}
