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
                c.requestArrived(true);
                c.runCompleted(nowMillis, 30, 375);
            }
            c.tick(nowMillis);
        }
    }

    @Test
    void fromTheStartOverColdAndRampingToFull() {
        RecoveryPhaseTracker c = life(false);
        assertEquals(Phase.STARTING, c.phase());
        c.engineAttached(5000, true);
        assertEquals(Phase.COLD, c.phase());
        assertTrue(c.demonstratedRatePerSecond() < 6);
        c.tick(5100);
        c.runCompleted(5200, 200, 375);
        assertEquals(Phase.RAMPING, c.phase());
        assertEquals(5200, c.since());
        assertTrue(Double.isNaN(c.fullAfterMillis()));
        calm(c, 5300, 12_000);
        assertEquals(Phase.FULL, c.phase());
        assertTrue(Double.isNaN(c.demonstratedRatePerSecond()));
        assertTrue(c.fullAfterMillis() > 0 && c.fullAfterMillis() < 7000);
    }

    @Test
    void anEngineThatWasUpAllTheTimeIsTakenAtItsWordUnlessTheMemoryIsDoubted() {
        RecoveryPhaseTracker trusted = life(false);
        trusted.engineAttached(100, false);
        assertEquals(Phase.FULL, trusted.phase());
        assertEquals(0, trusted.fullAfterMillis());
        RecoveryPhaseTracker doubted = life(true);
        doubted.engineAttached(100, false);
        assertEquals(Phase.COLD, doubted.phase());
        assertEquals("what was remembered is not believed", doubted.reason());
    }

    @Test
    void anEngineThatIsStartedAnewIsWatchedAnewAndALinkThatBreaksIsNot() {
        RecoveryPhaseTracker c = life(false);
        c.engineAttached(100, false);
        c.engineAttached(200, false);
        assertEquals(Phase.FULL, c.phase());
        c.engineAttached(300, true);
        assertEquals(Phase.COLD, c.phase());
        c.runCompleted(400, 30, 375);
        c.engineAttached(500, true);
        assertEquals(Phase.COLD, c.phase());
    }

    @Test
    void aNoticeToLeaveIsTheLastPhase() {
        RecoveryPhaseTracker c = life(false);
        c.engineAttached(0, true);
        c.drainingBegan(50);
        c.engineAttached(60, true);
        c.runCompleted(70, 30, 375);
        c.tick(5000);
        assertEquals(Phase.DRAINING, c.phase());
    }
}
