package tinroad.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import tinroad.Program;

/**
 * The program as a process of its own, between an engine, a roster and callers on real sockets, at the moments in which something
 * ends. SIGSTOP is the barrier: while the process stands still, the system takes in connections, bytes and signals.
 */
@Timeout(value = 150, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class CrossingTest {
    private static final int HUNG_MS = 60_000;
    private static final Pattern JOB = Pattern.compile("\"job\":\"([0-9a-f]{16})\"");
    private static final Pattern REF = Pattern.compile("\"ref\":\"([^\"]*)\"");

    @TempDir
    private Path dir;
    private ServerSocket engine;
    private DatagramSocket roster;
    private Process gateway;
    private final List<Socket> callers = new ArrayList<>();
    private final List<Socket> links = new ArrayList<>();
    /** Runs that the engine was told of, in order. */
    private final BlockingQueue<String> runs = new LinkedBlockingQueue<>();
    private final BlockingQueue<String> log = new LinkedBlockingQueue<>();
    private volatile boolean runsEnd = true;
    /** So many links are still greeted. */
    private final Semaphore hellos = new Semaphore(100);
    private volatile Socket link;
    private int notices;

    @BeforeEach
    void open() throws IOException {
        engine = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        roster = new DatagramSocket(0, InetAddress.getLoopbackAddress());
        roster.setSoTimeout(HUNG_MS);
        thread(() -> {
            while (true) {
                Socket next = engine.accept();
                synchronized (links) {
                    links.add(next);
                }
                thread(() -> serve(next));
            }
        });
    }

    @AfterEach
    void close() throws Exception {
        if (gateway != null) {
            gateway.destroyForcibly().waitFor();
        }
        engine.close();
        roster.close();
        for (Socket socket : callers) {
            socket.close();
        }
        synchronized (links) {
            for (Socket socket : links) {
                socket.close();
            }
        }
    }

    private interface Work {
        void run() throws Exception;
    }

    /** Runs until it fails, as all do once their sockets are closed. */
    private static void thread(Work work) {
        Thread thread = new Thread(() -> {
            try {
                work.run();
            } catch (Exception e) {
                // The end of the test, or of the process.
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    private synchronized void tell(Socket to, String line) throws IOException {
        to.getOutputStream().write((line + "\n").getBytes(StandardCharsets.US_ASCII));
    }

    private void serve(Socket on) throws IOException {
        BufferedReader lines = new BufferedReader(new InputStreamReader(on.getInputStream(), StandardCharsets.US_ASCII));
        for (String line = lines.readLine(); line != null; line = lines.readLine()) {
            if (line.contains("\"ATTACH\"")) {
                link = on;
                hellos.acquireUninterruptibly();
                tell(on, "{\"type\":\"HELLO\",\"state\":\"seasoned\",\"took\":900000}");
            } else if (line.contains("\"STAT\"")) {
                Matcher ref = REF.matcher(line);
                assertTrue(ref.find());
                tell(on, "{\"type\":\"STATS\",\"ref\":\"" + ref.group(1) + "\",\"gauges\":[0.1,1,0.1,1]}");
            } else if (line.contains("\"RUN\"")) {
                Matcher job = JOB.matcher(line);
                assertTrue(job.find());
                runs.add(job.group(1));
                if (runsEnd) {
                    done(job.group(1));
                }
            }
        }
    }

    private synchronized void done(String job) throws IOException {
        tell(link, "{\"type\":\"DONE\",\"n\":" + ++notices + ",\"job\":\"" + job
                + "\",\"state\":\"done\",\"took\":3,\"data\":\"b2s=\"}");
    }

    /** Starts the program, perhaps by another, and returns where it listens once its health is good. */
    private InetSocketAddress start(int sockets, int stopMs, String... by) throws Exception {
        InetSocketAddress at = listens(sockets, stopMs, by);
        logged("health good");
        return at;
    }

    private InetSocketAddress listens(int sockets, int stopMs, String... by) throws Exception {
        Path file = dir.resolve("config.json");
        Files.writeString(file, Files.readString(Path.of("deploy/example.json"))
                .replace(":4400", ":" + engine.getLocalPort()).replace(":8761", ":" + roster.getLocalPort())
                .replace("\"sockets\": 1024", "\"sockets\": " + sockets).replace("\"stop_ms\": 500", "\"stop_ms\": " + stopMs)
                .replace("\"engine\"", "\"control\": \"127.0.0.1:0\", \"engine\""));
        List<String> command = new ArrayList<>(List.of(by));
        command.addAll(List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-cp", Program.CLASS_PATH,
                Main.class.getName(), "serve", "--config", file.toString()));
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
        builder.environment().put("TMPDIR", dir.toString());
        gateway = builder.start();
        BufferedReader lines = gateway.inputReader(StandardCharsets.UTF_8);
        thread(() -> {
            for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                log.add(line);
            }
        });
        String listening = logged("listening on ");
        Matcher port = Pattern.compile("listening on \\S*:(\\d+) as").matcher(listening);
        assertTrue(port.find(), listening);
        return new InetSocketAddress("127.0.0.1", Integer.parseInt(port.group(1)));
    }

    private String logged(String part) throws InterruptedException {
        List<String> before = new ArrayList<>();
        for (String line = log.poll(HUNG_MS, TimeUnit.MILLISECONDS); line != null; line = log.poll(HUNG_MS, TimeUnit.MILLISECONDS)) {
            before.add(line);
            if (line.contains(part)) {
                return line;
            }
        }
        throw new AssertionError("not logged: " + part + " but " + before);
    }

    private void signal(String name) throws Exception {
        assertEquals(0, new ProcessBuilder("kill", "-" + name, Long.toString(gateway.pid())).start().waitFor());
    }

    /** Waits for the process to stand still, as the system tells. */
    private void standsStill() throws Exception {
        signal("STOP");
        Path state = Path.of("/proc", Long.toString(gateway.pid()), "status");
        while (Files.readAllLines(state).stream().noneMatch(line -> line.startsWith("State:\tT"))) {
            Thread.onSpinWait();
        }
    }

    private Socket connect(InetSocketAddress to, String from) throws IOException {
        Socket caller = new Socket();
        caller.bind(new InetSocketAddress(from, 0));
        caller.connect(to, HUNG_MS);
        caller.setSoTimeout(HUNG_MS);
        callers.add(caller);
        return caller;
    }

    private static void record(OutputStream out, int type, int id, byte[] content) throws IOException {
        out.write(new byte[] {1, (byte) type, 0, (byte) id, (byte) (content.length >> 8), (byte) content.length, 0, 0});
        out.write(content);
    }

    private static byte[] request(int n, String kind) throws IOException {
        Map<String, String> fields = new LinkedHashMap<>();
        fields.put("REQUEST_METHOD", "POST");
        fields.put("SCRIPT_NAME", "/v1/" + kind);
        fields.put("HTTP_REQ_ID", String.format("%016x", n));
        fields.put("HTTP_REQ_TIME", Long.toString(System.currentTimeMillis()));
        fields.put("HTTP_REQ_FROM", "4");
        fields.put("HTTP_REQ_OWNER", "acme");
        fields.put("HTTP_REQ_KB", "20.5");
        fields.put("HTTP_REQ_RANK", "0.5");
        ByteArrayOutputStream params = new ByteArrayOutputStream();
        fields.forEach((name, value) -> {
            params.write(name.length());
            params.write(value.length());
            params.writeBytes((name + value).getBytes(StandardCharsets.US_ASCII));
        });
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        record(out, 1, 1, new byte[] {0, 1, 1, 0, 0, 0, 0, 0});
        record(out, 4, 1, params.toByteArray());
        record(out, 4, 1, new byte[0]);
        record(out, 5, 1, "body".getBytes(StandardCharsets.US_ASCII));
        record(out, 5, 1, new byte[0]);
        return out.toByteArray();
    }

    /** The first line of the one answer that comes; fails where the connection ends before it is whole. */
    private static String answer(Socket caller) throws IOException {
        DataInputStream in = new DataInputStream(caller.getInputStream());
        StringBuilder text = new StringBuilder();
        while (true) {
            in.readByte();
            int type = in.readByte();
            in.readShort();
            byte[] content = new byte[in.readUnsignedShort()];
            int padding = in.readByte();
            in.readByte();
            in.readFully(content);
            in.skipBytes(padding);
            if (type == 3) {
                return text.toString().lines().findFirst().orElse("");
            }
            text.append(new String(content, StandardCharsets.ISO_8859_1));
        }
    }

    private String ask(Socket caller, int n) throws IOException {
        caller.getOutputStream().write(request(n, "order-status"));
        return answer(caller);
    }

    private static void isAnswered(String status) {
        assertTrue(status.equals("Status: 200 OK") || status.equals("Status: 503 Service Unavailable"), status);
    }

    /** What comes on a resting connection, on a new one, and in halves, while the notice to leave is already there. */
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

    /** A process that was killed and starts again: nobody hears that it takes work before it does. */
    @Test
    void aProcessThatIsStartedAgainIsOnTheListOnlyOnceItServes() throws Exception {
        DatagramPacket report = new DatagramPacket(new byte[64], 64);
        for (int life = 0; life < 2; life++) {
            hellos.drainPermits();
            InetSocketAddress at = listens(1024, 1000);
            assertEquals("Status: 503 Service Unavailable", ask(connect(at, "127.0.0.1"), 1), "its engine is not up");
            assertThrows(SocketTimeoutException.class, () -> hears(report, 1), "and nobody is told to come");
            hellos.release(100);
            hears(report, HUNG_MS);
            assertEquals("HERE n3 on", new String(report.getData(), 0, report.getLength(), StandardCharsets.US_ASCII));
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

    /** The grace is counted from the notice, which this process may hear late: its last tenth is not used. */
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
        // Callers go on asking; how long a stretch this takes here only makes what comes after it later.
        while (System.nanoTime() - noticed < 0.92 * grace * 1e6) {
            isAnswered(ask(known, n++));
        }
        runs.clear();
        assertEquals("Status: 503 Service Unavailable", ask(known, n));
        assertTrue(runs.isEmpty());
    }

    /** Idle callers from many addresses hold all descriptors, with the roster gone and the engine's link lost in the middle of it. */
    @Test
    void whileIdleCallersHoldAllDescriptorsWhatWasReadIsAnsweredAndLinksAndKnownCallersHaveTheirs() throws Exception {
        int sockets = 200;
        InetSocketAddress at = start(sockets, 1000, "sh", "-c", "ulimit -n " + sockets + "; exec \"$@\"", "sh");
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
            assertEquals("Status: 200 OK", ask(connect(at, "127.0.0.1"), 10 + i), "a new connection of a known caller");
        }
        // Discovery is back, and hears at once.
        roster = new DatagramSocket(rosterPort, InetAddress.getLoopbackAddress());
        roster.setSoTimeout(HUNG_MS);
        DatagramPacket report = new DatagramPacket(new byte[64], 64);
        roster.receive(report);
        assertEquals("HERE n3 on", new String(report.getData(), 0, report.getLength(), StandardCharsets.US_ASCII));
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
        // Until END_REQUEST, the one record of type 3, is whole: eight bytes of head and eight of body.
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

    /** A flood of half requests, one byte at a time, and of garbage: nobody else waits, and each gets an end. */
    @Test
    void floodsOfHalfRequestsAndOfGarbageCostNobodyElseAnything() throws Exception {
        InetSocketAddress at = start(300, 1000);
        Socket known = connect(at, "127.0.0.1");
        assertEquals("Status: 200 OK", ask(known, 1));
        byte[] request = request(2, "new-order");
        List<Socket> bad = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            Socket caller = connect(at, "127.0.0." + (2 + i));
            caller.getOutputStream().write(i % 2 == 0 ? request : new byte[4096], 0, i % 2 == 0 ? request.length - 1 - i : 4096);
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
        assertTrue(runs.stream().noneMatch(String.format("%016x", 2)::equals), "half a request never runs");
    }
}
