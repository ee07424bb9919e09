package tinroad.overload;

import java.util.HashMap;
import java.util.Map;
import java.util.PriorityQueue;

/**
 * Names that each expire at a time. Looks only at those whose time has come: the others cost
 * nothing meanwhile.
 */
final class ExpiringSet {
    private record Entry(String name, double untilMillis) implements Comparable<Entry> {
        @Override
        public int compareTo(Entry other) {
            return Double.compare(untilMillis, other.untilMillis);
        }
    }

    private final Map<String, Entry> entries = new HashMap<>();

    /** Names removed before their time stay here until it has come. */
    private final PriorityQueue<Entry> byExpiry = new PriorityQueue<>();

    void put(String name, double untilMillis) {
        Entry entry = new Entry(name, untilMillis);
        entries.put(name, entry);
        byExpiry.add(entry);
    }

    /** How many take memory, those removed before their time included. */
    int size() {
        return byExpiry.size();
    }

    /** How many are neither removed nor expired. */
    int activeSize() {
        return entries.size();
    }

    /** Returns whether it was there. */
    boolean remove(String name) {
        return entries.remove(name) != null;
    }

    /** Removes those whose time is past, and returns how many. */
    int expire(double nowMillis) {
        int expired = 0;
        while (!byExpiry.isEmpty() && byExpiry.peek().untilMillis < nowMillis) {
            Entry entry = byExpiry.remove();
            expired += entries.remove(entry.name, entry) ? 1 : 0;
        }
        return expired;
    }
}
