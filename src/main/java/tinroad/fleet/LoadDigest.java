package tinroad.fleet;

import java.util.Map;
import java.util.stream.Collectors;

/**
 * The load that one member advertises at one moment, in the form in which members relay it.
 *
 * @param name of the member
 * @param incarnation of the member
 * @param sequenceNumber counts the digests of one membership; the higher one is the later one
 * @param ageMillis ms since the digest was advertised, summed up by each member that relayed it on
 *     its own clock, so that no two clocks are compared
 * @param values each in the unit that its kind names; values that are not finite are dropped
 */
public record LoadDigest(
        String name,
        MemberIncarnation incarnation,
        long sequenceNumber,
        double ageMillis,
        Map<Kind, Double> values) {
    /** The quantity that a value measures. */
    public enum Kind {
        /** The member's recovery phase: 0 starting, 1 cold, 2 ramping, 3 full, 4 draining. */
        RECOVERY_PHASE,
        /** Cores of the member's engine. */
        CORES,
        /** Requests per second that the member has capacity for. */
        CAPACITY_PER_SECOND,
        /** Requests per second that arrive at the member. */
        ARRIVALS_PER_SECOND,
        /** Requests per second that the member rejects. */
        REJECTIONS_PER_SECOND,
        /** The priority below which the member rejects requests, 0 to 1. */
        PRIORITY_CUTOFF,
        /** 1 while the member is healthy, otherwise 0. */
        HEALTHY
    }

    /** Drops values that are not finite, as any member may send them. */
    public LoadDigest {
        values =
                values.entrySet().stream()
                        .filter(e -> Double.isFinite(e.getValue()))
                        .collect(
                                Collectors.toUnmodifiableMap(
                                        Map.Entry::getKey, Map.Entry::getValue));
    }

    boolean isLaterThan(LoadDigest other) {
        return other == null
                || (incarnation.sameMembership(other.incarnation)
                        ? sequenceNumber > other.sequenceNumber
                        : incarnation.compareTo(other.incarnation) > 0);
    }
}
