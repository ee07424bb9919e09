package tinroad.recovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import tinroad.recovery.RecoveryPhaseTracker.Phase;

/** The phases of a life. */
class ComebackTest {
    private static RecoveryPhaseTracker life(boolean distrusts) {
        return new RecoveryPhaseTracker(0, 2, 375, distrusts);
    }

    /** Quick runs, few of them: the demand stays under the bound. */
    private static void calm(RecoveryPhaseTracker c, double from, double to) {
        for (double nowMillis = from; nowMillis < to; nowMillis += 20) {
            if (nowMillis % 100 == 0) {
                c.asked(true);
                c.ended(nowMillis, 30, 375);
            }
            c.tick(nowMillis);
        }
    }

    @Test
    void fromTheStartOverColdAndRampingToFull() {
        RecoveryPhaseTracker c = life(false);
        assertEquals(Phase.STARTING, c.phase());
        c.engine(5000, true);
        assertEquals(Phase.COLD, c.phase());
        assertTrue(c.shown() < 6);
        c.tick(5100);
        c.ended(5200, 200, 375);
        assertEquals(Phase.RAMPING, c.phase());
        assertEquals(5200, c.since());
        assertTrue(Double.isNaN(c.fullAfter()));
        calm(c, 5300, 12_000);
        assertEquals(Phase.FULL, c.phase());
        assertTrue(Double.isNaN(c.shown()));
        assertTrue(c.fullAfter() > 0 && c.fullAfter() < 7000);
    }

    @Test
    void anEngineThatWasUpAllTheTimeIsTakenAtItsWordUnlessTheMemoryIsDoubted() {
        RecoveryPhaseTracker trusted = life(false);
        trusted.engine(100, false);
        assertEquals(Phase.FULL, trusted.phase());
        assertEquals(0, trusted.fullAfter());
        RecoveryPhaseTracker doubted = life(true);
        doubted.engine(100, false);
        assertEquals(Phase.COLD, doubted.phase());
        assertEquals("what was remembered is not believed", doubted.why());
    }

    @Test
    void anEngineThatIsStartedAnewIsWatchedAnewAndALinkThatBreaksIsNot() {
        RecoveryPhaseTracker c = life(false);
        c.engine(100, false);
        c.engine(200, false);
        assertEquals(Phase.FULL, c.phase());
        c.engine(300, true);
        assertEquals(Phase.COLD, c.phase());
        c.ended(400, 30, 375);
        c.engine(500, true);
        assertEquals(Phase.COLD, c.phase());
    }

    @Test
    void aNoticeToLeaveIsTheLastPhase() {
        RecoveryPhaseTracker c = life(false);
        c.engine(0, true);
        c.draining(50);
        c.engine(60, true);
        c.ended(70, 30, 375);
        c.tick(5000);
        assertEquals(Phase.DRAINING, c.phase());
    }
}
