package tinroad.fastcgi;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.io.ByteArrayOutputStream;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import tinroad.Cuts;
import tinroad.core.Engine;
import tinroad.core.GatewayHarness;

/**
 * Tests clients that send small or invalid input without a pause: what it costs is bounded, and
 * they wait while others are read.
 */
@SuppressWarnings("FutureReturnValueIgnored") // The embedded channel is synchronous.
class InputThrottleTest {
    private static final String INVALID = "Status: 400 Bad Request\r\n\r\n";

    private GatewayHarness harness;
    private FastCgiFrontend frontend;

    @BeforeEach
    void setUp() {
        start(GatewayHarness.started());
    }

    private void start(GatewayHarness started) {
        harness = started;
        frontend = new FastCgiFrontend(harness, harness.gateway, 1024, 192);
        harness.gateway.addFrontend(frontend);
        harness.controller.onRequest = r -> harness.controller.actions.run(r.id());
    }

    private EmbeddedChannel connect() {
        return new EmbeddedChannel(frontend.handlers());
    }

    private static void write(EmbeddedChannel channel, byte[]... parts) {
        channel.writeInbound(Unpooled.wrappedBuffer(Cuts.join(parts)));
    }

    private static List<String> responses(EmbeddedChannel channel) {
        return Records.responses(Cuts.sent(channel));
    }

    private static boolean isRead(EmbeddedChannel channel) {
        return channel.config().isAutoRead();
    }

    /** A request that never ends, in many records of one byte. */
    private static byte[] shortRecords(int records) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.writeBytes(Records.beginRequest(1, 1, 1));
        for (int i = 0; i < records; i++) {
            out.writeBytes(Records.record(4, 1, new byte[] {1}, 0));
        }
        return out.toByteArray();
    }

    private static byte[] requestWithFields(int id, int fields) {
        ByteArrayOutputStream pairs = new ByteArrayOutputStream();
        Map<String, String> valid = Records.validFields(String.format("%016x", id));
        pairs.writeBytes(Records.encodePairs(valid, new Random(id)));
        for (int i = valid.size(); i < fields; i++) {
            pairs.writeBytes(new byte[] {1, 0, (byte) ('a' + i % 26)});
        }
        return Cuts.join(
                Records.beginRequest(id, 1, 1),
                Records.record(4, id, pairs.toByteArray(), 0),
                Records.record(4, id, new byte[0], 0),
                Records.record(5, id, new byte[0], 0));
    }

    /** Guards against one client whose short records hold the event loop up. */
    @Test
    void aClientThatSendsManyShortRecordsIsReadInTurns() {
        EmbeddedChannel bad = connect();
        write(bad, shortRecords(200));
        assertTrue(isRead(bad));
        byte[] more = shortRecords(400);
        write(bad, Arrays.copyOfRange(more, 16, more.length));
        assertFalse(isRead(bad));
        frontend.sweep();
        assertTrue(isRead(bad), "its turn has come");
        write(bad, Records.record(4, 1, new byte[] {1}, 0));
        assertFalse(isRead(bad), "it has not completed a request since");
    }

    /** Guards against a client whose invalid requests, under ever new names, cost others time. */
    @Test
    void aClientThatSendsInvalidRequestsIsReadInTurns() {
        for (String field : List.of("SCRIPT_NAME", "HTTP_REQ_OWNER", "HTTP_REQ_ID")) {
            EmbeddedChannel bad = connect();
            int answered = 0;
            for (int i = 1; i <= 100 && isRead(bad); i++) {
                Map<String, String> fields = Records.validFields(String.format("%016x", i));
                fields.put(field, "/v1/n" + i);
                write(bad, Records.completeRequest(1, fields, ""));
                answered += responses(bad).equals(List.of("1: " + INVALID)) ? 1 : 0;
            }
            assertFalse(isRead(bad), field);
            assertTrue(answered >= 5 && answered < 40, field + ": " + answered);
        }
    }

    /** Guards against a sound client proxy that pays for its many requests. */
    @Test
    void aClientOfValidRequestsIsNeverThrottled() {
        EmbeddedChannel sound = connect();
        for (int round = 0; round < 40; round++) {
            byte[][] requests = new byte[32][];
            for (int id = 1; id <= 32; id++) {
                String requestId = String.format("%016x", 100 * round + id);
                requests[id - 1] =
                        Records.completeRequest(
                                id, Records.validFields(requestId), "b".repeat(2048));
            }
            byte[] bytes = Cuts.join(requests);
            for (int from = 0; from < bytes.length; from += FastCgiFrontend.MAX_READ_BYTES) {
                int to = Math.min(bytes.length, from + FastCgiFrontend.MAX_READ_BYTES);
                write(sound, Arrays.copyOfRange(bytes, from, to));
                assertTrue(isRead(sound), "round " + round);
            }
            for (int id = 1; id <= 32; id++) {
                harness.gateway.onRunEnded(
                        String.format("%016x", 100 * round + id),
                        Engine.RunOutcome.DONE,
                        5,
                        Unpooled.EMPTY_BUFFER);
            }
            assertEquals(32, responses(sound).size());
        }
    }

    @Test
    void throttledClientsTakeTurnsInTheOrderInWhichTheyWait() {
        int clients = 2 * InputThrottle.TURNS_PER_SWEEP + 1;
        List<EmbeddedChannel> bad = IntStream.range(0, clients).mapToObj(i -> connect()).toList();
        bad.forEach(channel -> write(channel, shortRecords(600)));
        for (int turn = 1; turn <= 2; turn++) {
            frontend.sweep();
            int first = (turn - 1) * InputThrottle.TURNS_PER_SWEEP;
            int last = Math.min(clients, first + InputThrottle.TURNS_PER_SWEEP);
            for (int i = 0; i < clients; i++) {
                assertEquals(i >= first && i < last, isRead(bad.get(i)), turn + ": " + i);
            }
            for (int i = first; i < last; i++) {
                write(bad.get(i), Records.record(4, 1, new byte[] {1}, 0));
            }
        }
        frontend.sweep();
        assertTrue(isRead(bad.get(clients - 1)), "the last one comes before the first ones again");
        assertTrue(isRead(bad.get(0)));
        assertFalse(isRead(bad.get(InputThrottle.TURNS_PER_SWEEP)));
    }

    /** Guards against a request of thousands of fields, each of which becomes an object. */
    @Test
    void theFieldsOfARequestAreBounded() {
        EmbeddedChannel channel = connect();
        write(channel, requestWithFields(1, RequestParameters.MAX_PARAMETERS));
        assertEquals(1, harness.runs.size());
        write(channel, requestWithFields(2, RequestParameters.MAX_PARAMETERS + 1));
        assertEquals(List.of("2: " + INVALID), responses(channel));
        assertEquals(1, harness.runs.size());
        assertTrue(channel.isOpen(), "the request in flight is answered");
    }

    /** Guards against a stream in short records that takes more memory than is counted. */
    @Test
    void theMemoryOfAStreamInShortRecordsIsCounted() {
        long before = frontend.heldPartialInput();
        EmbeddedChannel channel = connect();
        write(channel, shortRecords(300));
        long held = frontend.heldPartialInput() - before;
        assertTrue(held >= 300 + PendingRequest.BASE_BYTES, held + " bytes");
        assertTrue(held <= 2 * 300 + PendingRequest.BASE_BYTES, held + " bytes");
        write(channel, Records.record(4, 1, new byte[0], 0), Records.record(5, 1, new byte[0], 0));
        assertEquals(before, frontend.heldPartialInput());
    }

    /** Guards against a sweep that is busy with the overdue requests of hundreds of clients. */
    @Test
    void oneSweepFailsABoundedNumberOfOverdueRequests() {
        int clients = 100;
        byte[] begins =
                Cuts.join(
                        IntStream.rangeClosed(1, 60)
                                .mapToObj(i -> Records.beginRequest(i, 1, 1))
                                .toArray(byte[][]::new));
        List<EmbeddedChannel> bad = IntStream.range(0, clients).mapToObj(i -> connect()).toList();
        bad.forEach(channel -> write(channel, begins));
        harness.advance(FastCgiFrontend.REQUEST_TIMEOUT_MILLIS + 1);
        frontend.sweep();
        int sweeps = 0;
        int failed = 0;
        while (failed < 60 * clients && sweeps < 100) {
            frontend.sweep();
            sweeps++;
            int failedNow = bad.stream().mapToInt(channel -> responses(channel).size()).sum();
            assertTrue(failedNow <= 600, failedNow + " in one sweep");
            failed += failedNow;
        }
        assertEquals(60 * clients, failed);
    }

    /** Guards against a refusal of a further attempt of a keyed request that may have run. */
    @Test
    void whereAClassIsKeyedARequestThatIsNotReadFailsAndIsNotRefused() {
        start(GatewayHarness.keyed());
        EmbeddedChannel channel = connect();
        byte[][] begins = new byte[RequestAssembler.MAX_OPEN_REQUESTS + 1][];
        Arrays.setAll(begins, i -> Records.beginRequest(i + 1, 1, 1));
        write(channel, begins);
        assertEquals(List.of("65: Status: 500 Internal Server Error\r\n\r\n"), responses(channel));
        frontend.refuseRequests();
        EmbeddedChannel late = connect();
        write(late, Records.beginRequest(1, 1, 1));
        assertEquals(List.of("1: Status: 500 Internal Server Error\r\n\r\n"), responses(late));
    }
}
