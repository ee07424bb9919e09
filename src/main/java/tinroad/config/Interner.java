package tinroad.config;

import java.util.HashMap;
import java.util.Map;

/**
 * One object for values that are equal, as most quotas and effects of a large table are. Guards
 * memory both ways: few different values are shared by all, and of many no more are known than are
 * worth it.
 */
public final class Interner<T> {
    /** Values that are known at a time; beyond it the pool begins anew. */
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
