package tinroad.config;

import java.util.HashMap;
import java.util.Map;

/**
 * A pool that replaces equal values by one object, as most quotas and class settings of a large
 * table are equal. Guards memory: entries of a table share its few different values, and the pool
 * itself is bounded. Used by one thread.
 */
public final class Interner<T> {
    /** Bound of the pool; one that is full is emptied before the next value enters. */
    static final int MAX_VALUES = 1024;

    private final Map<T, T> values = new HashMap<>();

    /** A value that equals this one. */
    public T intern(T value) {
        T existing = values.get(value);
        if (existing != null) {
            return existing;
        }
        if (values.size() == MAX_VALUES) {
            values.clear();
        }
        values.put(value, value);
        return value;
    }
}
