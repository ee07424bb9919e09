package tinroad.recovery;

import java.util.SplittableRandom;

/**
 * Backoff with decorrelated jitter: the next delay is drawn from the first one to three times the
 * last one, up to a cap. To be reset only once the other side has proven that it is alive, not by a
 * connection alone: a peer that accepts and stays silent is retried ever more rarely. Name and seed
 * keep gateways out of step that lost their links at once. Times in ms. Owned by one thread.
 */
public final class DecorrelatedJitterBackoff {
    private static final double GROWTH = 3;

    private final SplittableRandom random;
    private final double firstMillis;
    private final double capMillis;
    private double delayMillis;

    /** Delays from {@code firstMillis} to {@code capMillis}. */
    public DecorrelatedJitterBackoff(String name, long seed, double firstMillis, double capMillis) {
        random = SeededRandom.of(name, seed);
        this.firstMillis = firstMillis;
        this.capMillis = capMillis;
        delayMillis = firstMillis;
    }

    /** The delay before the next attempt. */
    public double nextMillis() {
        double boundMillis = Math.max(GROWTH * delayMillis, Math.nextUp(firstMillis));
        delayMillis = Math.min(capMillis, random.nextDouble(firstMillis, boundMillis));
        return delayMillis;
    }

    /** Begins anew: the other side is alive, or another address is tried. */
    public void reset() {
        delayMillis = firstMillis;
    }
}
