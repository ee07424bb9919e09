package tinroad.overload;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Expiry and removal of the names in an {@link ExpiringSet}. */
class ExpiringSetTest {
    private final ExpiringSet names = new ExpiringSet();

    @Test
    void eachNameExpiresOnceAndOnlyAfterItsTime() {
        names.put("late", 300);
        names.put("soon", 100);
        names.put("gone", 200);
        assertEquals(0, names.expire(100));
        assertEquals(1, names.expire(101));
        assertTrue(names.remove("gone"));
        assertFalse(names.remove("gone"));
        assertFalse(names.remove("soon"));
        assertEquals(1, names.expire(1000));
        assertEquals(0, names.size());
    }

    @Test
    void nameAddedAgainExpiresAtItsLastTime() {
        names.put("a", 100);
        names.put("a", 500);
        assertEquals(0, names.expire(200));
        assertTrue(names.remove("a"));
        assertEquals(0, names.expire(1000));
    }
}
