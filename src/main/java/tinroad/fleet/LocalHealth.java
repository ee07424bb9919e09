package tinroad.fleet;

/**
 * Lifeguard's local health multiplier: a member whose own probes fail, or that has to refute a
 * suspicion, takes itself for slow and gives the others more time. 0 is healthy.
 */
final class LocalHealth {
    private final int maxPenalty;
    private int penalty;

    LocalHealth(int maxPenalty) {
        this.maxPenalty = maxPenalty;
    }

    /** Whether the extensions of Lifeguard are in use; without them the penalty is always 0. */
    boolean enabled() {
        return maxPenalty > 0;
    }

    void degrade(int by) {
        penalty = Math.min(maxPenalty, penalty + by);
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

    /** The factor for the period and the timeouts of probes. */
    int multiplier() {
        return 1 + penalty;
    }
}
