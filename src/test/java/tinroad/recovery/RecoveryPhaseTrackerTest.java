package tinroad.recovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import tinroad.recovery.RecoveryPhaseTracker.Phase;

/** Tests the recovery phases of a gateway process. */
class RecoveryPhaseTrackerTest {
    private static RecoveryPhaseTracker tracker(boolean stateRejected) {
        return new RecoveryPhaseTracker(0, 2, 375, stateRejected);
    }

    /** Completes fast runs, but few of them, so that the demand stays below the limit. */
    private static void lowDemand(
            RecoveryPhaseTracker tracker, double fromMillis, double toMillis) {
        for (double nowMillis = fromMillis; nowMillis < toMillis; nowMillis += 20) {
            if (nowMillis % 100 == 0) {
                tracker.requestArrived(true);
                tracker.runCompleted(nowMillis, 30, 375);
            }
            tracker.tick(nowMillis);
        }
    }

    @Test
    void goesFromStartingOverColdAndRampingToFull() {
        RecoveryPhaseTracker tracker = tracker(false);
        assertEquals(Phase.STARTING, tracker.phase());
        tracker.engineAttached(5000, true);
        assertEquals(Phase.COLD, tracker.phase());
        assertTrue(tracker.demonstratedRatePerSecond() < 6);
        tracker.tick(5100);
        tracker.runCompleted(5200, 200, 375);
        assertEquals(Phase.RAMPING, tracker.phase());
        assertEquals(5200, tracker.sinceMillis());
        assertTrue(Double.isNaN(tracker.fullAfterMillis()));
        lowDemand(tracker, 5300, 12_000);
        assertEquals(Phase.FULL, tracker.phase());
        assertTrue(Double.isNaN(tracker.demonstratedRatePerSecond()));
        assertTrue(tracker.fullAfterMillis() > 0 && tracker.fullAfterMillis() < 7000);
    }

    @Test
    void watchesARunningEngineOnlyIfRestoredStateWasRejected() {
        RecoveryPhaseTracker trusted = tracker(false);
        trusted.engineAttached(100, false);
        assertEquals(Phase.FULL, trusted.phase());
        assertEquals(0, trusted.fullAfterMillis());
        RecoveryPhaseTracker rejected = tracker(true);
        rejected.engineAttached(100, false);
        assertEquals(Phase.COLD, rejected.phase());
        assertEquals("the restored state was rejected", rejected.reason());
    }

    @Test
    void watchesEachNewEngineProcessButNoReconnect() {
        RecoveryPhaseTracker tracker = tracker(false);
        tracker.engineAttached(100, false);
        tracker.engineAttached(200, false);
        assertEquals(Phase.FULL, tracker.phase());
        tracker.engineAttached(300, true);
        assertEquals(Phase.COLD, tracker.phase());
        tracker.runCompleted(400, 30, 375);
        tracker.engineAttached(500, true);
        assertEquals(Phase.COLD, tracker.phase());
    }

    @Test
    void drainingIsTheLastPhase() {
        RecoveryPhaseTracker tracker = tracker(false);
        tracker.engineAttached(0, true);
        tracker.drainingBegan(50);
        tracker.engineAttached(60, true);
        tracker.runCompleted(70, 30, 375);
        tracker.tick(5000);
        assertEquals(Phase.DRAINING, tracker.phase());
    }
}
