package tinroad.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.nio.NioIoHandler;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Callable;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import tinroad.Cuts;
import tinroad.core.Engine;
import tinroad.core.Progress;
import tinroad.overload.Controller.Gauges;

/**
 * Tests the link with a scripted engine on an ephemeral loopback port. Waits end with an event; the
 * timeout is reached only if a test hangs.
 */
class EngineLinkTest {
    private static final List<String> GAUGES =
            List.of("core_use", "on_cores", "heap_share", "links");

    /** Timeout of waits, which is reached only if a test hangs. */
    private static final long TIMEOUT_SECONDS = 60;

    private final BlockingQueue<String> events = new LinkedBlockingQueue<>();
    private MultiThreadIoEventLoopGroup eventLoopGroup;
    private ServerSocket server;
    private EngineLink link;
    private Socket socket;
    private BufferedReader commandReader;

    @BeforeEach
    void setUp() throws IOException {
        eventLoopGroup = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        server = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
        server.setSoTimeout((int) TimeUnit.SECONDS.toMillis(TIMEOUT_SECONDS));
        link =
                new EngineLink(
                        eventLoopGroup.next(),
                        (InetSocketAddress) server.getLocalSocketAddress(),
                        GAUGES,
                        "n3",
                        1);
        eventLoopGroup.next().execute(() -> link.start(new Recorder()));
        acceptConnection();
    }

    @AfterEach
    void tearDown() throws IOException {
        eventLoopGroup.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
        socket.close();
        server.close();
    }

    private class Recorder implements Engine.Listener {
        @Override
        public void onAttached(boolean newProcess, double startedMillisAgo) {
            events.add("attached " + newProcess + " " + startedMillisAgo);
        }

        @Override
        public void onCaughtUp() {
            events.add("caught up");
        }

        @Override
        public void onDetached() {
            events.add("detached");
        }

        @Override
        public void onRunEnded(
                String id, Engine.RunOutcome outcome, double tookMillis, ByteBuf result) {
            events.add(
                    id
                            + " "
                            + outcome
                            + " "
                            + tookMillis
                            + " "
                            + result.toString(StandardCharsets.ISO_8859_1));
        }

        @Override
        public void onGauges(String tag, Gauges gauges) {
            events.add(
                    tag
                            + " "
                            + gauges.coreUtilization()
                            + " "
                            + gauges.runnable()
                            + " "
                            + gauges.connections());
        }
    }

    private void acceptConnection() throws IOException {
        socket = server.accept();
        commandReader =
                new BufferedReader(
                        new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
    }

    private void send(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    private void expect(String event) throws InterruptedException {
        assertEquals(event, events.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS));
    }

    private void attach() throws IOException, InterruptedException {
        send("{\"type\":\"HELLO\",\"state\":\"fresh\",\"took\":12.5}\n");
        expect("attached true 12.5");
        assertEquals("{\"type\":\"STAT\",\"ref\":\"catch-up\"}", commandReader.readLine());
    }

    private <T> T callOnEventLoop(Callable<T> call) throws Exception {
        return eventLoopGroup.next().submit(call).get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    private Progress run(String id) throws Exception {
        return callOnEventLoop(
                () -> link.run(id, "read", Unpooled.wrappedBuffer(new byte[] {0, -1, 'b'})));
    }

    @Test
    void sendsNoCommandBeforeHello() throws Exception {
        assertEquals("{\"type\":\"ATTACH\",\"n\":0}", commandReader.readLine());
        assertEquals(Progress.NOT_SENT, run("0a"));
        assertEquals(false, callOnEventLoop(() -> link.requestGauges("1")));
        attach();
        assertEquals(Progress.SENT, run("0b"));
        assertEquals(
                "{\"type\":\"RUN\",\"job\":\"0b\",\"kind\":\"read\",\"data\":\"AP9i\"}",
                commandReader.readLine());
        assertTrue(callOnEventLoop(() -> link.requestGauges("7")));
        assertEquals("{\"type\":\"STAT\",\"ref\":\"7\"}", commandReader.readLine());
        send("{\"type\":\"STATS\",\"ref\":\"7\",\"gauges\":[0.5,3,0.1,9,77]}\n");
        expect("7 0.5 3.0 9.0");
    }

    @Test
    void reconnectsAfterTheLastEventAndCountsEachOnce() throws Exception {
        commandReader.readLine();
        attach();
        send(
                """
                {"type":"DONE","n":1,"job":"0a","state":"done","took":3,"data":"cmVz"}
                {"type":"NOTE","n":2,"state":"hm"}
                """);
        expect("0a DONE 3.0 res");
        send(
                "{\"type\":\"DONE\",\"n\":3,\"job\":\"0b\",\"state\":\"crashed\",\"took\":4}\n"
                        + "{\"type\":\"DONE\",\"n\":4,\"jo");
        expect("0b CRASHED 4.0 ");
        socket.close();
        expect("detached");
        assertEquals(Progress.NOT_SENT, run("0c"));
        acceptConnection();
        assertEquals("{\"type\":\"ATTACH\",\"n\":3}", commandReader.readLine());
        attach();
        send(
                """
                {"type":"DONE","n":3,"job":"0b","state":"crashed","took":4}
                {"type":"DONE","n":4,"job":"0d","state":"stale","took":0}
                {"type":"STATS","ref":"catch-up","gauges":[0.5,3,0.1,9]}
                """);
        expect("0d STALE 0.0 ");
        expect("caught up");
    }

    @Test
    void switchesEndpointWithoutLosingAnEvent() throws Exception {
        commandReader.readLine();
        attach();
        send(
                "{\"type\":\"DONE\",\"n\":1,\"job\":\"0a\",\"state\":\"done\",\"took\":3,\"data\":\"cmVz\"}\n");
        expect("0a DONE 3.0 res");
        try (Socket oldSocket = socket;
                ServerSocket newServer = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            ServerSocket oldServer = server;
            server = newServer;
            server.setSoTimeout((int) TimeUnit.SECONDS.toMillis(TIMEOUT_SECONDS));
            callOnEventLoop(
                    () -> {
                        link.switchEndpoint((InetSocketAddress) newServer.getLocalSocketAddress());
                        link.switchEndpoint((InetSocketAddress) newServer.getLocalSocketAddress());
                        return null;
                    });
            assertEquals(Progress.NOT_SENT, run("0b"), "no new command goes to the old address");
            oldServer.close();
            acceptConnection();
            assertEquals("{\"type\":\"ATTACH\",\"n\":1}", commandReader.readLine());
            oldSocket
                    .getOutputStream()
                    .write(
                            "{\"type\":\"DONE\",\"n\":2,\"job\":\"0c\",\"state\":\"crashed\",\"took\":4}\n"
                                    .getBytes(StandardCharsets.US_ASCII));
            expect("0c CRASHED 4.0 ");
            attach();
            assertEquals(Progress.SENT, run("0d"));
            assertTrue(commandReader.readLine().contains("\"0d\""));
            assertNull(
                    new BufferedReader(
                                    new InputStreamReader(
                                            oldSocket.getInputStream(), StandardCharsets.US_ASCII))
                            .readLine(),
                    "the old connection ends, and no more commands are written to it");
            send(
                    """
                    {"type":"DONE","n":2,"job":"0c","state":"crashed","took":4}
                    {"type":"DONE","n":3,"job":"0d","state":"crashed","took":4}
                    """);
            expect("0d CRASHED 4.0 ");
        }
    }

    @Test
    void skipsLinesThatAreNoEvents() throws Exception {
        commandReader.readLine();
        attach();
        send(
                "\n"
                        + "[]\n"
                        + "{\"type\":\"SING\",\"n\":1}\n"
                        + "{\"type\":5}\n"
                        + "{\"type\":\"DONE\",\"data\":\"%%%\"}\n"
                        + "\u0001\n"
                        + "x".repeat(EngineProtocol.MAX_LINE_BYTES + 10)
                        + "\n{\"type\":\"NO\",\"state\":\"STAT\"}\n"
                        + "{\"type\":\"NO\",\"state\":\"RUN\",\"job\":\"0a\"}\n");
        expect("0a REJECTED 0.0 ");
    }

    @Property(seed = "20261204", tries = 200)
    void readsEventsHoweverTheyAreSplitAndWhateverIsBetween(
            @ForAll long seed, @ForAll @Size(max = 100) byte[] garbage) {
        EngineLink embeddedLink = new EngineLink(null, null, GAUGES, "n3", 1);
        List<String> endedRuns = new ArrayList<>();
        embeddedLink.setListener(
                new Recorder() {
                    @Override
                    public void onRunEnded(
                            String id,
                            Engine.RunOutcome outcome,
                            double tookMillis,
                            ByteBuf result) {
                        endedRuns.add(
                                id
                                        + " "
                                        + outcome
                                        + " "
                                        + result.toString(StandardCharsets.ISO_8859_1));
                    }
                });
        EmbeddedChannel channel = new EmbeddedChannel(embeddedLink.handlers());
        for (int number = 1; number <= 20; number++) {
            Cuts.feed(
                    channel,
                    Cuts.join(
                            garbage,
                            ("\n{\"type\":\"DONE\",\"n\":"
                                            + number
                                            + ",\"job\":\""
                                            + number
                                            + "\",\"state\":\"done\",\"took\":1,\"data\":\"cmVz\"}\n")
                                    .getBytes(StandardCharsets.US_ASCII)),
                    seed + number);
        }
        assertEquals(
                IntStream.rangeClosed(1, 20).mapToObj(number -> number + " DONE res").toList(),
                endedRuns);
    }

    @Property(seed = "20261203", tries = 500)
    void garbageAndTruncatedLinesAreNoEvents(
            @ForAll @Size(max = 200) byte[] garbage, @ForAll long seed) {
        EngineEvent.read(Unpooled.wrappedBuffer(garbage), GAUGES);
        byte[] line =
                ("{\"type\":\"DONE\",\"n\":12,\"job\":\"0a\",\"state\":\"done\",\"took\":18.5,\"data\":\"cmVz\","
                     + "\"gauges\":[1,2,3,4],\"more\":{\"a\":[1]}}")
                        .getBytes(StandardCharsets.US_ASCII);
        assertNotNull(EngineEvent.read(Unpooled.wrappedBuffer(line), GAUGES));
        Random random = new Random(seed);
        int cutOffset = random.nextInt(line.length);
        assertNull(EngineEvent.read(Unpooled.wrappedBuffer(line, 0, cutOffset), GAUGES));
        line[cutOffset] = (byte) random.nextInt(256);
        EngineEvent.read(Unpooled.wrappedBuffer(line), GAUGES);
    }
}
