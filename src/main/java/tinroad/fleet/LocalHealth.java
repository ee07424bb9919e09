package tinroad.fleet;

/**
 * Lifeguard's local health multiplier. A member whose own probes fail, or that has to refute a
 * suspicion, assumes that it is slow itself: it lengthens the period and the timeouts of its
 * probes. A penalty of 0 means healthy.
 */
final class LocalHealth {
    private final int maxPenalty;
    private int penalty;

    LocalHealth(int maxPenalty) {
        this.maxPenalty = maxPenalty;
    }

    /** Whether the extensions of Lifeguard are enabled. If not, the penalty is always 0. */
    boolean enabled() {
        return maxPenalty > 0;
    }

    void degrade(int penaltyIncrease) {
        penalty = Math.min(maxPenalty, penalty + penaltyIncrease);
    }

    void degradeToWorst() {
        penalty = maxPenalty;
    }

    void improve() {
        penalty = Math.max(0, penalty - 1);
    }

    int penalty() {
        return penalty;
    }

    /** The factor by which the period and the timeouts of probes are multiplied. */
    int multiplier() {
        return 1 + penalty;
    }
}
