package tinroad.recovery;

import java.util.SplittableRandom;

/**
 * A period with jitter: each interval is drawn anew, so that gateways that started at once are
 * spread over the whole period after a few intervals, and stay so. Times in ms. Owned by one
 * thread.
 */
public final class JitteredInterval {
    private final SplittableRandom random;
    private final double periodMillis;
    private final double spread;

    /** Intervals of a period, plus or minus at most {@code spread}, a part of it. */
    public JitteredInterval(String name, long seed, double periodMillis, double spread) {
        random = SeededRandom.of(name, seed);
        this.periodMillis = periodMillis;
        this.spread = spread;
    }

    /** The time until the next event. */
    public double nextMillis() {
        return periodMillis * (1 + spread * random.nextDouble(-1, 1));
    }
}
