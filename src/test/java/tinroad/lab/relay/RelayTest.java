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

/** What stands between two processes, and each way in which it fails. */
@Timeout(60)
class RelayTest {
    private static final int HUNG_MS = 30_000;

    /**
     * So long nothing must come, in ms; what comes later than that is found by the next read all
     * the same.
     */
    private static final int QUIET_MS = 100;

    private final EventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final LinkFaults link = new LinkFaults();
    private ServerSocket target;
    private StreamRelay relay;
    private InetSocketAddress door;
    private Socket near;
    private Socket far;
    @TempDir private Path dir;

    private Fault trouble(String text) throws Exception {
        return ScriptReader.read(
                        Files.writeString(
                                dir.resolve("s.conf"), "faults = [ { at = 1s, " + text + " } ]"))
                .faults()
                .get(0);
    }

    @BeforeEach
    void connect() throws Exception {
        target = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
        target.setSoTimeout(HUNG_MS);
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            door = (InetSocketAddress) free.getLocalSocketAddress();
        }
        relay =
                new StreamRelay(
                                group,
                                door,
                                (InetSocketAddress) target.getLocalSocketAddress(),
                                from -> link,
                                false,
                                () -> {},
                                from -> {})
                        .listen();
        near = dial();
        far = target.accept();
        far.setSoTimeout(HUNG_MS);
    }

    private Socket dial() throws IOException {
        Socket socket = new Socket(door.getAddress(), door.getPort());
        socket.setSoTimeout(HUNG_MS);
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

    private static void quiet(Socket at) throws IOException {
        at.setSoTimeout(QUIET_MS);
        assertThrows(SocketTimeoutException.class, () -> at.getInputStream().read());
        at.setSoTimeout(HUNG_MS);
    }

    @Test
    void aCutHoldsWhatComesAndTheEndOfItAndBringsAllOnceHealed() throws Exception {
        Fault cut = trouble("do = cut, links = [engine]");
        write(near, "before");
        assertEquals("before", read(far, 6));
        link.begin(cut);
        write(near, "held");
        write(far, "answer");
        near.shutdownOutput();
        quiet(far);
        quiet(near);
        link.end(cut);
        assertEquals("held", read(far, 5));
        assertEquals("answer", read(near, 6));
    }

    @Test
    void aCutOfOneWayLeavesTheOther() throws Exception {
        Fault cut = trouble("do = cut, way = out, links = [engine]");
        link.begin(cut);
        write(near, "in");
        assertEquals("in", read(far, 2));
        write(far, "out");
        far.close();
        quiet(near);
        link.end(cut);
        assertEquals("out", read(near, 4));
    }

    @Test
    void aNewConnectionWaitsForTheEndOfACut() throws Exception {
        Fault cut = trouble("do = cut, links = [engine]");
        link.begin(cut);
        try (Socket second = dial()) {
            write(second, "hello");
            target.setSoTimeout(QUIET_MS);
            assertThrows(SocketTimeoutException.class, () -> target.accept());
            target.setSoTimeout(HUNG_MS);
            link.end(cut);
            try (Socket other = target.accept()) {
                assertEquals("hello", read(other, 5));
            }
        }
    }

    @Test
    void halfOfAMessageGoesOnAndTheRestOnceHealed() throws Exception {
        Fault half = trouble("do = half, way = in, links = [engine]");
        link.begin(half);
        write(near, "12345678");
        assertEquals("1234", read(far, 4));
        write(near, "9");
        quiet(far);
        write(far, "x");
        assertEquals("x", read(near, 1));
        link.end(half);
        assertEquals("56789", read(far, 5));
    }

    @Test
    void aResetIsSeenAtBothEndsAndByWhoeverComesUntilItEnds() throws Exception {
        Fault reset = trouble("do = reset, links = [engine]");
        link.begin(reset);
        assertThrows(SocketException.class, () -> near.getInputStream().read());
        assertThrows(SocketException.class, () -> far.getInputStream().read());
        assertThrows(
                SocketException.class,
                () -> {
                    try (Socket second = dial()) {
                        second.getInputStream().read();
                    }
                });
        link.end(reset);
        try (Socket third = dial();
                Socket other = target.accept()) {
            write(third, "ok");
            assertEquals("ok", read(other, 2));
        }
    }

    @Test
    void aResetOfOneEndIsOneOfTheOther() throws Exception {
        write(near, "x");
        assertEquals("x", read(far, 1));
        far.setSoLinger(true, 0);
        far.close();
        assertThrows(SocketException.class, () -> near.getInputStream().read());
    }

    @Test
    void aMuteLinkTakesAllAndSaysNothing() throws Exception {
        Fault mute = trouble("do = mute, links = [engine]");
        link.begin(mute);
        try (Socket second = dial()) {
            write(second, "x".repeat(100_000));
            write(near, "lost");
            quiet(far);
            quiet(second);
        }
        link.end(mute);
        write(near, "heard");
        assertEquals("heard", read(far, 5));
    }

    @Test
    void refusedIsRefusedUntilItIsNot() throws Exception {
        relay.refuse(true);
        assertThrows(ConnectException.class, this::dial);
        write(near, "there");
        assertEquals("there", read(far, 5));
        relay.refuse(false);
        dial().close();
    }

    @Test
    void jitterAndThrottleKeepTheOrderAndEveryByte() throws Exception {
        link.begin(trouble("do = delay, delay = 1ms, jitter = 5ms, links = [engine]"));
        link.begin(trouble("do = throttle, rate = 400000, links = [engine]"));
        byte[] bytes = new byte[50_000];
        new Random(1).nextBytes(bytes);
        for (int at = 0; at < bytes.length; at += 1000) {
            near.getOutputStream().write(bytes, at, 1000);
        }
        near.shutdownOutput();
        assertArrayEquals(bytes, far.getInputStream().readAllBytes());
    }

    @Test
    void datagramsAreLostRepeatedAndSwapped() throws Exception {
        try (DatagramSocket heard = new DatagramSocket(0, InetAddress.getLoopbackAddress());
                DatagramSocket says = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            InetSocketAddress at = freeAddress();
            heard.setSoTimeout(HUNG_MS);
            DatagramRelay.open(
                    group, at, (InetSocketAddress) heard.getLocalSocketAddress(), link, 1);
            Fault lose = trouble("do = lose, chance = 1, links = [roster]");
            Fault repeat = trouble("do = repeat, chance = 1, links = [roster]");
            Fault reorder = trouble("do = reorder, chance = 1, links = [roster]");
            link.begin(repeat);
            say(says, at, "a");
            assertEquals("aa", hear(heard) + hear(heard));
            link.end(repeat);
            link.begin(reorder);
            say(says, at, "b");
            say(says, at, "c");
            assertEquals("cb", hear(heard) + hear(heard));
            link.end(reorder);
            link.begin(lose);
            say(says, at, "d");
            // In the relay's hands before the fault ends: it reads one datagram after the other.
            Thread.sleep(QUIET_MS);
            link.end(lose);
            say(says, at, "e");
            assertEquals("e", hear(heard));
        }
    }

    private static InetSocketAddress freeAddress() throws IOException {
        try (DatagramSocket free = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            return (InetSocketAddress) free.getLocalSocketAddress();
        }
    }

    private static void say(DatagramSocket by, InetSocketAddress to, String text)
            throws IOException {
        by.send(new DatagramPacket(text.getBytes(StandardCharsets.US_ASCII), text.length(), to));
    }

    private static String hear(DatagramSocket at) throws IOException {
        DatagramPacket packet = new DatagramPacket(new byte[64], 64);
        at.receive(packet);
        return new String(packet.getData(), 0, packet.getLength(), StandardCharsets.US_ASCII);
    }

    @Test
    void faultsOfOneLinkAddUp() throws Exception {
        Fault slow = trouble("do = delay, delay = 20ms, jitter = 10ms, way = in, links = [engine]");
        link.begin(slow);
        link.begin(trouble("do = delay, delay = 5ms, jitter = 0ms, links = [engine]"));
        assertEquals(30, link.delay(tinroad.lab.script.Script.LinkDirection.IN, 0.5));
        assertEquals(5, link.delay(tinroad.lab.script.Script.LinkDirection.OUT, 0.5));
        link.begin(trouble("do = throttle, rate = 3000, links = [engine]"));
        link.begin(trouble("do = throttle, rate = 2000, links = [engine]"));
        assertEquals(2, link.rate(tinroad.lab.script.Script.LinkDirection.IN));
        link.end(slow);
        assertEquals(5, link.delay(tinroad.lab.script.Script.LinkDirection.IN, 0.5));
        assertTrue(!link.cut(tinroad.lab.script.Script.LinkDirection.IN));
    }
}
