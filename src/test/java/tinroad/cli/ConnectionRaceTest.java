package tinroad.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * The program as a process of its own, between an engine, a roster and callers on real sockets, at
 * the moments in which something ends. SIGSTOP is the barrier: while the process stands still, the
 * system takes in connections, bytes and signals.
 */
@Timeout(value = 150, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class ConnectionRaceTest extends ConnectionRaceHarness {
    /**
     * What comes on a resting connection, on a new one, and in halves, while the notice to leave is
     * already there.
     */
    @Test
    void whatArrivesInTheInstantOfTheNoticeIsAnsweredAndTheProcessEnds() throws Exception {
        InetSocketAddress at = start(1024, 2000);
        Socket resting = connect(at, "127.0.0.1");
        Socket half = connect(at, "127.0.0.1");
        assertEquals("Status: 200 OK", ask(resting, 1));
        byte[] request = request(2, "new-order");
        half.getOutputStream().write(request, 0, 40);
        standsStill();
        resting.getOutputStream().write(request(3, "new-order"));
        half.getOutputStream().write(request, 40, request.length - 40);
        Socket late = connect(at, "127.0.0.1");
        late.getOutputStream().write(request(4, "new-order"));
        signal("TERM");
        signal("CONT");
        for (Socket caller : List.of(resting, half, late)) {
            isAnswered(answer(caller));
        }
        for (Socket caller : List.of(resting, half, late)) {
            assertEquals(-1, caller.getInputStream().read(), "one answer, then the end");
        }
        assertTrue(gateway.waitFor(HUNG_MS, TimeUnit.MILLISECONDS));
        logged("drained");
        assertEquals(runs.size(), runs.stream().distinct().count(), "nothing runs twice");
    }

    /**
     * A process that was killed and starts again: nobody hears that it takes work before it does.
     */
    @Test
    void aProcessThatIsStartedAgainIsOnTheListOnlyOnceItServes() throws Exception {
        DatagramPacket report = new DatagramPacket(new byte[64], 64);
        for (int life = 0; life < 2; life++) {
            hellos.drainPermits();
            InetSocketAddress at = listens(1024, 1000);
            assertEquals(
                    "Status: 503 Service Unavailable",
                    ask(connect(at, "127.0.0.1"), 1),
                    "its engine is not up");
            assertThrows(
                    SocketTimeoutException.class,
                    () -> hears(report, 1),
                    "and nobody is told to come");
            hellos.release(100);
            hears(report, HUNG_MS);
            assertEquals(
                    "HERE n3 on",
                    new String(report.getData(), 0, report.getLength(), StandardCharsets.US_ASCII));
            assertEquals("Status: 200 OK", ask(connect(at, "127.0.0.1"), 2));
            gateway.destroyForcibly().waitFor();
            // What the dead process sent is heard out.
            while (true) {
                try {
                    hears(report, 1);
                } catch (SocketTimeoutException e) {
                    break;
                }
            }
        }
    }

    private void hears(DatagramPacket report, int within) throws IOException {
        roster.setSoTimeout(within);
        roster.receive(report);
    }

    /**
     * The grace is counted from the notice, which this process may hear late: its last tenth is not
     * used.
     */
    @Test
    void nothingRunsThatCameSoLateInTheGraceThatANoticeHeardLateWouldBreakIt() throws Exception {
        double grace = 2500;
        InetSocketAddress at = start(1024, 8000);
        Socket known = connect(at, "127.0.0.1");
        assertEquals("Status: 200 OK", ask(known, 1));
        long noticed = System.nanoTime();
        signal("TERM");
        logged("draining");
        int n = 2;
        assertEquals("Status: 200 OK", ask(known, n++), "in the grace it serves on");
        // Callers go on asking; how long a stretch this takes here only makes what comes after it
        // later.
        while (System.nanoTime() - noticed < 0.92 * grace * 1e6) {
            isAnswered(ask(known, n++));
        }
        runs.clear();
        assertEquals("Status: 503 Service Unavailable", ask(known, n));
        assertTrue(runs.isEmpty());
    }

    /**
     * Idle callers from many addresses hold all descriptors, with the roster gone and the engine's
     * link lost in the middle of it.
     */
    @Test
    void whileIdleCallersHoldAllDescriptorsWhatWasReadIsAnsweredAndLinksAndKnownCallersHaveTheirs()
            throws Exception {
        int sockets = 200;
        InetSocketAddress at =
                start(sockets, 1000, "sh", "-c", "ulimit -n " + sockets + "; exec \"$@\"", "sh");
        int rosterPort = roster.getLocalPort();
        roster.close();
        Socket known = connect(at, "127.0.0.1");
        assertEquals("Status: 200 OK", ask(known, 1));
        runsEnd = false;
        Socket owed = connect(at, "127.0.0.1");
        owed.getOutputStream().write(request(2, "new-order"));
        assertEquals(String.format("%016x", 1), runs.poll(HUNG_MS, TimeUnit.MILLISECONDS));
        assertEquals(String.format("%016x", 2), runs.poll(HUNG_MS, TimeUnit.MILLISECONDS));
        for (int i = 0; i < 2 * sockets; i++) {
            connect(at, "127.0.0." + (2 + i % 50));
        }
        logged("connection table full");
        // The engine's link needs a new descriptor, and gets one.
        link.close();
        logged("engine attached again");
        runsEnd = true;
        done(String.format("%016x", 2));
        assertEquals("Status: 200 OK", answer(owed));
        for (int i = 0; i < 3; i++) {
            assertEquals("Status: 200 OK", ask(known, 3 + i));
            assertEquals(
                    "Status: 200 OK",
                    ask(connect(at, "127.0.0.1"), 10 + i),
                    "a new connection of a known caller");
        }
        // Discovery is back, and hears at once.
        roster = new DatagramSocket(rosterPort, InetAddress.getLoopbackAddress());
        roster.setSoTimeout(HUNG_MS);
        DatagramPacket report = new DatagramPacket(new byte[64], 64);
        roster.receive(report);
        assertEquals(
                "HERE n3 on",
                new String(report.getData(), 0, report.getLength(), StandardCharsets.US_ASCII));
        // The idle ones go by themselves, and accepting goes on.
        assertEquals("Status: 200 OK", ask(connect(at, "127.0.0.77"), 20));
        signal("TERM");
        assertTrue(gateway.waitFor(HUNG_MS, TimeUnit.MILLISECONDS));
    }

    /** One byte at a time, each way: served like any other, and nobody waits for it. */
    @Test
    void aCallerThatWritesAndReadsOneByteAtATimeIsServedBesideOthers() throws Exception {
        InetSocketAddress at = start(300, 1000);
        Socket known = connect(at, "127.0.0.1");
        Socket slow = connect(at, "127.0.0.2");
        slow.setTcpNoDelay(true);
        slow.setReceiveBufferSize(1);
        byte[] request = request(1, "order-status");
        for (int i = 0; i < request.length; i++) {
            slow.getOutputStream().write(request, i, 1);
            if (i % 50 == 0) {
                assertEquals("Status: 200 OK", ask(known, 100 + i));
            }
        }
        ByteArrayOutputStream read = new ByteArrayOutputStream();
        // Until END_REQUEST, the one record of type 3, is whole: eight bytes of head and eight of
        // body.
        while (!endsRequest(read.toByteArray())) {
            read.write(slow.getInputStream().readNBytes(1));
        }
        assertTrue(read.toString(StandardCharsets.ISO_8859_1).contains("Status: 200 OK"));
        assertEquals("Status: 200 OK", ask(known, 2));
    }

    private static boolean endsRequest(byte[] read) {
        int end = read.length - 16;
        return end >= 0 && read[end] == 1 && read[end + 1] == 3;
    }

    /**
     * A flood of half requests, one byte at a time, and of garbage: nobody else waits, and each
     * gets an end.
     */
    @Test
    void floodsOfHalfRequestsAndOfGarbageCostNobodyElseAnything() throws Exception {
        InetSocketAddress at = start(300, 1000);
        Socket known = connect(at, "127.0.0.1");
        assertEquals("Status: 200 OK", ask(known, 1));
        byte[] request = request(2, "new-order");
        List<Socket> bad = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            Socket caller = connect(at, "127.0.0." + (2 + i));
            caller.getOutputStream()
                    .write(
                            i % 2 == 0 ? request : new byte[4096],
                            0,
                            i % 2 == 0 ? request.length - 1 - i : 4096);
            bad.add(caller);
            if (i % 10 == 0) {
                assertEquals("Status: 200 OK", ask(known, 100 + i));
            }
        }
        for (Socket caller : bad) {
            try {
                InputStream in = caller.getInputStream();
                byte[] all = in.readAllBytes();
                assertTrue(!new String(all, StandardCharsets.ISO_8859_1).contains("200 OK"));
            } catch (SocketTimeoutException e) {
                throw new AssertionError("no end for a bad caller", e);
            } catch (IOException e) {
                // Reset: an end, too, for what no client proxy sends.
            }
        }
        assertEquals("Status: 200 OK", ask(known, 200));
        assertTrue(
                runs.stream().noneMatch(String.format("%016x", 2)::equals),
                "half a request never runs");
    }
}
