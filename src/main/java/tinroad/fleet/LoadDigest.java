package tinroad.fleet;

import java.util.Map;
import java.util.stream.Collectors;

/**
 * What one member advertises of its load at one moment, as it is passed on.
 *
 * @param name of the member
 * @param incarnation of the member
 * @param number counts its digests within a membership; the higher one is the later one
 * @param ageMillis ms since it was advertised, by the clocks of those who passed it on: no two
 *     clocks are compared
 * @param values each in the unit that its kind names; values that are not finite are left out
 */
public record LoadDigest(
        String name,
        MemberIncarnation incarnation,
        long number,
        double ageMillis,
        Map<Kind, Double> values) {
    /** What a value measures. */
    public enum Kind {
        /** Phase of its recovery: 0 starting, 1 cold, 2 ramping, 3 full, 4 draining. */
        RECOVERY_PHASE,
        /** Cores of its engine. */
        CORES,
        /** Requests a second that it has capacity for. */
        CAPACITY_PER_SECOND,
        /** Requests a second that arrive. */
        ARRIVALS_PER_SECOND,
        /** Requests a second that it rejects. */
        REJECTIONS_PER_SECOND,
        /** Rank below which it rejects, 0 to 1. */
        PRIORITY_CUTOFF,
        /** 1 while it is healthy, else 0. */
        HEALTHY
    }

    /** Guards against values that are no numbers, whoever sends them. */
    public LoadDigest {
        values =
                values.entrySet().stream()
                        .filter(e -> Double.isFinite(e.getValue()))
                        .collect(
                                Collectors.toUnmodifiableMap(
                                        Map.Entry::getKey, Map.Entry::getValue));
    }

    boolean laterThan(LoadDigest other) {
        return other == null
                || (incarnation.sameMembership(other.incarnation)
                        ? number > other.number
                        : incarnation.compareTo(other.incarnation) > 0);
    }
}
