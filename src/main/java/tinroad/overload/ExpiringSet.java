package tinroad.overload;

import java.util.HashMap;
import java.util.Map;
import java.util.PriorityQueue;

/**
 * A set of names that each expire at a given time. Only names whose time has come are examined, so
 * the others cost nothing until then.
 */
final class ExpiringSet {
    private record Entry(String name, double expiresAtMillis) implements Comparable<Entry> {
        @Override
        public int compareTo(Entry other) {
            return Double.compare(expiresAtMillis, other.expiresAtMillis);
        }
    }

    private final Map<String, Entry> entries = new HashMap<>();

    /** The entries by expiry time. Names removed before their time stay here until it has come. */
    private final PriorityQueue<Entry> byExpiry = new PriorityQueue<>();

    void put(String name, double expiresAtMillis) {
        Entry entry = new Entry(name, expiresAtMillis);
        entries.put(name, entry);
        byExpiry.add(entry);
    }

    /** Returns the number of names that take memory, including those removed before their time. */
    int size() {
        return byExpiry.size();
    }

    /** Returns the number of names that are neither removed nor expired. */
    int activeSize() {
        return entries.size();
    }

    /** Removes a name and returns whether it was there. */
    boolean remove(String name) {
        return entries.remove(name) != null;
    }

    /** Removes the names whose time is past, and returns their number. */
    int expire(double nowMillis) {
        int expired = 0;
        while (!byExpiry.isEmpty() && byExpiry.peek().expiresAtMillis < nowMillis) {
            Entry entry = byExpiry.remove();
            expired += entries.remove(entry.name, entry) ? 1 : 0;
        }
        return expired;
    }
}
