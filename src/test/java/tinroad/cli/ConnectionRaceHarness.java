package tinroad.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
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
import java.util.function.UnaryOperator;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.io.TempDir;
import tinroad.Program;

/**
 * Base class of tests that run the program as a separate process, with an engine, a service
 * registry and callers on real sockets.
 */
abstract class ConnectionRaceHarness {
    static final int TIMEOUT_MILLIS = 60_000;
    static final Pattern JOB = Pattern.compile("\"job\":\"([0-9a-f]{16})\"");
    static final Pattern REF = Pattern.compile("\"ref\":\"([^\"]*)\"");

    @TempDir Path dir;
    ServerSocket engine;
    DatagramSocket registry;
    Process gateway;
    final List<Socket> callers = new ArrayList<>();
    final List<Socket> engineLinks = new ArrayList<>();

    /** The jobs of the runs that the engine received, in order. */
    final BlockingQueue<String> receivedJobs = new LinkedBlockingQueue<>();

    final BlockingQueue<String> log = new LinkedBlockingQueue<>();
    volatile boolean completesRuns = true;

    /** The number of further ATTACH messages that the engine answers with HELLO. */
    final Semaphore helloPermits = new Semaphore(100);

    volatile Socket currentLink;
    int doneCount;

    @BeforeEach
    void open() throws IOException {
        engine = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        registry = new DatagramSocket(0, InetAddress.getLoopbackAddress());
        registry.setSoTimeout(TIMEOUT_MILLIS);
        thread(
                () -> {
                    while (true) {
                        Socket next = engine.accept();
                        synchronized (engineLinks) {
                            engineLinks.add(next);
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
        registry.close();
        for (Socket socket : callers) {
            socket.close();
        }
        synchronized (engineLinks) {
            for (Socket socket : engineLinks) {
                socket.close();
            }
        }
    }

    interface Work {
        void run() throws Exception;
    }

    /** Runs work in a thread until it throws an exception, such as when its socket is closed. */
    static void thread(Work work) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                work.run();
                            } catch (Exception e) {
                                // The test or the process has ended.
                            }
                        });
        thread.setDaemon(true);
        thread.start();
    }

    synchronized void send(Socket to, String line) throws IOException {
        to.getOutputStream().write((line + "\n").getBytes(StandardCharsets.US_ASCII));
    }

    void serve(Socket on) throws IOException {
        BufferedReader lines =
                new BufferedReader(
                        new InputStreamReader(on.getInputStream(), StandardCharsets.US_ASCII));
        for (String line = lines.readLine(); line != null; line = lines.readLine()) {
            if (line.contains("\"ATTACH\"")) {
                currentLink = on;
                helloPermits.acquireUninterruptibly();
                send(on, "{\"type\":\"HELLO\",\"state\":\"seasoned\",\"took\":900000}");
            } else if (line.contains("\"STAT\"")) {
                Matcher ref = REF.matcher(line);
                assertTrue(ref.find());
                send(
                        on,
                        "{\"type\":\"STATS\",\"ref\":\""
                                + ref.group(1)
                                + "\",\"gauges\":[0.1,1,0.1,1]}");
            } else if (line.contains("\"RUN\"")) {
                Matcher job = JOB.matcher(line);
                assertTrue(job.find());
                receivedJobs.add(job.group(1));
                if (completesRuns) {
                    done(on, job.group(1));
                }
            }
        }
    }

    void done(String job) throws IOException {
        done(currentLink, job);
    }

    synchronized void done(Socket on, String job) throws IOException {
        send(
                on,
                "{\"type\":\"DONE\",\"n\":"
                        + ++doneCount
                        + ",\"job\":\""
                        + job
                        + "\",\"state\":\"done\",\"took\":3,\"data\":\"b2s=\"}");
    }

    /** Changes the text of the example configuration before it is written. */
    UnaryOperator<String> editConfig = text -> text;

    /** Further arguments on the command line. */
    List<String> extraArguments = List.of();

    /** Writes the configuration for the next start or SIGHUP. */
    Path configure(int sockets, int stopMs) throws IOException {
        String text =
                Files.readString(Path.of("deploy/example.json"))
                        .replace(":4400", ":" + engine.getLocalPort())
                        .replace(":8761", ":" + registry.getLocalPort())
                        .replace("\"sockets\": 1024", "\"sockets\": " + sockets)
                        .replace("\"stop_ms\": 500", "\"stop_ms\": " + stopMs)
                        .replace("\"engine\"", "\"control\": \"127.0.0.1:0\", \"engine\"");
        return Files.writeString(dir.resolve("config.json"), editConfig.apply(text));
    }

    /**
     * Starts the program, waits until its health is good, and returns the address on which it
     * listens.
     *
     * @param launcher the command that starts the program; empty to start it directly
     */
    InetSocketAddress start(int sockets, int stopMs, String... launcher) throws Exception {
        InetSocketAddress address = startListening(sockets, stopMs, launcher);
        awaitLog("health good");
        return address;
    }

    /** Starts the program and returns the address on which it listens, once it does. */
    InetSocketAddress startListening(int sockets, int stopMs, String... launcher) throws Exception {
        launch(sockets, stopMs, launcher);
        return awaitListening();
    }

    /** Starts the program without waiting. */
    void launch(int sockets, int stopMs, String... launcher) throws Exception {
        Path file = configure(sockets, stopMs);
        List<String> command = new ArrayList<>(List.of(launcher));
        command.addAll(
                List.of(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-cp",
                        Program.CLASS_PATH,
                        Main.class.getName(),
                        "serve",
                        "--config",
                        file.toString()));
        command.addAll(extraArguments);
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
        builder.environment().put("TMPDIR", dir.toString());
        gateway = builder.start();
        BufferedReader lines = gateway.inputReader(StandardCharsets.UTF_8);
        thread(
                () -> {
                    for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                        log.add(line);
                    }
                });
    }

    /** Waits until the program listens and returns the address. */
    InetSocketAddress awaitListening() throws InterruptedException {
        String line = awaitLog("listening on ");
        Matcher port = Pattern.compile("listening on \\S*:(\\d+) as").matcher(line);
        assertTrue(port.find(), line);
        return new InetSocketAddress("127.0.0.1", Integer.parseInt(port.group(1)));
    }

    /** Waits for a log line that contains {@code part} and returns it. */
    String awaitLog(String part) throws InterruptedException {
        List<String> before = new ArrayList<>();
        for (String line = log.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
                line != null;
                line = log.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)) {
            before.add(line);
            if (line.contains(part)) {
                return line;
            }
        }
        throw new AssertionError("not logged: " + part + " but " + before);
    }

    void signal(String name) throws Exception {
        signal(gateway, name);
    }

    static void signal(Process process, String name) throws Exception {
        assertEquals(
                0,
                new ProcessBuilder("kill", "-" + name, Long.toString(process.pid()))
                        .start()
                        .waitFor());
    }

    /** Stops the process with SIGSTOP and waits until the system reports it as stopped. */
    void stopProcess() throws Exception {
        signal("STOP");
        Path state = Path.of("/proc", Long.toString(gateway.pid()), "status");
        while (Files.readAllLines(state).stream().noneMatch(line -> line.startsWith("State:\tT"))) {
            Thread.onSpinWait();
        }
    }

    Socket connect(InetSocketAddress to, String from) throws IOException {
        Socket caller = new Socket();
        caller.bind(new InetSocketAddress(from, 0));
        caller.connect(to, TIMEOUT_MILLIS);
        caller.setSoTimeout(TIMEOUT_MILLIS);
        callers.add(caller);
        return caller;
    }

    static void record(OutputStream out, int type, int id, byte[] content) throws IOException {
        out.write(
                new byte[] {
                    1,
                    (byte) type,
                    0,
                    (byte) id,
                    (byte) (content.length >> 8),
                    (byte) content.length,
                    0,
                    0
                });
        out.write(content);
    }

    static byte[] request(int n, String kind) throws IOException {
        return request(n, kind, "acme", null);
    }

    static byte[] request(int n, String kind, String owner, String token) throws IOException {
        Map<String, String> fields = new LinkedHashMap<>();
        fields.put("REQUEST_METHOD", "POST");
        fields.put("SCRIPT_NAME", "/v1/" + kind);
        fields.put("HTTP_REQ_ID", String.format("%016x", n));
        fields.put("HTTP_REQ_TIME", Long.toString(System.currentTimeMillis()));
        fields.put("HTTP_REQ_FROM", "4");
        fields.put("HTTP_REQ_OWNER", owner);
        fields.put("HTTP_REQ_KB", "20.5");
        fields.put("HTTP_REQ_RANK", "0.5");
        if (token != null) {
            fields.put("HTTP_REQ_TOKEN", token);
        }
        ByteArrayOutputStream params = new ByteArrayOutputStream();
        fields.forEach(
                (name, value) -> {
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

    /**
     * Reads one response and returns its first line; fails if the connection ends before the
     * response is complete.
     */
    static String readResponseStatus(Socket caller) throws IOException {
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

    String exchange(Socket caller, int n) throws IOException {
        return exchange(caller, n, "order-status", "acme");
    }

    String exchange(Socket caller, int n, String kind, String owner) throws IOException {
        caller.getOutputStream().write(request(n, kind, owner, null));
        return readResponseStatus(caller);
    }

    static void assertAnswered(String status) {
        assertTrue(
                status.equals("Status: 200 OK") || status.equals("Status: 503 Service Unavailable"),
                status);
    }
}
