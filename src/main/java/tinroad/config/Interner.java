package tinroad.config;

import java.util.HashMap;
import java.util.Map;

/**
 * A pool that replaces equal values by one shared object. It saves memory, because most quotas and
 * class settings of a large table are equal: the entries share a few distinct values. The pool
 * itself is bounded. Used by one thread.
 */
public final class Interner<T> {
    /** Bound of the pool; a full pool is emptied before the next value is added. */
    static final int MAX_VALUES = 1024;

    private final Map<T, T> values = new HashMap<>();

    /** Returns the pooled value that equals this one, and adds this one if there is none. */
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
