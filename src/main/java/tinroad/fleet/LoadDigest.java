package tinroad.fleet;

import java.util.Map;
import java.util.stream.Collectors;

/**
 * What one member says of itself at one moment, as it is passed on.
 *
 * @param name of the member
 * @param version of its stay
 * @param number counts what it said in this stay; the higher one is the later one
 * @param age ms since it was said, by the clocks of those who passed it on: no two clocks are
 *     compared
 * @param values each in the unit that its kind names
 */
public record LoadDigest(
        String name,
        MemberIncarnation incarnation,
        long number,
        double ageMillis,
        Map<Kind, Double> values) {
    /** Kinds of what is said. */
    public enum Kind {
        /** Of its comeback: 0 starting, 1 cold, 2 ramping, 3 full, 4 draining. */
        PHASE,
        /** Cores of its engine. */
        CORES,
        /** Requests a second that it could take. */
        COULD_TAKE,
        /** Requests a second that it is asked for. */
        ASKED,
        /** Requests a second that it refuses. */
        REFUSED,
        /** The rank under which it refuses, 0 to 1. */
        CUT,
        /** 1 while its health is good, else 0. */
        HEALTH
    }

    /** Guards against numbers that are none, whoever says them: they are left out. */
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
