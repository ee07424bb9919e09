package tinroad.admin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import tinroad.Cuts;
import tinroad.catalog.CatalogBuilder;
import tinroad.catalog.CatalogChange;
import tinroad.core.Engine;
import tinroad.core.GatewayHarness;
import tinroad.core.IncomingRequest;
import tinroad.overload.Controller.Estimate;
import tinroad.recovery.RestoredState;

/**
 * Tests the requests of operators and their responses, and that garbage closes only its own
 * connection.
 */
class AdminServerTest {
    private GatewayHarness harness = GatewayHarness.started();

    /** Marks the gateway of each test, and of each try of a property, as listening. */
    AdminServerTest() {
        harness.gateway.markListening();
    }

    private EmbeddedChannel connect() {
        return new EmbeddedChannel(new AdminServer(harness.gateway).handlers());
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    /**
     * Returns the status line and the body of the response, and checks that the connection ended.
     */
    private String call(String requestLine, long seed) {
        EmbeddedChannel channel = connect();
        Cuts.feed(
                channel,
                bytes(requestLine + " HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n"),
                seed);
        String output = new String(Cuts.sent(channel), StandardCharsets.ISO_8859_1);
        assertFalse(channel.isOpen());
        return output.substring(0, output.indexOf('\r'))
                + output.substring(output.indexOf("\r\n\r\n") + 3);
    }

    private String call(String requestLine) {
        return call(requestLine, 1);
    }

    private void sendRequest(String id, String requestClass) {
        harness.gateway.handle(
                new IncomingRequest(
                        id,
                        harness.now,
                        requestClass,
                        "acme",
                        4,
                        20,
                        0.5,
                        null,
                        Unpooled.EMPTY_BUFFER),
                response -> {});
    }

    @Test
    void readinessFollowsEngineEvacuationAndShutdown() {
        harness = new GatewayHarness(0);
        assertEquals("HTTP/1.1 503 Service Unavailable\nnot ready\n", call("GET /api/ready"));
        harness.gateway.onAttached(true, 0);
        assertEquals("HTTP/1.1 503 Service Unavailable\nnot ready\n", call("GET /api/ready"));
        harness.gateway.markListening();
        assertEquals("HTTP/1.1 200 OK\nready\n", call("GET /api/ready"));
        assertEquals("HTTP/1.1 200 OK\ndraining\n", call("POST /api/evacuate"));
        assertFalse(harness.gateway.healthy());
        assertEquals("HTTP/1.1 503 Service Unavailable\nnot ready\n", call("GET /api/ready"));
        assertEquals("HTTP/1.1 200 OK\nback to work\n", call("POST /api/rejoin"));
        assertTrue(harness.gateway.healthy());
        harness.gateway.beginDraining(harness.now, harness.now + 500);
        assertEquals(
                "HTTP/1.1 409 Conflict\nthis process is about to end\n", call("POST /api/rejoin"));
    }

    @Test
    void telemetryCountsResponsesByClassRunsAndRequestsInFlight() {
        harness.controller.onRequest = r -> harness.controller.actions.run(r.id());
        sendRequest("0000000000000001", "read");
        sendRequest("0000000000000002", "read");
        sendRequest("0000000000000002", "read");
        sendRequest("0000000000000003", "order");
        harness.gateway.onRunEnded(
                "0000000000000001", Engine.RunOutcome.DONE, 5, Unpooled.EMPTY_BUFFER);
        harness.gateway.onRunEnded(
                "0000000000000003", Engine.RunOutcome.CRASHED, 5, Unpooled.EMPTY_BUFFER);
        harness.controller.onRequest = r -> harness.controller.actions.reject(r.id(), 0, false);
        sendRequest("0000000000000004", "order");
        assertEquals(
                "HTTP/1.1 200 OK\n"
                    + "{\"success\":{\"read\":1,\"order\":0},\"busy\":{\"read\":0,\"order\":1},"
                    + "\"failure\":{\"read\":1,\"order\":1},\"backend_calls\":3,\"inflight\":1}",
                call("GET /api/telemetry"));
    }

    @Test
    void settingsShowTheVersionInForcePendingOnesAndTheLastRejection() {
        String hash = harness.gateway.catalog().contentHash();
        harness.advance(250);
        assertEquals(
                "HTTP/1.1 200 OK\n{\"epoch\":0,\"number\":0,\"hash\":\""
                        + hash
                        + "\",\"classes\":2,\"tenants\":1,\"since_ms\":250,"
                        + "\"lag\":0,\"longest_slice_ms\":0.0,\"refusal\":null,\"refused_ms\":null}",
                call("GET /api/settings"));
        CatalogBuilder catalogBuilder = new CatalogBuilder(harness.gateway.catalog());
        CatalogBuilder.ChangeResult.Applied applied =
                (CatalogBuilder.ChangeResult.Applied)
                        catalogBuilder.apply(
                                new CatalogChange(
                                        0, 1, Map.of(), Set.of("order"), Map.of(), Set.of()));
        harness.gateway.applyChange(applied.next(), applied.delta(), inForce -> {});
        harness.gateway.changeRejected("class \"x\": " + "y".repeat(1000));
        assertTrue(
                call("GET /api/settings")
                        .contains(
                                "\"number\":0,\"hash\":\""
                                        + hash
                                        + "\",\"classes\":2,\"tenants\":1,\"since_ms\":250,\"lag\":1,\"longest_slice_ms\":0.0,\"refusal\":\"class"
                                        + " \\\"x\\\": yyy"));
        harness.advance(40);
        String settingsAfterChange = call("GET /api/settings");
        assertTrue(
                settingsAfterChange.contains(
                        "\"number\":1,\"hash\":\""
                                + applied.next().contentHash()
                                + "\",\"classes\":1,\"tenants\":1,\"since_ms\":40,\"lag\":0,"),
                settingsAfterChange);
        assertTrue(
                settingsAfterChange.endsWith("y...\",\"refused_ms\":40.0}"), settingsAfterChange);
        assertTrue(settingsAfterChange.length() < 1000, settingsAfterChange);
    }

    @Test
    void recoveryShowsThePhaseAndTheRestoredValues() {
        harness = new GatewayHarness(0);
        harness.gateway.restoreFrom(
                new RestoredState() {
                    @Override
                    public Map<String, RestoredValue> restore(
                            Map<String, Estimate> priors, double nowMillis) {
                        return Map.of(
                                "run.read", new RestoredValue(new Estimate(24, 4), 61_000, 3));
                    }

                    @Override
                    public void started(Map<String, Estimate> values) {}

                    @Override
                    public Map<String, Double> executedIds() {
                        return Map.of(
                                "00000000000000aa",
                                harness.now + 500,
                                "00000000000000ab",
                                harness.now - 1);
                    }

                    @Override
                    public boolean evacuated() {
                        return true;
                    }

                    @Override
                    public long incarnation() {
                        return 4;
                    }

                    @Override
                    public String startMode() {
                        return "warm";
                    }
                });
        String starting = call("GET /api/recovery");
        assertTrue(
                starting.contains(
                        "{\"phase\":\"starting\",\"since_ms\":0,\"why\":\"the engine was never"
                                + " there\",\"shown_per_s\":null"),
                starting);
        harness.gateway.onAttached(true, 0);
        String cold = call("GET /api/recovery");
        assertTrue(
                cold.contains("\"phase\":\"cold\"")
                        && cold.endsWith(
                                "\"life\":4,\"began\":\"warm\",\"remembered\":"
                                    + "[{\"what\":\"run.read\",\"value\":24.0,\"age_ms\":61000,\"life\":3}]}"),
                cold);
        assertEquals(Map.of("0", 24.0), harness.controller.restored);
        // A request that an earlier incarnation ran is not run again before its deadline, and a
        // restarted gateway remains evacuated.
        sendRequest("00000000000000aa", "read");
        sendRequest("00000000000000ab", "read");
        assertEquals("00000000000000ab", harness.controller.lastRequest.id());
        assertFalse(harness.gateway.healthy());
        assertTrue(harness.gateway.rejoin() && harness.gateway.healthy());
    }

    @Test
    void rejectsUnknownPathsWrongMethodsAndGarbage() {
        assertEquals("HTTP/1.1 404 Not Found\nno such call\n", call("GET /"));
        assertEquals("HTTP/1.1 405 Method Not Allowed\nuse POST\n", call("GET /api/evacuate"));
        assertEquals("HTTP/1.1 400 Bad Request\nnot a call\n", call("what"));
        assertTrue(harness.gateway.healthy());
    }

    @Test
    void closesAConnectionWhoseRequestNeverEnds() {
        EmbeddedChannel channel = connect();
        channel.writeInbound(Unpooled.copiedBuffer(bytes("GET /api/rea")));
        channel.advanceTimeBy(1, TimeUnit.HOURS);
        channel.runScheduledPendingTasks();
        assertFalse(channel.isOpen());
    }

    @Property(tries = 50, seed = "11")
    void readsARequestHoweverItIsSplit(@ForAll long seed) {
        assertEquals("HTTP/1.1 200 OK\nready\n", call("GET /api/ready", seed));
    }

    @Property(tries = 200, seed = "12")
    void garbageClosesOnlyItsConnection(
            @ForAll @Size(max = 400) byte[] garbage, @ForAll long seed) {
        EmbeddedChannel channel = connect();
        Cuts.feed(channel, Cuts.join(garbage, bytes("\r\n\r\n")), seed);
        channel.finishAndReleaseAll();
        assertEquals("HTTP/1.1 200 OK\nready\n", call("GET /api/ready"));
    }
}
