package tinroad.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * The latest load digest of each member, as one of the members knows it. It is an immutable value,
 * so that all parts of a decision use the same one. Merging is a join of a semilattice by
 * membership and sequence number. A reader passes the maximum age that it accepts, and gets a value
 * with its age or none. Times are in ms of the reader's own clock.
 */
public final class MembershipView {
    /** A value that a member advertises, with its age. */
    public record FreshValue(String name, double value, double ageMillis) {}

    private record ReceivedDigest(LoadDigest digest, double advertisedAtMillis) {
        double ageMillis(double nowMillis) {
            return Math.max(0, nowMillis - advertisedAtMillis);
        }

        boolean isSameDigestAs(ReceivedDigest other) {
            return other != null
                    && other.digest.incarnation().sameMembership(digest.incarnation())
                    && other.digest.sequenceNumber() == digest.sequenceNumber();
        }
    }

    /** Maximum number of members in a view; bounds a flood of digests. */
    private static final int MAX_MEMBERS = 2_000;

    /** A view without members. */
    public static final MembershipView EMPTY = new MembershipView(HashTreePMap.empty());

    private final PMap<String, ReceivedDigest> digests;

    private MembershipView(PMap<String, ReceivedDigest> digests) {
        this.digests = digests;
    }

    /**
     * Returns a view with this digest, if it is later than the current one. New members beyond a
     * bound are left out.
     */
    public MembershipView merge(double nowMillis, LoadDigest digest) {
        ReceivedDigest before = digests.get(digest.name());
        if (!digest.isLaterThan(before == null ? null : before.digest)
                || (before == null && digests.size() >= MAX_MEMBERS)) {
            return this;
        }
        // A digest is never in the future: a forged negative age counts as 0.
        double advertisedAtMillis = nowMillis - Math.max(0, digest.ageMillis());
        return new MembershipView(
                digests.plus(digest.name(), new ReceivedDigest(digest, advertisedAtMillis)));
    }

    /** Returns a view without this member, whose membership is over. */
    public MembershipView without(String name) {
        return digests.containsKey(name) ? new MembershipView(digests.minus(name)) : this;
    }

    /**
     * Returns the value of this kind that the member advertises, or null if it is unknown or older
     * than {@code maxAgeMillis}; the reader then decides without it.
     */
    public FreshValue fresh(
            double nowMillis, String name, LoadDigest.Kind kind, double maxAgeMillis) {
        ReceivedDigest received = digests.get(name);
        if (received == null) {
            return null;
        }
        Double value = received.digest.values().get(kind);
        double ageMillis = received.ageMillis(nowMillis);
        return value == null || ageMillis > maxAgeMillis
                ? null
                : new FreshValue(name, value, ageMillis);
    }

    /**
     * Returns the values of this kind that all members advertise, except unknown values and those
     * older than {@code maxAgeMillis}.
     */
    public List<FreshValue> fresh(double nowMillis, LoadDigest.Kind kind, double maxAgeMillis) {
        List<FreshValue> values = new ArrayList<>();
        for (String name : digests.keySet()) {
            FreshValue value = fresh(nowMillis, name, kind, maxAgeMillis);
            if (value != null) {
                values.add(value);
            }
        }
        return values;
    }

    /**
     * Returns the digest of this member with its present age, to be relayed; null if the member is
     * unknown.
     */
    public LoadDigest relayDigest(double nowMillis, String name) {
        ReceivedDigest received = digests.get(name);
        return received == null
                ? null
                : new LoadDigest(
                        name,
                        received.digest.incarnation(),
                        received.digest.sequenceNumber(),
                        received.ageMillis(nowMillis),
                        received.digest.values());
    }

    /** The number of members in this view. */
    public int size() {
        return digests.size();
    }

    /** Whether both views contain the same digests, whenever these were received. */
    public boolean hasSameDigests(MembershipView other) {
        return digests.size() == other.digests.size()
                && digests.entrySet().stream()
                        .allMatch(e -> e.getValue().isSameDigestAs(other.digests.get(e.getKey())));
    }

    /** Returns all digests with their present age, sorted by the name of the member. */
    public Map<String, LoadDigest> digests(double nowMillis) {
        Map<String, LoadDigest> all = new TreeMap<>();
        digests.keySet().forEach(name -> all.put(name, relayDigest(nowMillis, name)));
        return all;
    }
}
