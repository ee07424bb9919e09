package tinroad.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests what an evacuation means for a process that takes over, and for one that was replaced. */
class EvacuationTest {
    private final List<Boolean> reportedHealth = new ArrayList<>();
    private final List<String> ableToServe = new ArrayList<>();

    private GatewayHarness starting() {
        GatewayHarness harness = new GatewayHarness(0);
        harness.gateway.onHealth(reportedHealth::add);
        harness.gateway.onAbleToServe(() -> ableToServe.add("able"));
        return harness;
    }

    /** Guards against an upgrade that waits for ever, as the operators have drained the gateway. */
    @Test
    void aProcessThatTakesOverAnEvacuatedGatewayIsReadyAndReportsBadHealth() {
        GatewayHarness harness = starting();
        harness.gateway.evacuate();
        harness.gateway.setTakingOver(true);
        harness.gateway.onAttached(true, 0);
        assertEquals(List.of("able"), ableToServe);
        assertEquals(List.of(false), reportedHealth);
        assertFalse(harness.gateway.ready(), "nobody can connect yet");
        harness.gateway.markListening();
        assertTrue(harness.gateway.ready());
        assertFalse(harness.gateway.healthy());
        harness.gateway.setTakingOver(false);
        assertTrue(harness.gateway.ready());
        assertTrue(harness.gateway.rejoin());
        assertEquals(List.of(false, true), reportedHealth);
        harness.gateway.evacuate();
        assertFalse(harness.gateway.ready(), "as of any process that is evacuated");
        assertEquals(List.of("able"), ableToServe);
    }

    @Test
    void anEvacuationWhileBothProcessesServeDoesNotTakeBackThatTheNewOneIsReady() {
        GatewayHarness harness = starting();
        harness.gateway.setTakingOver(true);
        harness.gateway.onAttached(true, 0);
        harness.gateway.markListening();
        assertTrue(harness.gateway.ready());
        harness.gateway.evacuate();
        assertTrue(harness.gateway.ready());
        assertEquals(List.of(true, false), reportedHealth);
    }

    /** Guards against orders that a replaced process refuses, or answers checks against. */
    @Test
    void aReplacedProcessFollowsTheOrdersAndReportsNothing() {
        GatewayHarness harness = GatewayHarness.started();
        harness.gateway.onHealth(reportedHealth::add);
        harness.gateway.markReplaced();
        harness.gateway.beginDraining(harness.now, harness.now + 500);
        harness.controller.actions.setHealth(false, true);
        assertTrue(harness.gateway.healthy(), "the other process serves");
        harness.gateway.evacuate();
        assertFalse(harness.gateway.healthy());
        assertTrue(harness.gateway.canRejoin() && harness.gateway.rejoin());
        assertTrue(harness.gateway.healthy());
        assertEquals(List.of(), reportedHealth);
    }

    @Test
    void aProcessThatEndsForGoodDoesNotRejoin() {
        GatewayHarness harness = GatewayHarness.started();
        harness.gateway.evacuate();
        harness.gateway.beginDraining(harness.now, harness.now + 500);
        assertFalse(harness.gateway.canRejoin() || harness.gateway.rejoin());
        assertFalse(harness.gateway.healthy());
    }
}
