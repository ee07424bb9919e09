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
 * Tests races at the end of connections and processes, with the program as a separate process.
 * SIGSTOP serves as a barrier: while the process is stopped, the system queues connections, bytes
 * and signals for it.
 */
@Timeout(value = 150, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class ConnectionRaceTest extends ConnectionRaceHarness {
    /**
     * Requests arrive on an idle connection, on a new connection and in two parts, while SIGTERM is
     * already pending.
     */
    @Test
    void whatArrivesInTheInstantOfTheNoticeIsAnsweredAndTheProcessEnds() throws Exception {
        InetSocketAddress address = start(1024, 2000);
        Socket idle = connect(address, "127.0.0.1");
        Socket partial = connect(address, "127.0.0.1");
        assertEquals("Status: 200 OK", exchange(idle, 1));
        byte[] request = request(2, "new-order");
        partial.getOutputStream().write(request, 0, 40);
        stopProcess();
        idle.getOutputStream().write(request(3, "new-order"));
        partial.getOutputStream().write(request, 40, request.length - 40);
        Socket fresh = connect(address, "127.0.0.1");
        fresh.getOutputStream().write(request(4, "new-order"));
        signal("TERM");
        signal("CONT");
        for (Socket caller : List.of(idle, partial, fresh)) {
            assertAnswered(readResponseStatus(caller));
        }
        for (Socket caller : List.of(idle, partial, fresh)) {
            assertEquals(
                    -1,
                    caller.getInputStream().read(),
                    "one response, then the end of the connection");
        }
        assertTrue(gateway.waitFor(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
        awaitLog("drained");
        assertEquals(
                receivedJobs.size(),
                receivedJobs.stream().distinct().count(),
                "nothing runs twice");
    }

    /**
     * A process that was killed and starts again must not be reported to the service registry
     * before it can serve requests.
     */
    @Test
    void aRestartedProcessIsReportedToTheRegistryOnlyOnceItServes() throws Exception {
        DatagramPacket report = new DatagramPacket(new byte[64], 64);
        for (int incarnation = 0; incarnation < 2; incarnation++) {
            helloPermits.drainPermits();
            InetSocketAddress address = startListening(1024, 1000);
            assertEquals(
                    "Status: 503 Service Unavailable",
                    exchange(connect(address, "127.0.0.1"), 1),
                    "its engine is not attached");
            assertThrows(
                    SocketTimeoutException.class,
                    () -> receiveReport(report, 1),
                    "no load report before the engine is attached");
            helloPermits.release(100);
            receiveReport(report, TIMEOUT_MILLIS);
            assertEquals(
                    "HERE n3 on",
                    new String(report.getData(), 0, report.getLength(), StandardCharsets.US_ASCII));
            assertEquals("Status: 200 OK", exchange(connect(address, "127.0.0.1"), 2));
            gateway.destroyForcibly().waitFor();
            // Discards the reports that the killed process sent.
            while (true) {
                try {
                    receiveReport(report, 1);
                } catch (SocketTimeoutException e) {
                    break;
                }
            }
        }
    }

    private void receiveReport(DatagramPacket report, int timeoutMillis) throws IOException {
        registry.setSoTimeout(timeoutMillis);
        registry.receive(report);
    }

    /**
     * The drain grace is counted from the shutdown notice, which this process may receive late, so
     * the last tenth of the grace is not used.
     */
    @Test
    void nothingRunsThatArrivesInTheLastTenthOfTheDrainGrace() throws Exception {
        double graceMillis = 2500;
        InetSocketAddress address = start(1024, 8000);
        Socket known = connect(address, "127.0.0.1");
        assertEquals("Status: 200 OK", exchange(known, 1));
        long noticedNanos = System.nanoTime();
        signal("TERM");
        awaitLog("draining");
        int n = 2;
        assertEquals("Status: 200 OK", exchange(known, n++), "it serves during the grace");
        // Requests continue meanwhile. If this loop takes longer, the request after it only comes
        // later.
        while (System.nanoTime() - noticedNanos < 0.92 * graceMillis * 1e6) {
            assertAnswered(exchange(known, n++));
        }
        receivedJobs.clear();
        assertEquals("Status: 503 Service Unavailable", exchange(known, n));
        assertTrue(receivedJobs.isEmpty());
    }

    /**
     * Idle callers from many addresses use up all descriptors, while the service registry is
     * unreachable and the engine's link is lost. Requests that were read are still answered, and
     * the engine's link and known callers still get descriptors.
     */
    @Test
    void idleCallersThatUseAllDescriptorsDoNotBlockTheEngineLinkOrKnownCallers() throws Exception {
        int sockets = 200;
        InetSocketAddress address =
                start(sockets, 1000, "sh", "-c", "ulimit -n " + sockets + "; exec \"$@\"", "sh");
        int rosterPort = registry.getLocalPort();
        registry.close();
        Socket known = connect(address, "127.0.0.1");
        assertEquals("Status: 200 OK", exchange(known, 1));
        completesRuns = false;
        Socket pending = connect(address, "127.0.0.1");
        pending.getOutputStream().write(request(2, "new-order"));
        assertEquals(
                String.format("%016x", 1),
                receivedJobs.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
        assertEquals(
                String.format("%016x", 2),
                receivedJobs.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
        for (int i = 0; i < 2 * sockets; i++) {
            connect(address, "127.0.0." + (2 + i % 50));
        }
        awaitLog("connection table full");
        // The engine's link needs a new descriptor and has to get one.
        currentLink.close();
        awaitLog("engine attached again");
        completesRuns = true;
        done(String.format("%016x", 2));
        assertEquals("Status: 200 OK", readResponseStatus(pending));
        for (int i = 0; i < 3; i++) {
            assertEquals("Status: 200 OK", exchange(known, 3 + i));
            assertEquals(
                    "Status: 200 OK",
                    exchange(connect(address, "127.0.0.1"), 10 + i),
                    "a new connection of a known caller");
        }
        // The registry is back and receives a report at once.
        registry = new DatagramSocket(rosterPort, InetAddress.getLoopbackAddress());
        registry.setSoTimeout(TIMEOUT_MILLIS);
        DatagramPacket report = new DatagramPacket(new byte[64], 64);
        registry.receive(report);
        assertEquals(
                "HERE n3 on",
                new String(report.getData(), 0, report.getLength(), StandardCharsets.US_ASCII));
        // The idle connections are closed after a while, and new ones are accepted again.
        assertEquals("Status: 200 OK", exchange(connect(address, "127.0.0.77"), 20));
        signal("TERM");
        assertTrue(gateway.waitFor(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
    }

    /** A slow caller is served and does not delay others. */
    @Test
    void aCallerThatWritesAndReadsOneByteAtATimeIsServedBesideOthers() throws Exception {
        InetSocketAddress address = start(300, 1000);
        Socket known = connect(address, "127.0.0.1");
        Socket slow = connect(address, "127.0.0.2");
        slow.setTcpNoDelay(true);
        slow.setReceiveBufferSize(1);
        byte[] request = request(1, "order-status");
        for (int i = 0; i < request.length; i++) {
            slow.getOutputStream().write(request, i, 1);
            if (i % 50 == 0) {
                assertEquals("Status: 200 OK", exchange(known, 100 + i));
            }
        }
        ByteArrayOutputStream read = new ByteArrayOutputStream();
        // Reads until END_REQUEST, the only record of type 3, is complete: eight bytes of header
        // and
        // eight of body.
        while (!endsRequest(read.toByteArray())) {
            read.write(slow.getInputStream().readNBytes(1));
        }
        assertTrue(read.toString(StandardCharsets.ISO_8859_1).contains("Status: 200 OK"));
        assertEquals("Status: 200 OK", exchange(known, 2));
    }

    private static boolean endsRequest(byte[] read) {
        int end = read.length - 16;
        return end >= 0 && read[end] == 1 && read[end + 1] == 3;
    }

    /**
     * Many callers send incomplete requests or garbage. Other callers must not be delayed, and each
     * bad connection must be closed.
     */
    @Test
    void floodsOfIncompleteRequestsAndOfGarbageDoNotAffectOtherCallers() throws Exception {
        InetSocketAddress address = start(300, 1000);
        Socket known = connect(address, "127.0.0.1");
        assertEquals("Status: 200 OK", exchange(known, 1));
        byte[] request = request(2, "new-order");
        List<Socket> bad = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            Socket caller = connect(address, "127.0.0." + (2 + i));
            caller.getOutputStream()
                    .write(
                            i % 2 == 0 ? request : new byte[4096],
                            0,
                            i % 2 == 0 ? request.length - 1 - i : 4096);
            bad.add(caller);
            if (i % 10 == 0) {
                assertEquals("Status: 200 OK", exchange(known, 100 + i));
            }
        }
        for (Socket caller : bad) {
            try {
                InputStream in = caller.getInputStream();
                byte[] all = in.readAllBytes();
                assertTrue(!new String(all, StandardCharsets.ISO_8859_1).contains("200 OK"));
            } catch (SocketTimeoutException e) {
                throw new AssertionError("a bad caller's connection was not closed", e);
            } catch (IOException e) {
                // A reset is acceptable, too, for bytes that no client proxy sends.
            }
        }
        assertEquals("Status: 200 OK", exchange(known, 200));
        assertTrue(
                receivedJobs.stream().noneMatch(String.format("%016x", 2)::equals),
                "an incomplete request never runs");
    }
}
