package tinroad.state;

import java.util.Optional;

/**
 * A restored learned value at the moment of its use. It decays toward the prior, the value that is
 * assumed if nothing was learned: after one half-life, half of the difference is left. A value
 * older than its maximum age is not used at all.
 *
 * @param value decayed toward the prior, in the unit of the learned value
 * @param weight number of samples behind the value, decayed in the same way
 * @param ageMillis time since the value was learned
 * @param incarnation that learned the value
 */
public record DecayedValue(double value, double weight, double ageMillis, long incarnation) {

    /**
     * Returns the decayed value at {@code nowMillis}. Empty if the learned value is too old, comes
     * from the future, or is not a finite number.
     *
     * @param nowMillis Unix time
     * @param prior the value that is assumed if nothing was learned, in the same unit
     */
    public static Optional<DecayedValue> of(
            LearnedValue learned,
            double nowMillis,
            double prior,
            double halfLifeMillis,
            double maxAgeMillis) {
        double ageMillis = Math.max(0, nowMillis - learned.learnedAtMillis());
        boolean usable =
                learned.learnedAtMillis()
                                <= nowMillis + SnapshotSelector.MAX_CLOCK_DIFFERENCE_MILLIS
                        && ageMillis <= maxAgeMillis
                        && Double.isFinite(learned.value())
                        && Double.isFinite(learned.weight())
                        && learned.weight() >= 0;
        if (!usable) {
            return Optional.empty();
        }
        double remainingFraction = Math.pow(0.5, ageMillis / halfLifeMillis);
        return Optional.of(
                new DecayedValue(
                        prior + (learned.value() - prior) * remainingFraction,
                        learned.weight() * remainingFraction,
                        ageMillis,
                        learned.incarnation()));
    }
}
