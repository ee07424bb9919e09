package tinroad.fastcgi;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
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
 * Tests requests that are written in pieces with long silences in between: each one that is written
 * to its end on an open connection gets exactly one answer, wherever it is cut.
 */
@SuppressWarnings("FutureReturnValueIgnored") // The embedded channel is synchronous.
class CutRequestTest {
    /** What the connection carries when the request that is cut begins. */
    private enum Beside {
        NOTHING,
        COMPLETED_REQUEST,
        RUNNING_REQUEST,
        RUNNING_AND_FAILED_REQUEST
    }

    private static final int RUNNING_ID = 1;
    private static final int FAILED_ID = 5;
    private static final int CUT_ID = 9;

    private GatewayHarness harness;
    private FastCgiFrontend frontend;
    private int requestsWritten;

    @BeforeEach
    void setUp() {
        harness = GatewayHarness.started();
        frontend = new FastCgiFrontend(harness, harness.gateway, 1024, 192);
        harness.gateway.addFrontend(frontend);
        harness.controller.onRequest = r -> harness.controller.actions.run(r.id());
    }

    private static void write(EmbeddedChannel channel, byte[]... parts) {
        if (channel.isOpen()) {
            channel.writeInbound(Unpooled.wrappedBuffer(Cuts.join(parts)));
            channel.runPendingTasks();
        }
    }

    /** The records of a new request: streams in several padded records. */
    private byte[] request(int id) {
        var fields = Records.validFields(String.format("%016x", ++requestsWritten));
        fields.put("SCRIPT_NAME", "/v1/order");
        List<byte[]> records = new ArrayList<>(List.of(Records.beginRequest(id, 1, 1)));
        byte[] pairs = Records.encodePairs(fields, new Random(id));
        records.add(Records.record(4, id, Arrays.copyOf(pairs, 40), 3));
        records.add(Records.record(4, id, Arrays.copyOfRange(pairs, 40, pairs.length), 5));
        records.add(Records.record(4, id, new byte[0], 2));
        records.add(Records.record(5, id, "body".getBytes(StandardCharsets.US_ASCII), 4));
        records.add(Records.record(5, id, new byte[0], 1));
        return Cuts.join(records.toArray(byte[][]::new));
    }

    private EmbeddedChannel connect(Beside beside) {
        EmbeddedChannel channel = new EmbeddedChannel(frontend.handlers());
        if (beside != Beside.NOTHING) {
            write(channel, request(RUNNING_ID));
        }
        if (beside == Beside.COMPLETED_REQUEST) {
            completeRuns(channel);
        }
        if (beside == Beside.RUNNING_AND_FAILED_REQUEST) {
            write(channel, Records.beginRequest(FAILED_ID, 1, 1));
            silence(channel);
        }
        return channel;
    }

    /** Longer than any time for a request, in several sweeps. */
    private void silence(EmbeddedChannel channel) {
        harness.advance(FastCgiFrontend.REQUEST_TIMEOUT_MILLIS + 1);
        for (int sweep = 0; sweep < 4; sweep++) {
            harness.advance(10);
            frontend.sweep();
            channel.runPendingTasks();
        }
    }

    private void completeRuns(EmbeddedChannel channel) {
        for (int i = 1; i <= requestsWritten; i++) {
            harness.gateway.onRunEnded(
                    String.format("%016x", i),
                    Engine.RunOutcome.DONE,
                    5,
                    Unpooled.copiedBuffer("result", StandardCharsets.US_ASCII));
        }
        channel.runPendingTasks();
    }

    private static long answersTo(int id, List<String> responses) {
        return responses.stream()
                .filter(response -> response.startsWith(id + ":") || response.startsWith(id + "!"))
                .count();
    }

    /**
     * Writes a request with a silence at each cut, then a whole one with the same id, and checks
     * that what was written whole on the open connection has one answer each.
     */
    private void checkCutAt(Beside beside, boolean draining, int... cuts) {
        setUp();
        String play = beside + (draining ? ", draining" : "") + ", cut at " + Arrays.toString(cuts);
        EmbeddedChannel channel = connect(beside);
        if (draining) {
            frontend.closeGracefully();
        }
        byte[] request = request(CUT_ID);
        int written = 0;
        for (int cut : cuts) {
            write(channel, Arrays.copyOfRange(request, written, cut));
            silence(channel);
            written = cut;
        }
        int expected = 0;
        if (channel.isOpen()) {
            write(channel, Arrays.copyOfRange(request, written, request.length));
            expected++;
        }
        completeRuns(channel);
        if (channel.isOpen()) {
            write(channel, request(CUT_ID));
            expected++;
        }
        completeRuns(channel);
        List<String> responses = Records.responses(Cuts.sent(channel));
        long answers = answersTo(CUT_ID, responses);
        assertTrue(
                answers >= expected && answers <= Math.max(1, expected),
                play + ": " + expected + " requests written, answers " + responses);
        long answersBeside = answersTo(RUNNING_ID, responses);
        assertEquals(beside == Beside.NOTHING ? 0 : 1, answersBeside, play + ": " + responses);
    }

    private int requestLength() {
        return request(CUT_ID).length;
    }

    /** Guards against requests that are never answered as a silence cut their first record. */
    @Test
    void aRequestThatIsCutAtAnyByteGetsOneAnswerOrItsConnectionEnds() {
        int length = requestLength();
        for (Beside beside : Beside.values()) {
            for (boolean draining : new boolean[] {false, true}) {
                for (int cut = 1; cut < length; cut++) {
                    checkCutAt(beside, draining, cut);
                }
            }
        }
    }

    /** Guards against the same where one silence follows another. */
    @Test
    void aRequestThatIsCutSeveralTimesGetsOneAnswerOrItsConnectionEnds() {
        int length = requestLength();
        Random random = new Random(20261205);
        for (int i = 0; i < 3000; i++) {
            int[] cuts =
                    IntStream.generate(
                                    () ->
                                            1
                                                    + random.nextInt(
                                                            random.nextBoolean() ? 24 : length - 1))
                            .limit(2 + random.nextInt(3))
                            .sorted()
                            .distinct()
                            .toArray();
            Beside beside = Beside.values()[random.nextInt(Beside.values().length)];
            checkCutAt(beside, random.nextBoolean(), cuts);
        }
    }

    /** Guards against a whole connection that is given up for the header of one slow record. */
    @Test
    void aSilenceInTheFirstRecordBesideARunningRequestDelaysItsOwnRequestOnly() {
        int firstRecordBytes = FastCgi.HEADER_BYTES + FastCgi.BEGIN_REQUEST_BODY_BYTES;
        for (int cut = 1; cut < firstRecordBytes; cut++) {
            setUp();
            EmbeddedChannel channel = connect(Beside.RUNNING_REQUEST);
            byte[] request = request(CUT_ID);
            write(channel, Arrays.copyOf(request, cut));
            silence(channel);
            write(channel, Arrays.copyOfRange(request, cut, request.length));
            completeRuns(channel);
            List<String> responses = Records.responses(Cuts.sent(channel));
            assertEquals(2, responses.size(), "cut at " + cut);
            assertTrue(
                    responses.stream().allMatch(response -> response.contains(": Status: 200")),
                    "cut at " + cut + ": " + responses);
        }
    }

    /** Guards against a draining connection that is given up at once for a request that is cut. */
    @Test
    void aRequestThatIsCutWhenTheLastResponseOfADrainingConnectionIsWrittenIsAnswered() {
        int length = requestLength();
        for (int cut = 1; cut < length; cut++) {
            setUp();
            EmbeddedChannel channel = connect(Beside.RUNNING_REQUEST);
            frontend.closeGracefully();
            byte[] request = request(CUT_ID);
            write(channel, Arrays.copyOf(request, cut));
            completeRuns(channel);
            for (int turn = 0; turn < 20; turn++) {
                channel.runPendingTasks();
            }
            write(channel, Arrays.copyOfRange(request, cut, request.length));
            completeRuns(channel);
            List<String> responses = Records.responses(Cuts.sent(channel));
            assertEquals(1, answersTo(RUNNING_ID, responses), "cut at " + cut);
            assertEquals(1, answersTo(CUT_ID, responses), "cut at " + cut);
        }
    }

    /** Guards against requests behind a cut record of another kind that are never answered. */
    @Test
    void aRequestBehindACutRecordOfNoRequestIsAnswered() {
        byte[] query =
                Records.record(
                        9, 0, Records.encodePairs(Map.of("FCGI_MPXS_CONNS", ""), new Random(1)), 7);
        byte[] abort = Records.record(2, RUNNING_ID, new byte[0], 9);
        byte[] stray = Records.record(5, 77, new byte[30], 9);
        for (byte[] record : List.of(query, abort, stray)) {
            for (int cut = 1; cut < record.length; cut++) {
                setUp();
                EmbeddedChannel channel = connect(Beside.RUNNING_REQUEST);
                write(channel, Arrays.copyOf(record, cut));
                silence(channel);
                write(channel, Arrays.copyOfRange(record, cut, record.length), request(CUT_ID));
                completeRuns(channel);
                List<String> responses = Records.responses(Cuts.sent(channel));
                String play = "type " + record[1] + " cut at " + cut + ": " + responses;
                assertEquals(1, answersTo(RUNNING_ID, responses), play);
                assertEquals(1, answersTo(CUT_ID, responses), play);
            }
        }
    }

    /** Guards against first records that are too long, and against keeping much of them. */
    @Test
    void aFirstRecordThatIsTooLongIsAnsweredAndNotKept() {
        EmbeddedChannel channel = connect(Beside.RUNNING_REQUEST);
        byte[] begin = Records.record(1, CUT_ID, new byte[RecordDecoder.MAX_CONTENT_BYTES], 0);
        write(channel, Arrays.copyOf(begin, begin.length - 1));
        assertTrue(
                frontend.heldPartialInput() <= RecordDecoder.MAX_BEGIN_RECORD_BYTES,
                frontend.heldPartialInput() + " bytes kept");
        write(channel, new byte[1], request(CUT_ID));
        completeRuns(channel);
        List<String> responses = Records.responses(Cuts.sent(channel));
        assertEquals(1, answersTo(RUNNING_ID, responses), responses.toString());
        assertEquals(2, answersTo(CUT_ID, responses), responses.toString());
    }
}
