package tinroad.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * The latest load digest of each member, as one of them knows it: an immutable value, so that all
 * parts of a decision see the same. Merging is a join of a lattice by membership and number. A
 * reader states the age that it accepts, and gets a value with its age or nothing. Times in ms, of
 * the reader's own clock.
 */
public final class MembershipView {
    /** A value and its age. */
    public record FreshValue(String name, double value, double ageMillis) {}

    private record ReceivedDigest(LoadDigest digest, double advertisedAtMillis) {
        double ageMillis(double nowMillis) {
            return Math.max(0, nowMillis - advertisedAtMillis);
        }

        boolean sameAs(ReceivedDigest other) {
            return other != null
                    && other.digest.incarnation().sameMembership(digest.incarnation())
                    && other.digest.number() == digest.number();
        }
    }

    private static final int MAX_MEMBERS = 2_000;

    /** Without any member. */
    public static final MembershipView EMPTY = new MembershipView(HashTreePMap.empty());

    private final PMap<String, ReceivedDigest> digests;

    private MembershipView(PMap<String, ReceivedDigest> digests) {
        this.digests = digests;
    }

    /**
     * With this digest, if it is later than the current one; members beyond a bound are left out.
     */
    public MembershipView merge(double nowMillis, LoadDigest digest) {
        ReceivedDigest before = digests.get(digest.name());
        if (!digest.laterThan(before == null ? null : before.digest)
                || (before == null && digests.size() >= MAX_MEMBERS)) {
            return this;
        }
        // Never from the future: a forged age makes a digest no younger than it can be.
        double advertisedAtMillis = nowMillis - Math.max(0, digest.ageMillis());
        return new MembershipView(
                digests.plus(digest.name(), new ReceivedDigest(digest, advertisedAtMillis)));
    }

    /** Without a member, whose membership is over. */
    public MembershipView without(String name) {
        return digests.containsKey(name) ? new MembershipView(digests.minus(name)) : this;
    }

    /**
     * What this member advertises of this kind, or null where that is unknown or older than {@code
     * maxAgeMillis}: the reader then decides without it.
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

    /** The same of all members, without those of which nothing so recent is known. */
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

    /** A digest to pass on, with its present age; null where the member is unknown. */
    public LoadDigest relayDigest(double nowMillis, String name) {
        ReceivedDigest received = digests.get(name);
        return received == null
                ? null
                : new LoadDigest(
                        name,
                        received.digest.incarnation(),
                        received.digest.number(),
                        received.ageMillis(nowMillis),
                        received.digest.values());
    }

    /** How many members it has. */
    public int size() {
        return digests.size();
    }

    /** Whether both contain the same digests, whenever they received them. */
    public boolean knowsTheSame(MembershipView other) {
        return digests.size() == other.digests.size()
                && digests.entrySet().stream()
                        .allMatch(e -> e.getValue().sameAs(other.digests.get(e.getKey())));
    }

    /** All digests with their present age, sorted by the member's name. */
    public Map<String, LoadDigest> digests(double nowMillis) {
        Map<String, LoadDigest> all = new TreeMap<>();
        digests.keySet().forEach(name -> all.put(name, relayDigest(nowMillis, name)));
        return all;
    }
}
