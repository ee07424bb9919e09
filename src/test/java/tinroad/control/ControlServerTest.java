package tinroad.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import tinroad.Cuts;
import tinroad.core.Engine;
import tinroad.core.Harness;
import tinroad.core.Inbound;

/** What operators call, what they hear, and that whatever comes costs no more than its connection. */
class ControlServerTest {
    private Harness h = Harness.started();

    /** Each test, and each try of a property, has a gateway that callers reach. */
    ControlServerTest() {
        h.gateway.opened();
    }

    private EmbeddedChannel connect() {
        return new EmbeddedChannel(new ControlServer(h.gateway).handlers());
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    /** The status line and the body; the connection is over. */
    private String call(String head, long seed) {
        EmbeddedChannel channel = connect();
        Cuts.feed(channel, bytes(head + " HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n"), seed);
        String sent = new String(Cuts.sent(channel), StandardCharsets.ISO_8859_1);
        assertFalse(channel.isOpen());
        return sent.substring(0, sent.indexOf('\r')) + sent.substring(sent.indexOf("\r\n\r\n") + 3);
    }

    private String call(String head) {
        return call(head, 1);
    }

    private void ask(String id, String kind) {
        h.gateway.request(new Inbound(id, h.now, kind, "acme", 4, 20, 0.5, null, Unpooled.EMPTY_BUFFER), a -> { });
    }

    @Test
    void readinessFollowsTheEngineTheDrainAndTheEnd() {
        h = new Harness(0);
        assertEquals("HTTP/1.1 503 Service Unavailable\nnot ready\n", call("GET /api/ready"));
        h.gateway.attached(true, 0);
        assertEquals("HTTP/1.1 503 Service Unavailable\nnot ready\n", call("GET /api/ready"));
        h.gateway.opened();
        assertEquals("HTTP/1.1 200 OK\nready\n", call("GET /api/ready"));
        assertEquals("HTTP/1.1 200 OK\ndraining\n", call("POST /api/evacuate"));
        assertFalse(h.gateway.healthy());
        assertEquals("HTTP/1.1 503 Service Unavailable\nnot ready\n", call("GET /api/ready"));
        assertEquals("HTTP/1.1 200 OK\nback to work\n", call("POST /api/rejoin"));
        assertTrue(h.gateway.healthy());
        h.gateway.drain(h.now, h.now + 500);
        assertEquals("HTTP/1.1 409 Conflict\nthis process is about to end\n", call("POST /api/rejoin"));
    }

    @Test
    void theFiguresCountAnswersByClassRunsAndWhatIsInHand() {
        h.module.onRequest = r -> h.module.act.run(r.id());
        ask("0000000000000001", "read");
        ask("0000000000000002", "read");
        ask("0000000000000002", "read");
        ask("0000000000000003", "order");
        h.gateway.ended("0000000000000001", Engine.End.DONE, 5, Unpooled.EMPTY_BUFFER);
        h.gateway.ended("0000000000000003", Engine.End.CRASHED, 5, Unpooled.EMPTY_BUFFER);
        h.module.onRequest = r -> h.module.act.refuse(r.id(), 0, false);
        ask("0000000000000004", "order");
        assertEquals("HTTP/1.1 200 OK\n{\"success\":{\"read\":1,\"order\":0},\"busy\":{\"read\":0,\"order\":1},"
                + "\"failure\":{\"read\":1,\"order\":1},\"backend_calls\":3,\"inflight\":1}", call("GET /api/telemetry"));
    }

    @Test
    void whatIsNoCallIsToldSo() {
        assertEquals("HTTP/1.1 404 Not Found\nno such call\n", call("GET /"));
        assertEquals("HTTP/1.1 405 Method Not Allowed\nuse POST\n", call("GET /api/evacuate"));
        assertEquals("HTTP/1.1 400 Bad Request\nnot a call\n", call("what"));
        assertTrue(h.gateway.healthy());
    }

    @Test
    void aCallerThatNeverFinishesItsCallIsGivenUpOn() {
        EmbeddedChannel channel = connect();
        channel.writeInbound(Unpooled.copiedBuffer(bytes("GET /api/rea")));
        channel.advanceTimeBy(1, TimeUnit.HOURS);
        channel.runScheduledPendingTasks();
        assertFalse(channel.isOpen());
    }

    @Property(tries = 50, seed = "11")
    void aCallIsUnderstoodHoweverItIsCut(@ForAll long seed) {
        assertEquals("HTTP/1.1 200 OK\nready\n", call("GET /api/ready", seed));
    }

    @Property(tries = 200, seed = "12")
    void garbageCostsOnlyItsConnection(@ForAll @Size(max = 400) byte[] garbage, @ForAll long seed) {
        EmbeddedChannel channel = connect();
        Cuts.feed(channel, Cuts.join(garbage, bytes("\r\n\r\n")), seed);
        channel.finishAndReleaseAll();
        assertEquals("HTTP/1.1 200 OK\nready\n", call("GET /api/ready"));
    }
}
