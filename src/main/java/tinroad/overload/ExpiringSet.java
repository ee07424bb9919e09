package tinroad.overload;

import java.util.HashMap;
import java.util.Map;
import java.util.PriorityQueue;

/**
 * Names that are kept until a time each. Looks only at those whose time has come: the others cost
 * nothing meanwhile.
 */
final class ExpiringSet {
    private record Kept(String name, double until) implements Comparable<Kept> {
        @Override
        public int compareTo(Kept other) {
            return Double.compare(until, other.until);
        }
    }

    private final Map<String, Kept> kept = new HashMap<>();

    /** Those removed before their time stay here until it has come. */
    private final PriorityQueue<Kept> byTime = new PriorityQueue<>();

    void put(String name, double until) {
        Kept k = new Kept(name, until);
        kept.put(name, k);
        byTime.add(k);
    }

    /** How many are remembered, those removed before their time included. */
    int size() {
        return byTime.size();
    }

    /** Whether it was still kept. */
    boolean remove(String name) {
        return kept.remove(name) != null;
    }

    /** Lets go of those whose time is past, and says of how many. */
    int expire(double nowMillis) {
        int expired = 0;
        while (!byTime.isEmpty() && byTime.peek().until < nowMillis) {
            Kept k = byTime.remove();
            expired += kept.remove(k.name, k) ? 1 : 0;
        }
        return expired;
    }
}
