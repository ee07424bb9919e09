package tinroad.lab.relay;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.ConnectException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import tinroad.lab.script.Script.Fault;
import tinroad.lab.script.ScriptReader;

/** The relays between two processes, and each fault that they inject. */
@Timeout(60)
class RelayTest {
    private static final int READ_TIMEOUT_MS = 30_000;

    /** Time during which nothing may arrive; later data is still found by the next read. */
    private static final int SILENCE_MS = 100;

    private final EventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final LinkFaults faults = new LinkFaults();
    private ServerSocket target;
    private StreamRelay relay;
    private InetSocketAddress relayAddress;
    private Socket near;
    private Socket far;
    @TempDir private Path dir;

    private Fault fault(String text) throws Exception {
        return ScriptReader.read(
                        Files.writeString(
                                dir.resolve("s.conf"), "faults = [ { at = 1s, " + text + " } ]"))
                .faults()
                .get(0);
    }

    @BeforeEach
    void connect() throws Exception {
        target = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
        target.setSoTimeout(READ_TIMEOUT_MS);
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            relayAddress = (InetSocketAddress) free.getLocalSocketAddress();
        }
        relay =
                new StreamRelay(
                                group,
                                relayAddress,
                                (InetSocketAddress) target.getLocalSocketAddress(),
                                from -> faults,
                                false,
                                () -> {},
                                from -> {})
                        .listen();
        near = openConnection();
        far = target.accept();
        far.setSoTimeout(READ_TIMEOUT_MS);
    }

    private Socket openConnection() throws IOException {
        Socket socket = new Socket(relayAddress.getAddress(), relayAddress.getPort());
        socket.setSoTimeout(READ_TIMEOUT_MS);
        return socket;
    }

    @AfterEach
    void end() throws Exception {
        near.close();
        far.close();
        target.close();
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }

    private static void write(Socket to, String text) throws IOException {
        to.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    private static String read(Socket from, int bytes) throws IOException {
        return new String(from.getInputStream().readNBytes(bytes), StandardCharsets.US_ASCII);
    }

    private static void assertNothingArrives(Socket at) throws IOException {
        at.setSoTimeout(SILENCE_MS);
        assertThrows(SocketTimeoutException.class, () -> at.getInputStream().read());
        at.setSoTimeout(READ_TIMEOUT_MS);
    }

    @Test
    void aCutStopsDataAndEndOfStreamUntilItEnds() throws Exception {
        Fault cut = fault("do = cut, links = [engine]");
        write(near, "before");
        assertEquals("before", read(far, 6));
        faults.begin(cut);
        write(near, "held");
        write(far, "answer");
        near.shutdownOutput();
        assertNothingArrives(far);
        assertNothingArrives(near);
        faults.end(cut);
        assertEquals("held", read(far, 5));
        assertEquals("answer", read(near, 6));
    }

    @Test
    void aCutInOneDirectionLeavesTheOtherWorking() throws Exception {
        Fault cut = fault("do = cut, way = out, links = [engine]");
        faults.begin(cut);
        write(near, "in");
        assertEquals("in", read(far, 2));
        write(far, "out");
        far.close();
        assertNothingArrives(near);
        faults.end(cut);
        assertEquals("out", read(near, 4));
    }

    @Test
    void aNewConnectionWaitsForTheEndOfACut() throws Exception {
        Fault cut = fault("do = cut, links = [engine]");
        faults.begin(cut);
        try (Socket second = openConnection()) {
            write(second, "hello");
            target.setSoTimeout(SILENCE_MS);
            assertThrows(SocketTimeoutException.class, () -> target.accept());
            target.setSoTimeout(READ_TIMEOUT_MS);
            faults.end(cut);
            try (Socket other = target.accept()) {
                assertEquals("hello", read(other, 5));
            }
        }
    }

    @Test
    void halfOfAMessageIsForwardedAndTheRestAfterTheFaultEnds() throws Exception {
        Fault half = fault("do = half, way = in, links = [engine]");
        faults.begin(half);
        write(near, "12345678");
        assertEquals("1234", read(far, 4));
        write(near, "9");
        assertNothingArrives(far);
        write(far, "x");
        assertEquals("x", read(near, 1));
        faults.end(half);
        assertEquals("56789", read(far, 5));
    }

    @Test
    void aResetReachesBothEndsAndNewConnectionsUntilItEnds() throws Exception {
        Fault reset = fault("do = reset, links = [engine]");
        faults.begin(reset);
        assertThrows(SocketException.class, () -> near.getInputStream().read());
        assertThrows(SocketException.class, () -> far.getInputStream().read());
        assertThrows(
                SocketException.class,
                () -> {
                    try (Socket second = openConnection()) {
                        second.getInputStream().read();
                    }
                });
        faults.end(reset);
        try (Socket third = openConnection();
                Socket other = target.accept()) {
            write(third, "ok");
            assertEquals("ok", read(other, 2));
        }
    }

    @Test
    void aResetOfOneEndResetsTheOther() throws Exception {
        write(near, "x");
        assertEquals("x", read(far, 1));
        far.setSoLinger(true, 0);
        far.close();
        assertThrows(SocketException.class, () -> near.getInputStream().read());
    }

    @Test
    void aMutedLinkAcceptsDataAndDiscardsIt() throws Exception {
        Fault mute = fault("do = mute, links = [engine]");
        faults.begin(mute);
        try (Socket second = openConnection()) {
            write(second, "x".repeat(100_000));
            write(near, "lost");
            assertNothingArrives(far);
            assertNothingArrives(second);
        }
        faults.end(mute);
        write(near, "heard");
        assertEquals("heard", read(far, 5));
    }

    @Test
    void refusesNewConnectionsUntilAllowedAgain() throws Exception {
        relay.refuse(true);
        assertThrows(ConnectException.class, this::openConnection);
        write(near, "there");
        assertEquals("there", read(far, 5));
        relay.refuse(false);
        openConnection().close();
    }

    @Test
    void jitterAndThrottleKeepTheOrderAndEveryByte() throws Exception {
        faults.begin(fault("do = delay, delay = 1ms, jitter = 5ms, links = [engine]"));
        faults.begin(fault("do = throttle, rate = 400000, links = [engine]"));
        byte[] bytes = new byte[50_000];
        new Random(1).nextBytes(bytes);
        for (int at = 0; at < bytes.length; at += 1000) {
            near.getOutputStream().write(bytes, at, 1000);
        }
        near.shutdownOutput();
        assertArrayEquals(bytes, far.getInputStream().readAllBytes());
    }

    @Test
    void datagramsAreLostRepeatedAndReordered() throws Exception {
        try (DatagramSocket receiver = new DatagramSocket(0, InetAddress.getLoopbackAddress());
                DatagramSocket sender = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            InetSocketAddress at = freeAddress();
            receiver.setSoTimeout(READ_TIMEOUT_MS);
            DatagramRelay.open(
                    group, at, (InetSocketAddress) receiver.getLocalSocketAddress(), faults, 1);
            Fault lose = fault("do = lose, chance = 1, links = [roster]");
            Fault repeat = fault("do = repeat, chance = 1, links = [roster]");
            Fault reorder = fault("do = reorder, chance = 1, links = [roster]");
            faults.begin(repeat);
            send(sender, at, "a");
            assertEquals("aa", receive(receiver) + receive(receiver));
            faults.end(repeat);
            faults.begin(reorder);
            send(sender, at, "b");
            send(sender, at, "c");
            assertEquals("cb", receive(receiver) + receive(receiver));
            faults.end(reorder);
            faults.begin(lose);
            send(sender, at, "d");
            // The relay has to read the datagram before the fault ends; it reads them one after the
            // other.
            Thread.sleep(SILENCE_MS);
            faults.end(lose);
            send(sender, at, "e");
            assertEquals("e", receive(receiver));
        }
    }

    private static InetSocketAddress freeAddress() throws IOException {
        try (DatagramSocket free = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            return (InetSocketAddress) free.getLocalSocketAddress();
        }
    }

    private static void send(DatagramSocket sender, InetSocketAddress to, String text)
            throws IOException {
        sender.send(
                new DatagramPacket(text.getBytes(StandardCharsets.US_ASCII), text.length(), to));
    }

    private static String receive(DatagramSocket at) throws IOException {
        DatagramPacket packet = new DatagramPacket(new byte[64], 64);
        at.receive(packet);
        return new String(packet.getData(), 0, packet.getLength(), StandardCharsets.US_ASCII);
    }

    @Test
    void faultsOfOneLinkAddUp() throws Exception {
        Fault slow = fault("do = delay, delay = 20ms, jitter = 10ms, way = in, links = [engine]");
        faults.begin(slow);
        faults.begin(fault("do = delay, delay = 5ms, jitter = 0ms, links = [engine]"));
        assertEquals(30, faults.delay(tinroad.lab.script.Script.LinkDirection.IN, 0.5));
        assertEquals(5, faults.delay(tinroad.lab.script.Script.LinkDirection.OUT, 0.5));
        faults.begin(fault("do = throttle, rate = 3000, links = [engine]"));
        faults.begin(fault("do = throttle, rate = 2000, links = [engine]"));
        assertEquals(2, faults.rate(tinroad.lab.script.Script.LinkDirection.IN));
        faults.end(slow);
        assertEquals(5, faults.delay(tinroad.lab.script.Script.LinkDirection.IN, 0.5));
        assertTrue(!faults.isCut(tinroad.lab.script.Script.LinkDirection.IN));
    }
}
