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
 * The link against a scripted engine on an ephemeral loopback port; waits end by events, never by
 * the clock.
 */
class EngineLinkTest {
    private static final List<String> GAUGES =
            List.of("core_use", "on_cores", "heap_share", "links");

    /** Only a hung test waits this long. */
    private static final long HUNG_S = 60;

    private final BlockingQueue<String> reported = new LinkedBlockingQueue<>();
    private MultiThreadIoEventLoopGroup group;
    private ServerSocket server;
    private EngineLink link;
    private Socket socket;
    private BufferedReader lines;

    @BeforeEach
    void start() throws IOException {
        group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        server = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
        server.setSoTimeout((int) TimeUnit.SECONDS.toMillis(HUNG_S));
        link =
                new EngineLink(
                        group.next(),
                        (InetSocketAddress) server.getLocalSocketAddress(),
                        GAUGES,
                        "n3",
                        1);
        group.next().execute(() -> link.start(new Recorder()));
        accept();
    }

    @AfterEach
    void stop() throws IOException {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
        socket.close();
        server.close();
    }

    private class Recorder implements Engine.Listener {
        @Override
        public void onAttached(boolean fresh, double startedAgo) {
            reported.add("attached " + fresh + " " + startedAgo);
        }

        @Override
        public void onCaughtUp() {
            reported.add("caught up");
        }

        @Override
        public void onDetached() {
            reported.add("detached");
        }

        @Override
        public void onRunEnded(String id, Engine.RunOutcome end, double took, ByteBuf result) {
            reported.add(
                    id
                            + " "
                            + end
                            + " "
                            + took
                            + " "
                            + result.toString(StandardCharsets.ISO_8859_1));
        }

        @Override
        public void onGauges(String tag, Gauges gauges) {
            reported.add(
                    tag
                            + " "
                            + gauges.coreUtilization()
                            + " "
                            + gauges.runnable()
                            + " "
                            + gauges.connections());
        }
    }

    private void accept() throws IOException {
        socket = server.accept();
        lines =
                new BufferedReader(
                        new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
    }

    private void send(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    private void expect(String event) throws InterruptedException {
        assertEquals(event, reported.poll(HUNG_S, TimeUnit.SECONDS));
    }

    private void hello() throws IOException, InterruptedException {
        send("{\"type\":\"HELLO\",\"state\":\"fresh\",\"took\":12.5}\n");
        expect("attached true 12.5");
        assertEquals("{\"type\":\"STAT\",\"ref\":\"catch-up\"}", lines.readLine());
    }

    private <T> T onLoop(Callable<T> call) throws Exception {
        return group.next().submit(call).get(HUNG_S, TimeUnit.SECONDS);
    }

    private Progress run(String id) throws Exception {
        return onLoop(() -> link.run(id, "read", Unpooled.wrappedBuffer(new byte[] {0, -1, 'b'})));
    }

    @Test
    void sendsNoCommandBeforeHello() throws Exception {
        assertEquals("{\"type\":\"ATTACH\",\"n\":0}", lines.readLine());
        assertEquals(Progress.NOT_SENT, run("0a"));
        assertEquals(false, onLoop(() -> link.requestGauges("1")));
        hello();
        assertEquals(Progress.SENT, run("0b"));
        assertEquals(
                "{\"type\":\"RUN\",\"job\":\"0b\",\"kind\":\"read\",\"data\":\"AP9i\"}",
                lines.readLine());
        assertTrue(onLoop(() -> link.requestGauges("7")));
        assertEquals("{\"type\":\"STAT\",\"ref\":\"7\"}", lines.readLine());
        send("{\"type\":\"STATS\",\"ref\":\"7\",\"gauges\":[0.5,3,0.1,9,77]}\n");
        expect("7 0.5 3.0 9.0");
    }

    @Test
    void reconnectsAfterTheLastEventAndCountsEachOnce() throws Exception {
        lines.readLine();
        hello();
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
        accept();
        assertEquals("{\"type\":\"ATTACH\",\"n\":3}", lines.readLine());
        hello();
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
        lines.readLine();
        hello();
        send(
                "{\"type\":\"DONE\",\"n\":1,\"job\":\"0a\",\"state\":\"done\",\"took\":3,\"data\":\"cmVz\"}\n");
        expect("0a DONE 3.0 res");
        try (Socket old = socket;
                ServerSocket next = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            ServerSocket before = server;
            server = next;
            server.setSoTimeout((int) TimeUnit.SECONDS.toMillis(HUNG_S));
            onLoop(
                    () -> {
                        link.switchEndpoint((InetSocketAddress) next.getLocalSocketAddress());
                        link.switchEndpoint((InetSocketAddress) next.getLocalSocketAddress());
                        return null;
                    });
            assertEquals(Progress.NOT_SENT, run("0b"), "nothing new goes to the old address");
            before.close();
            accept();
            assertEquals("{\"type\":\"ATTACH\",\"n\":1}", lines.readLine());
            old.getOutputStream()
                    .write(
                            "{\"type\":\"DONE\",\"n\":2,\"job\":\"0c\",\"state\":\"crashed\",\"took\":4}\n"
                                    .getBytes(StandardCharsets.US_ASCII));
            expect("0c CRASHED 4.0 ");
            hello();
            assertEquals(Progress.SENT, run("0d"));
            assertTrue(lines.readLine().contains("\"0d\""));
            assertNull(
                    new BufferedReader(
                                    new InputStreamReader(
                                            old.getInputStream(), StandardCharsets.US_ASCII))
                            .readLine(),
                    "the old link ends, with nothing more written to it");
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
        lines.readLine();
        hello();
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
        EngineLink cut = new EngineLink(null, null, GAUGES, "n3", 1);
        List<String> ended = new ArrayList<>();
        cut.setListener(
                new Recorder() {
                    @Override
                    public void onRunEnded(
                            String id, Engine.RunOutcome end, double took, ByteBuf result) {
                        ended.add(
                                id
                                        + " "
                                        + end
                                        + " "
                                        + result.toString(StandardCharsets.ISO_8859_1));
                    }
                });
        EmbeddedChannel channel = new EmbeddedChannel(cut.handlers());
        for (int n = 1; n <= 20; n++) {
            Cuts.feed(
                    channel,
                    Cuts.join(
                            garbage,
                            ("\n{\"type\":\"DONE\",\"n\":"
                                            + n
                                            + ",\"job\":\""
                                            + n
                                            + "\",\"state\":\"done\",\"took\":1,\"data\":\"cmVz\"}\n")
                                    .getBytes(StandardCharsets.US_ASCII)),
                    seed + n);
        }
        assertEquals(IntStream.rangeClosed(1, 20).mapToObj(n -> n + " DONE res").toList(), ended);
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
        int cut = random.nextInt(line.length);
        assertNull(EngineEvent.read(Unpooled.wrappedBuffer(line, 0, cut), GAUGES));
        line[cut] = (byte) random.nextInt(256);
        EngineEvent.read(Unpooled.wrappedBuffer(line), GAUGES);
    }
}
