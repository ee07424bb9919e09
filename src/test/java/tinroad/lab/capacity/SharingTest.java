package tinroad.lab.capacity;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** What a verdict by a count of its own is worth, at the ends where that is known without a simulation. */
class SharingTest {
    private final Sharing sharing = new Sharing(3000, 2.5);

    /** Of one that sends next to nothing, the first request alone is more than its share and all chance beside it. */
    @Test
    void aTenantHardlySeenIsAlwaysBeyondItsShare() {
        Sharing.Verdict seldom = sharing.judge(1, 1, 1000);
        assertEquals(1, seldom.over());
        assertEquals(0.003 + 2.5 * Math.sqrt(0.003), seldom.worth(), 0.01);
    }

    @Test
    void aTenantSeenOftenIsJudgedRight() {
        assertEquals(0, sharing.judge(1000, 1, 1).over(), 0.001);
        assertEquals(1, sharing.judge(1000, 2, 1).over(), 0.001);
        assertEquals(0.5, sharing.judge(1_000_000, 2, 1).worth(), 0.01);
    }

    /** The fewer places count, the less of chance: the one that keeps to its quota is judged better, the one that does not worse. */
    @Test
    void countingTogetherTellsThemApart() {
        assertTrue(sharing.judge(10, 1, 1).over() < sharing.judge(10, 1, 100).over());
        assertTrue(sharing.judge(10, 10, 1).worth() < sharing.judge(10, 10, 100).worth());
        assertEquals(0.3, sharing.expected(10, 100), 1e-9);
    }

    @Test
    void theSameFiguresEachTime() {
        assertEquals(sharing.judge(6.5, 2, 20), sharing.judge(6.5, 2, 20));
    }
}
