package tinroad.recovery;

import java.util.SplittableRandom;

/**
 * When to try a lost link again: decorrelated jitter, where the next gap is drawn from the first
 * one to three times the last one, up to a cap. Only proof of life begins it anew, not a connection
 * that came about: a peer that accepts and says nothing is tried ever more rarely. Name and seed
 * keep the gateways of a fleet out of step that lost their links in the same moment. Owned by the
 * thread that connects; times in ms.
 */
public final class DecorrelatedJitterBackoff {
    private static final double GROWTH = 3;

    private final SplittableRandom random;
    private final double first;
    private final double cap;
    private double gap;

    /** Gaps from {@code first} to {@code cap}, drawn by what tells this gateway from all others. */
    public DecorrelatedJitterBackoff(String name, long seed, double first, double cap) {
        random = SeededRandom.of(name, seed);
        this.first = first;
        this.cap = cap;
        gap = first;
    }

    /** How long to wait before the next attempt. */
    public double nextMillis() {
        gap = Math.min(cap, random.nextDouble(first, Math.max(GROWTH * gap, Math.nextUp(first))));
        return gap;
    }

    /** The other side has proven that it lives, or another address is tried. */
    public void reset() {
        gap = first;
    }
}
