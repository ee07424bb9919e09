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

/** The program as a process of its own, between an engine, a roster and callers on real sockets. */
abstract class ConnectionRaceHarness {
    static final int HUNG_MS = 60_000;
    static final Pattern JOB = Pattern.compile("\"job\":\"([0-9a-f]{16})\"");
    static final Pattern REF = Pattern.compile("\"ref\":\"([^\"]*)\"");

    @TempDir Path dir;
    ServerSocket engine;
    DatagramSocket roster;
    Process gateway;
    final List<Socket> callers = new ArrayList<>();
    final List<Socket> links = new ArrayList<>();

    /** Runs that the engine was told of, in order. */
    final BlockingQueue<String> runs = new LinkedBlockingQueue<>();

    final BlockingQueue<String> log = new LinkedBlockingQueue<>();
    volatile boolean runsEnd = true;

    /** So many links are still greeted. */
    final Semaphore hellos = new Semaphore(100);

    volatile Socket link;
    int notices;

    @BeforeEach
    void open() throws IOException {
        engine = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        roster = new DatagramSocket(0, InetAddress.getLoopbackAddress());
        roster.setSoTimeout(HUNG_MS);
        thread(
                () -> {
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

    interface Work {
        void run() throws Exception;
    }

    /** Runs until it fails, as all do once their sockets are closed. */
    static void thread(Work work) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                work.run();
                            } catch (Exception e) {
                                // The end of the test, or of the process.
                            }
                        });
        thread.setDaemon(true);
        thread.start();
    }

    synchronized void tell(Socket to, String line) throws IOException {
        to.getOutputStream().write((line + "\n").getBytes(StandardCharsets.US_ASCII));
    }

    void serve(Socket on) throws IOException {
        BufferedReader lines =
                new BufferedReader(
                        new InputStreamReader(on.getInputStream(), StandardCharsets.US_ASCII));
        for (String line = lines.readLine(); line != null; line = lines.readLine()) {
            if (line.contains("\"ATTACH\"")) {
                link = on;
                hellos.acquireUninterruptibly();
                tell(on, "{\"type\":\"HELLO\",\"state\":\"seasoned\",\"took\":900000}");
            } else if (line.contains("\"STAT\"")) {
                Matcher ref = REF.matcher(line);
                assertTrue(ref.find());
                tell(
                        on,
                        "{\"type\":\"STATS\",\"ref\":\""
                                + ref.group(1)
                                + "\",\"gauges\":[0.1,1,0.1,1]}");
            } else if (line.contains("\"RUN\"")) {
                Matcher job = JOB.matcher(line);
                assertTrue(job.find());
                runs.add(job.group(1));
                if (runsEnd) {
                    done(on, job.group(1));
                }
            }
        }
    }

    void done(String job) throws IOException {
        done(link, job);
    }

    private synchronized void done(Socket on, String job) throws IOException {
        tell(
                on,
                "{\"type\":\"DONE\",\"n\":"
                        + ++notices
                        + ",\"job\":\""
                        + job
                        + "\",\"state\":\"done\",\"took\":3,\"data\":\"b2s=\"}");
    }

    /** What is changed of the example's configuration, and what follows it on the command line. */
    UnaryOperator<String> configured = text -> text;

    List<String> more = List.of();

    /** Writes the configuration that the next start, or the next hangup, finds. */
    Path configure(int sockets, int stopMs) throws IOException {
        String text =
                Files.readString(Path.of("deploy/example.json"))
                        .replace(":4400", ":" + engine.getLocalPort())
                        .replace(":8761", ":" + roster.getLocalPort())
                        .replace("\"sockets\": 1024", "\"sockets\": " + sockets)
                        .replace("\"stop_ms\": 500", "\"stop_ms\": " + stopMs)
                        .replace("\"engine\"", "\"control\": \"127.0.0.1:0\", \"engine\"");
        return Files.writeString(dir.resolve("config.json"), configured.apply(text));
    }

    /**
     * Starts the program, perhaps by another, and returns where it listens once its health is good.
     */
    InetSocketAddress start(int sockets, int stopMs, String... by) throws Exception {
        InetSocketAddress at = listens(sockets, stopMs, by);
        logged("health good");
        return at;
    }

    InetSocketAddress listens(int sockets, int stopMs, String... by) throws Exception {
        launch(sockets, stopMs, by);
        return listening();
    }

    /** Starts the program and waits for nothing. */
    void launch(int sockets, int stopMs, String... by) throws Exception {
        Path file = configure(sockets, stopMs);
        List<String> command = new ArrayList<>(List.of(by));
        command.addAll(
                List.of(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-cp",
                        Program.CLASS_PATH,
                        Main.class.getName(),
                        "serve",
                        "--config",
                        file.toString()));
        command.addAll(more);
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

    /** Where it listens, once it does. */
    InetSocketAddress listening() throws InterruptedException {
        String listening = logged("listening on ");
        Matcher port = Pattern.compile("listening on \\S*:(\\d+) as").matcher(listening);
        assertTrue(port.find(), listening);
        return new InetSocketAddress("127.0.0.1", Integer.parseInt(port.group(1)));
    }

    String logged(String part) throws InterruptedException {
        List<String> before = new ArrayList<>();
        for (String line = log.poll(HUNG_MS, TimeUnit.MILLISECONDS);
                line != null;
                line = log.poll(HUNG_MS, TimeUnit.MILLISECONDS)) {
            before.add(line);
            if (line.contains(part)) {
                return line;
            }
        }
        throw new AssertionError("not logged: " + part + " but " + before);
    }

    void signal(String name) throws Exception {
        assertEquals(
                0,
                new ProcessBuilder("kill", "-" + name, Long.toString(gateway.pid()))
                        .start()
                        .waitFor());
    }

    /** Waits for the process to stand still, as the system tells. */
    void standsStill() throws Exception {
        signal("STOP");
        Path state = Path.of("/proc", Long.toString(gateway.pid()), "status");
        while (Files.readAllLines(state).stream().noneMatch(line -> line.startsWith("State:\tT"))) {
            Thread.onSpinWait();
        }
    }

    Socket connect(InetSocketAddress to, String from) throws IOException {
        Socket caller = new Socket();
        caller.bind(new InetSocketAddress(from, 0));
        caller.connect(to, HUNG_MS);
        caller.setSoTimeout(HUNG_MS);
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
     * The first line of the one answer that comes; fails where the connection ends before it is
     * whole.
     */
    static String answer(Socket caller) throws IOException {
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

    String ask(Socket caller, int n) throws IOException {
        return ask(caller, n, "order-status", "acme");
    }

    String ask(Socket caller, int n, String kind, String owner) throws IOException {
        caller.getOutputStream().write(request(n, kind, owner, null));
        return answer(caller);
    }

    static void isAnswered(String status) {
        assertTrue(
                status.equals("Status: 200 OK") || status.equals("Status: 503 Service Unavailable"),
                status);
    }
}
