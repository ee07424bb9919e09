package tinroad.config;

import java.util.HashMap;
import java.util.Map;

/**
 * One object for values that are equal, as most quotas and effects of a large table are. Guards
 * memory both ways: few different values are shared by all, and of many no more are known than are
 * worth it.
 */
public final class Shared<T> {
    /** Values that are known at a time; beyond it the pool begins anew. */
    static final int MOST = 1024;

    private final Map<T, T> known = new HashMap<>();

    /** A value that equals this one. */
    public T of(T value) {
        T there = known.get(value);
        if (there != null) {
            return there;
        }
        if (known.size() == MOST) {
            known.clear();
        }
        known.put(value, value);
        return value;
    }
}
