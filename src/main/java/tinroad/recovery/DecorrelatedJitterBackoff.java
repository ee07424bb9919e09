package tinroad.recovery;

import java.util.SplittableRandom;

/**
 * Backoff with decorrelated jitter: the next delay is drawn between the first delay and three times
 * the last one, up to a cap. It must be reset only once the other side has proven that it is alive,
 * not by a connection alone: a peer that accepts connections and stays silent is then retried ever
 * more rarely. The name and the seed keep gateways that lost their links at once out of step. Times
 * are in ms. An instance must be used by one thread only.
 */
public final class DecorrelatedJitterBackoff {
    private static final double GROWTH_FACTOR = 3;

    private final SplittableRandom random;
    private final double firstMillis;
    private final double capMillis;
    private double delayMillis;

    /** Creates a backoff with delays from {@code firstMillis} to {@code capMillis}. */
    public DecorrelatedJitterBackoff(String name, long seed, double firstMillis, double capMillis) {
        random = SeededRandom.of(name, seed);
        this.firstMillis = firstMillis;
        this.capMillis = capMillis;
        delayMillis = firstMillis;
    }

    /** Returns the delay before the next attempt. */
    public double nextMillis() {
        double upperBoundMillis = Math.max(GROWTH_FACTOR * delayMillis, Math.nextUp(firstMillis));
        delayMillis = Math.min(capMillis, random.nextDouble(firstMillis, upperBoundMillis));
        return delayMillis;
    }

    /**
     * Starts again with the first delay, because the other side is alive or another address is
     * tried.
     */
    public void reset() {
        delayMillis = firstMillis;
    }
}
