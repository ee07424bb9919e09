package tinroad.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * What the members say of themselves, as one of them knows it: a value that never changes, so that
 * whoever decides by it decides all of a matter by the same. Merging is a join of a lattice by stay
 * and number. Nobody gets a value without its age, nor one that is older than he allows. Times in
 * ms, of the reader's own clock.
 */
public final class MembershipView {
    /** A value, and how old it is. */
    public record FreshValue(String name, double value, double ageMillis) {}

    private record Held(LoadDigest digest, double saidAt) {}

    /** Knows nobody. */
    public static final MembershipView EMPTY = new MembershipView(HashTreePMap.empty(), 2000);

    private final PMap<String, Held> held;
    private final int most;

    private MembershipView(PMap<String, Held> held, int most) {
        this.held = held;
        this.most = most;
    }

    /** With this digest, if it is the later one; bounded in the members that it names. */
    public MembershipView merge(double nowMillis, LoadDigest digest) {
        Held before = held.get(digest.name());
        if (!digest.laterThan(before == null ? null : before.digest)
                || (before == null && held.size() >= most)) {
            return this;
        }
        // Never from the future: an age that somebody made up makes it no younger than it can be.
        return new MembershipView(
                held.plus(
                        digest.name(),
                        new Held(digest, nowMillis - Math.max(0, digest.ageMillis()))),
                most);
    }

    /** Without a member whose stay is over. */
    public MembershipView without(String name) {
        return held.containsKey(name) ? new MembershipView(held.minus(name), most) : this;
    }

    /**
     * What this member said of this kind, where that is no older than {@code maxAge}; else null,
     * and the reader goes on alone.
     */
    public FreshValue fresh(double nowMillis, String name, LoadDigest.Kind kind, double maxAge) {
        Held h = held.get(name);
        Double value = h == null ? null : h.digest.values().get(kind);
        double age = h == null ? 0 : Math.max(0, nowMillis - h.saidAt);
        return value == null || age > maxAge ? null : new FreshValue(name, value, age);
    }

    /** The same of all members, those left out of whom nothing so young is known. */
    public List<FreshValue> fresh(double nowMillis, LoadDigest.Kind kind, double maxAge) {
        List<FreshValue> all = new ArrayList<>();
        for (String name : held.keySet()) {
            FreshValue f = fresh(nowMillis, name, kind, maxAge);
            if (f != null) {
                all.add(f);
            }
        }
        return all;
    }

    /** A digest to pass on, with its age as it is now; null where nothing is known. */
    public LoadDigest relayDigest(double nowMillis, String name) {
        Held h = held.get(name);
        return h == null
                ? null
                : new LoadDigest(
                        name,
                        h.digest.incarnation(),
                        h.digest.number(),
                        Math.max(0, nowMillis - h.saidAt),
                        h.digest.values());
    }

    /** How many members it knows of. */
    public int size() {
        return held.size();
    }

    /** Whether both know the same, whenever they heard it. */
    public boolean knowsTheSame(MembershipView other) {
        return held.size() == other.held.size()
                && held.entrySet().stream()
                        .allMatch(
                                e -> {
                                    Held o = other.held.get(e.getKey());
                                    return o != null
                                            && o.digest
                                                    .incarnation()
                                                    .sameMembership(
                                                            e.getValue().digest.incarnation())
                                            && o.digest.number() == e.getValue().digest.number();
                                });
    }

    /** All that is held, by name, for operators. */
    public Map<String, LoadDigest> digests(double nowMillis) {
        Map<String, LoadDigest> all = new TreeMap<>();
        held.keySet().forEach(name -> all.put(name, relayDigest(nowMillis, name)));
        return all;
    }
}
