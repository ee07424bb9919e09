package tinroad.overload;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Names that are kept for a time. */
class ExpiringSetTest {
    private final ExpiringSet kept = new ExpiringSet();

    @Test
    void eachNameExpiresOnceAndOnlyAfterItsTime() {
        kept.put("late", 300);
        kept.put("soon", 100);
        kept.put("gone", 200);
        assertEquals(0, kept.expire(100));
        assertEquals(1, kept.expire(101));
        assertTrue(kept.remove("gone"));
        assertFalse(kept.remove("gone"));
        assertFalse(kept.remove("soon"));
        assertEquals(1, kept.expire(1000));
        assertEquals(0, kept.size());
    }

    @Test
    void nameAddedAgainExpiresAtItsLastTime() {
        kept.put("a", 100);
        kept.put("a", 500);
        assertEquals(0, kept.expire(200));
        assertTrue(kept.remove("a"));
        assertEquals(0, kept.expire(1000));
    }
}
