package tinroad.state;

import java.util.Optional;

/**
 * A restored value at the moment of its use. It decays toward the prior, which is what is assumed
 * where nothing was learned: after one half-life half of the difference is left. Beyond its maximum
 * age a value is not used at all.
 *
 * @param value decayed toward the prior, in the unit of the learned value
 * @param weight samples behind it, decayed alike
 * @param ageMillis time since it was learned
 * @param incarnation that learned it
 */
public record DecayedValue(double value, double weight, double ageMillis, long incarnation) {

    /**
     * The value at {@code nowMillis}; empty where it is too old, comes from later than now, or is
     * not a finite number.
     *
     * @param nowMillis Unix time
     * @param prior what is assumed without it, in its unit
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
        double remaining = Math.pow(0.5, ageMillis / halfLifeMillis);
        return Optional.of(
                new DecayedValue(
                        prior + (learned.value() - prior) * remaining,
                        learned.weight() * remaining,
                        ageMillis,
                        learned.incarnation()));
    }
}
