package tinroad.recovery;

import java.util.SplittableRandom;

/**
 * A period with jitter. Each interval is drawn anew, so that gateways that started at once are
 * spread over the whole period after a few intervals, and stay so. Times are in ms. An instance
 * must be used by one thread only.
 */
public final class JitteredInterval {
    private final SplittableRandom random;
    private final double periodMillis;
    private final double jitterRatio;

    /** Creates intervals that differ from the period by at most {@code jitterRatio} of it. */
    public JitteredInterval(String name, long seed, double periodMillis, double jitterRatio) {
        random = SeededRandom.of(name, seed);
        this.periodMillis = periodMillis;
        this.jitterRatio = jitterRatio;
    }

    /** Returns the time until the next event. */
    public double nextMillis() {
        return periodMillis * (1 + jitterRatio * random.nextDouble(-1, 1));
    }
}
