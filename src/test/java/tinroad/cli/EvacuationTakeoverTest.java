package tinroad.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URL;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Tests that the operators' orders outlive the process that received them: real processes of one
 * gateway take over from each other.
 */
@Timeout(value = 150, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class EvacuationTakeoverTest extends ConnectionRaceHarness {
    private static final int STOP_MILLIS = 5000;

    /** Health checks that reach each of two processes almost surely. */
    private static final int CHECKS = 20;

    private final List<Process> replaced = new ArrayList<>();
    private InetSocketAddress address;
    private int control;

    @AfterEach
    void killReplaced() throws Exception {
        for (Process process : replaced) {
            process.destroyForcibly().waitFor();
        }
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    private void startNext() throws Exception {
        control = freePort();
        String anyListen = "\"listen\": \"127.0.0.1:0\"";
        String listen =
                address == null ? anyListen : anyListen.replace(":0", ":" + address.getPort());
        editConfig =
                text ->
                        text.replace(anyListen, listen)
                                .replace(
                                        "\"control\": \"127.0.0.1:0\"",
                                        "\"control\": \"127.0.0.1:" + control + "\"");
        if (gateway != null) {
            replaced.add(gateway);
        }
        address = startListening(1024, STOP_MILLIS);
        awaitReady();
    }

    private void awaitReady() throws Exception {
        while (call(control, "GET", "/api/ready") != 200) {
            TimeUnit.MILLISECONDS.sleep(10);
        }
    }

    private static int call(int port, String method, String path) throws IOException {
        HttpURLConnection call =
                (HttpURLConnection) new URL("http://127.0.0.1:" + port + path).openConnection();
        call.setRequestMethod(method);
        call.setConnectTimeout(TIMEOUT_MILLIS);
        call.setReadTimeout(TIMEOUT_MILLIS);
        try {
            return call.getResponseCode();
        } finally {
            call.disconnect();
        }
    }

    private String checkHealth() throws IOException {
        ByteArrayOutputStream check = new ByteArrayOutputStream();
        record(check, 1, 1, new byte[] {0, 1, 1, 0, 0, 0, 0, 0});
        record(check, 4, 1, "\13\10SCRIPT_NAME/healthz".getBytes(StandardCharsets.US_ASCII));
        record(check, 4, 1, new byte[0]);
        record(check, 5, 1, new byte[0]);
        try (Socket caller = connect(address, "127.0.0.1")) {
            caller.getOutputStream().write(check.toByteArray());
            return readResponseStatus(caller);
        }
    }

    private void assertAllChecks(String expected) throws IOException {
        for (int i = 0; i < CHECKS; i++) {
            assertEquals("Status: " + expected, checkHealth());
        }
    }

    private void awaitAllChecks(String expected) throws IOException {
        for (int alike = 0; alike < CHECKS; ) {
            alike = checkHealth().equals("Status: " + expected) ? alike + 1 : 0;
        }
    }

    private String nextReport() throws IOException {
        DatagramPacket report = new DatagramPacket(new byte[64], 64);
        registry.receive(report);
        return new String(report.getData(), 0, report.getLength(), StandardCharsets.UTF_8);
    }

    /** Guards against a new version that puts a drained gateway back to work. */
    @Test
    void anEvacuatedGatewayStaysSoOverTwoTakeoversUntilItRejoins() throws Exception {
        startNext();
        awaitAllChecks("200 OK");
        assertEquals(200, call(control, "POST", "/api/evacuate"));
        assertAllChecks("503 Service Unavailable");
        for (int i = 0; i < 2; i++) {
            startNext();
            assertAllChecks("503 Service Unavailable");
            Process old = replaced.get(i);
            signal(old, "TERM");
            assertTrue(old.waitFor(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
            assertAllChecks("503 Service Unavailable");
        }
        registry.setSoTimeout(1);
        drainReports();
        registry.setSoTimeout(TIMEOUT_MILLIS);
        assertEquals("HERE n3 off", nextReport());
        assertEquals(200, call(control, "POST", "/api/rejoin"));
        awaitAllChecks("200 OK");
    }

    /** Reads the reports that have come so far. */
    private void drainReports() throws IOException {
        try {
            while (true) {
                nextReport();
            }
        } catch (java.net.SocketTimeoutException e) {
            // None is left.
        }
    }

    /** Guards against an order at one of two processes that the other does not follow. */
    @Test
    void whileTwoProcessesServeAnOrderAtEitherCountsForBoth() throws Exception {
        startNext();
        int oldControl = control;
        startNext();
        assertEquals(200, call(oldControl, "POST", "/api/evacuate"));
        awaitAllChecks("503 Service Unavailable");
        assertEquals(200, call(control, "POST", "/api/rejoin"));
        awaitAllChecks("200 OK");
        assertEquals(200, call(control, "POST", "/api/evacuate"));
        awaitAllChecks("503 Service Unavailable");
        assertEquals(200, call(oldControl, "POST", "/api/rejoin"));
        awaitAllChecks("200 OK");
        // The old process is gone before anybody told it to end, and the new one keeps the order.
        assertEquals(200, call(oldControl, "POST", "/api/evacuate"));
        replaced.get(0).destroyForcibly().waitFor();
        awaitAllChecks("503 Service Unavailable");
        assertEquals(200, call(control, "POST", "/api/rejoin"));
        awaitAllChecks("200 OK");
    }
}
