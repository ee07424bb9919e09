package tinroad.state;

/**
 * A remembered value at the moment of its use. It fades toward the prior, what is assumed where
 * nothing is known: after its half-life half of what was learned is left. Beyond the oldest age
 * there is nothing to use.
 *
 * @param value faded
 * @param weight samples behind it, faded alike
 * @param age ms since it was last true
 * @param life that learned it
 */
public record DecayedValue(double value, double weight, double ageMillis, long incarnation) {

    /**
     * The value at {@code now}, or null where it is too old, comes from later than now, or is no
     * number.
     *
     * @param prior what is assumed without it, in its unit
     * @param halfLife ms
     * @param oldest ms
     */
    public static DecayedValue of(
            LearnedValue r, double nowMillis, double prior, double halfLife, double oldest) {
        double age = Math.max(0, nowMillis - r.learnedAtMillis());
        boolean usable =
                r.learnedAtMillis() <= nowMillis + SnapshotSelector.MAX_CLOCK_DIFFERENCE_MILLIS
                        && age <= oldest
                        && Double.isFinite(r.value())
                        && Double.isFinite(r.weight())
                        && r.weight() >= 0;
        if (!usable) {
            return null;
        }
        double left = Math.pow(0.5, age / halfLife);
        return new DecayedValue(
                prior + (r.value() - prior) * left, r.weight() * left, age, r.incarnation());
    }
}
