package tinroad.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import tinroad.Program;
import tinroad.operator.OperatorFileErrors;

/** Tests {@code serve} as a separate process: signals, reloads, takeover and stored state. */
@Timeout(value = 180, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class ServeTest {
    private static final int TIMEOUT_MILLIS = 60_000;

    /** BEGIN_REQUEST, PARAMS with SCRIPT_NAME=/healthz, and the end records of both streams. */
    private static final String HEALTH_CHECK =
            "\1\1\0\1\0\10\0\0\0\1\1\0\0\0\0\0\1\4\0\1\0\25\0\0\13\10SCRIPT_NAME/healthz"
                    + "\1\4\0\1\0\0\0\0\1\5\0\1\0\0\0\0";

    /**
     * The complete output if the virtual machine receives SIGTERM between two phases of its own
     * initialization, before it loads any class of the program: its signal thread begins the
     * shutdown, and the main thread then finds a later phase than its own. See docs/on-call.md.
     */
    private static final String ENDED_IN_VM_INITIALIZATION =
            "Error occurred during initialization of VM\n"
                    + "java\\.lang\\.InternalError: Bad level: ([23])\n"
                    + "\tat jdk\\.internal\\.misc\\.VM\\.initLevel\\(java\\.base@[^()\n]+\\)\n"
                    + "\tat java\\.lang\\.System\\.initPhase\\1\\(java\\.base@[^()\n]+\\)\n\n?";

    private static Process serve(Path file, Path tmpFolder, String... extraArguments)
            throws IOException {
        return serve(List.of(), file, tmpFolder, extraArguments);
    }

    private static Process serve(
            List<String> launcher, Path file, Path tmpFolder, String... extraArguments)
            throws IOException {
        List<String> command = new ArrayList<>(launcher);
        command.addAll(
                List.of(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-cp",
                        Program.CLASS_PATH,
                        Main.class.getName(),
                        "serve",
                        "--config",
                        file.toString()));
        command.addAll(List.of(extraArguments));
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
        builder.environment().put("TMPDIR", tmpFolder.toString());
        return builder.start();
    }

    private static void write(Path file, ServerSocket engine, DatagramSocket registry)
            throws IOException {
        Files.writeString(
                file,
                Files.readString(Path.of("deploy/example.json"))
                        .replace(":4400", ":" + engine.getLocalPort())
                        .replace(":8761", ":" + registry.getLocalPort()));
    }

    private static ServerSocket engine() throws IOException {
        ServerSocket engine = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
        engine.setSoTimeout(TIMEOUT_MILLIS);
        return engine;
    }

    private static DatagramSocket registry() throws IOException {
        DatagramSocket registry = new DatagramSocket(0, InetAddress.getLoopbackAddress());
        registry.setSoTimeout(TIMEOUT_MILLIS);
        return registry;
    }

    private static void stopListening(ServerSocket engine) throws IOException {
        engine.close();
    }

    private static void attach(Socket link, int n) throws IOException {
        BufferedReader lines =
                new BufferedReader(
                        new InputStreamReader(link.getInputStream(), StandardCharsets.US_ASCII));
        assertEquals("{\"type\":\"ATTACH\",\"n\":" + n + "}", lines.readLine());
        link.getOutputStream()
                .write(
                        ("{\"type\":\"HELLO\",\"state\":\"fresh\",\"took\":1}\n"
                                        + "{\"type\":\"NOTE\",\"n\":"
                                        + (n + 1)
                                        + ",\"state\":\"hm\"}\n")
                                .getBytes(StandardCharsets.US_ASCII));
    }

    private static void receiveReport(DatagramSocket registry) throws IOException {
        DatagramPacket report = new DatagramPacket(new byte[64], 64);
        registry.receive(report);
        assertEquals(
                "HERE n3 on",
                new String(report.getData(), 0, report.getLength(), StandardCharsets.US_ASCII));
    }

    private static void signal(Process gateway, String name)
            throws IOException, InterruptedException {
        assertEquals(
                0,
                new ProcessBuilder("kill", "-" + name, Long.toString(gateway.pid()))
                        .start()
                        .waitFor());
    }

    private static String waitFor(BufferedReader log, String part) throws IOException {
        String line = log.readLine();
        // JSON lines have their slashes escaped.
        while (line != null && !line.replace("\\/", "/").contains(part)) {
            line = log.readLine();
        }
        assertTrue(line != null, "the log ended without: " + part);
        return line;
    }

    @Test
    void aHangupMovesItToTheNewAddressesAndDoesNotEndIt(@TempDir Path dir) throws Exception {
        Path file = dir.resolve("config.json");
        try (ServerSocket engine = engine();
                ServerSocket nextEngine = engine();
                DatagramSocket registry = registry();
                DatagramSocket nextRegistry = registry()) {
            write(file, engine, registry);
            Process gateway = serve(file, dir);
            try (BufferedReader log = gateway.inputReader(StandardCharsets.UTF_8);
                    Socket link = engine.accept()) {
                attach(link, 0);
                receiveReport(registry);
                Files.writeString(file, "{");
                signal(gateway, "HUP");
                waitFor(log, "configuration kept: ");
                write(file, nextEngine, nextRegistry);
                signal(gateway, "HUP");
                receiveReport(nextRegistry);
                try (Socket nextLink = nextEngine.accept()) {
                    attach(nextLink, 1);
                    waitFor(log, "engine attached again");
                    signal(gateway, "TERM");
                    waitFor(log, "draining");
                    signal(gateway, "HUP");
                    waitFor(log, "drained");
                    assertEquals(128 + 15, gateway.waitFor());
                }
            } finally {
                gateway.destroyForcibly();
            }
        }
    }

    /** A SIGHUP during the start must not end the process. */
    @Test
    void aHangupDuringTheStartIsKeptUntilThereIsAGatewayToReload(@TempDir Path dir)
            throws Exception {
        Path configured = dir.resolve("config.json");
        Path pipe = dir.resolve("pipe");
        assertEquals(0, new ProcessBuilder("mkfifo", pipe.toString()).start().waitFor());
        try (ServerSocket engine = engine();
                DatagramSocket registry = registry()) {
            write(configured, engine, registry);
            Process gateway = serve(pipe, dir);
            try (BufferedReader log = gateway.inputReader(StandardCharsets.UTF_8)) {
                // This blocks until the gateway opens the pipe for reading; its start waits there.
                try (OutputStream out = Files.newOutputStream(pipe)) {
                    signal(gateway, "HUP");
                    Files.copy(configured, out);
                    // The reload then reads a regular file.
                    Files.move(configured, pipe, StandardCopyOption.REPLACE_EXISTING);
                }
                waitFor(log, "configuration read again");
                waitFor(log, "listening on ");
                signal(gateway, "TERM");
                waitFor(log, "drained");
                assertEquals(128 + 15, gateway.waitFor());
            } finally {
                gateway.destroyForcibly();
            }
        }
    }

    /** Starts a gateway that stores its state in {@code folder}. */
    private static Process serveWithState(
            Path dir, int n, ServerSocket engine, DatagramSocket registry, String folder)
            throws IOException {
        Path file = dir.resolve("config" + n + ".json");
        write(file, engine, registry);
        Path operator =
                Files.writeString(
                        dir.resolve("operator" + n + ".conf"),
                        "state { folder = " + folder + ", every = 100ms }");
        return serve(
                file,
                Files.createDirectory(dir.resolve("tmp" + n)),
                "--operator",
                operator.toString());
    }

    /**
     * Two processes of one name use the same state folder. The older one is stopped with SIGSTOP
     * while the newer one starts; once it continues, it must not write any more.
     */
    @Test
    void anOlderProcessThatContinuesWritesNoMore(@TempDir Path dir) throws Exception {
        Path folder = dir.resolve("state");
        try (ServerSocket engine = engine();
                ServerSocket nextEngine = engine();
                DatagramSocket registry = registry()) {
            Process older = serveWithState(dir, 1, engine, registry, "state");
            Process newer = null;
            try (BufferedReader log = older.inputReader(StandardCharsets.UTF_8)) {
                waitFor(log, "incarnation 1 started without stored state");
                try (Socket link = engine.accept()) {
                    attach(link, 0);
                    waitForFile(folder, "state-0000000000000000001-");
                    signal(older, "STOP");
                    newer = serveWithState(dir, 2, nextEngine, registry, "state");
                    try (BufferedReader newLog = newer.inputReader(StandardCharsets.UTF_8);
                            Socket nextLink = nextEngine.accept()) {
                        waitFor(newLog, "incarnation 2 started from incarnation 1");
                        attach(nextLink, 0);
                        waitForFile(folder, "state-0000000000000000002-");
                        signal(older, "CONT");
                        waitFor(
                                log,
                                "state is saved no more: a later process of this gateway has"
                                        + " begun");
                        waitForFile(folder, "state-0000000000000000002-");
                    }
                }
            } finally {
                older.destroyForcibly();
                if (newer != null) {
                    newer.destroyForcibly();
                }
            }
        }
    }

    /**
     * Waits for a completely written file. A partly written one has another name, and may stay if
     * its process is stopped.
     */
    private static void waitForFile(Path folder, String start) throws Exception {
        while (true) {
            try (Stream<Path> all = Files.list(folder)) {
                if (all.map(p -> p.getFileName().toString())
                        .anyMatch(name -> name.startsWith(start) && !name.endsWith(".part"))) {
                    return;
                }
            }
            Thread.sleep(10);
        }
    }

    @Test
    void anUnusableStateFolderIsLoggedAndTheGatewayServes(@TempDir Path dir) throws Exception {
        Files.writeString(dir.resolve("state"), "a file, and no folder");
        try (ServerSocket engine = engine();
                DatagramSocket registry = registry()) {
            Process gateway = serveWithState(dir, 1, engine, registry, "state");
            try (BufferedReader log = gateway.inputReader(StandardCharsets.UTF_8);
                    Socket link = engine.accept()) {
                waitFor(log, "state folder can't be used, nothing is persisted: ");
                attach(link, 0);
                receiveReport(registry);
            } finally {
                gateway.destroyForcibly();
            }
        }
    }

    /** If SIGHUP is ignored at the start, as under nohup, the virtual machine leaves it ignored. */
    @Test
    void ifHangupsAreIgnoredItLogsThatAndReadsItsFileAgainOnceTheEngineIsGone(@TempDir Path dir)
            throws Exception {
        Path file = dir.resolve("config.json");
        try (ServerSocket engine = engine();
                ServerSocket nextEngine = engine();
                DatagramSocket registry = registry();
                DatagramSocket nextRegistry = registry()) {
            write(file, engine, registry);
            Process gateway =
                    serve(List.of("sh", "-c", "trap '' HUP; exec \"$@\"", "sh"), file, dir);
            try (BufferedReader log = gateway.inputReader(StandardCharsets.UTF_8)) {
                waitFor(log, "SIGHUP is ignored");
                try (Socket link = engine.accept()) {
                    attach(link, 0);
                    receiveReport(registry);
                    write(file, nextEngine, nextRegistry);
                    signal(gateway, "HUP");
                    stopListening(engine);
                }
                waitFor(log, "engine unreachable: configuration changed without a reload signal");
                receiveReport(nextRegistry);
                try (Socket nextLink = nextEngine.accept()) {
                    attach(nextLink, 1);
                    waitFor(log, "engine attached again");
                }
            } finally {
                gateway.destroyForcibly();
            }
        }
    }

    /**
     * Starts a gateway, sends SIGTERM {@code noticeAfterMillis} later, or once it listens if that
     * is negative, and returns its log and the response to a health check.
     */
    private static String startWithNotice(Path dir, int n, int noticeAfterMillis) throws Exception {
        InetAddress address = InetAddress.getByName("127.0.9." + (1 + n));
        Path file = dir.resolve("config" + n + ".json");
        int port;
        try (ServerSocket free = new ServerSocket(0, 1, address)) {
            port = free.getLocalPort();
        }
        Files.writeString(
                file,
                Files.readString(Path.of("deploy/example.json"))
                        .replace("127.0.0.1:0", address.getHostAddress() + ":" + port)
                        .replace("\"stop_ms\": 500", "\"stop_ms\": 1500"));
        Process gateway = serve(file, Files.createDirectory(dir.resolve("tmp" + n)));
        AtomicReference<String> response = new AtomicReference<>("no connection");
        Thread caller =
                new Thread(
                        () -> {
                            while (gateway.isAlive() && response.get().equals("no connection")) {
                                try (Socket socket = new Socket(address, port)) {
                                    response.set("");
                                    socket.getOutputStream()
                                            .write(
                                                    HEALTH_CHECK.getBytes(
                                                            StandardCharsets.ISO_8859_1));
                                    response.set(
                                            new String(
                                                    socket.getInputStream().readNBytes(17),
                                                    StandardCharsets.ISO_8859_1));
                                } catch (IOException e) {
                                    Thread.onSpinWait();
                                }
                            }
                        });
        caller.start();
        StringBuilder all = new StringBuilder();
        try (BufferedReader log = gateway.inputReader(StandardCharsets.UTF_8)) {
            if (noticeAfterMillis >= 0) {
                Thread.sleep(noticeAfterMillis);
                signal(gateway, "TERM");
            }
            for (String line = log.readLine(); line != null; line = log.readLine()) {
                all.append(line).append('\n');
                if (noticeAfterMillis < 0 && line.contains("listening on")) {
                    signal(gateway, "TERM");
                }
            }
            int status = gateway.waitFor();
            assertTrue(
                    status == 128 + 15
                            || (status == 1 && all.toString().matches(ENDED_IN_VM_INITIALIZATION)),
                    () -> "noticed " + noticeAfterMillis + ", status " + status + ": " + all);
            caller.join();
        } finally {
            gateway.destroyForcibly();
        }
        return all + response.get();
    }

    @Test
    void aNoticeAtAnyMomentOfTheStartEndsItInOrderAndLosesNothing(@TempDir Path dir)
            throws Exception {
        ExecutorService starts = Executors.newFixedThreadPool(4);
        try {
            List<Future<String>> outputs = new ArrayList<>();
            for (int n = 0; n < 24; n++) {
                int number = n;
                outputs.add(
                        starts.submit(
                                () ->
                                        startWithNotice(
                                                dir, number, number % 2 == 0 ? -1 : 60 * number)));
            }
            for (Future<String> output : outputs) {
                String all = output.get();
                assertFalse(all.contains("Exception"), all);
                // Before the virtual machine runs any code of the program, SIGTERM has the system's
                // default effect: the process ends without output.
                assertTrue(
                        all.equals("no connection")
                                || all.matches(ENDED_IN_VM_INITIALIZATION + "no connection")
                                || all.matches(
                                        "(?s).*(shutdown notice received before listening\n"
                                                + "no connection|drained\n"
                                                + ".{8}Status: 5(?s:.*))"),
                        all);
            }
        } finally {
            starts.shutdownNow();
        }
    }

    /** Returns the complete output of a process, without timestamps, durations and the port. */
    private static String outputOfAProcess(Path dir, String... extraArguments) throws Exception {
        Process gateway = serve(Path.of("deploy/example.json"), dir, extraArguments);
        StringBuilder all = new StringBuilder();
        try (BufferedReader log = gateway.inputReader(StandardCharsets.UTF_8)) {
            for (String line = log.readLine(); line != null; line = log.readLine()) {
                all.append(
                                line.replaceAll(
                                                "^\\d{4}-\\d\\d-\\d\\dT\\d\\d:\\d\\d:\\d\\d\\.\\d{3}(Z|[+-]\\d\\d:\\d\\d)"
                                                    + " ",
                                                "AT ")
                                        .replaceAll(":\\d+ as", ":PORT as")
                                        .replaceAll("\\d+ ms", "N ms"))
                        .append('\n');
                if (line.contains("listening on")) {
                    signal(gateway, "TERM");
                }
            }
        } finally {
            gateway.destroyForcibly();
        }
        return all.toString();
    }

    @Test
    void withAnOperatorFileTheTextLinesAreIdenticalToThoseOfThePlainBackEnd(@TempDir Path dir)
            throws Exception {
        String plain = outputOfAProcess(dir);
        assertTrue(
                plain.startsWith(
                        "AT [INFO] server - listening on /127.0.0.1:PORT as n3\n"
                            + "AT [INFO] gateway - draining: 0 requests in flight, N ms left\n"),
                plain);
        assertEquals(plain, outputOfAProcess(dir, "--operator", "deploy/operator.conf"));
    }

    @Test
    void aHangupWithABadOperatorFileKeepsTheLastGoodOneAndLogsWhy(@TempDir Path dir)
            throws Exception {
        Path file = dir.resolve("config.json");
        Path operator = dir.resolve("operator.conf");
        try (ServerSocket engine = engine();
                DatagramSocket registry = registry()) {
            write(file, engine, registry);
            Files.writeString(operator, "log { format = json }");
            Process gateway = serve(file, dir, "--operator", operator.toString());
            try (BufferedReader log = gateway.inputReader(StandardCharsets.UTF_8);
                    Socket link = engine.accept()) {
                attach(link, 0);
                receiveReport(registry);
                for (OperatorFileErrors.Mistake mistake : OperatorFileErrors.all()) {
                    mistake.writeTo(operator);
                    signal(gateway, "HUP");
                    String line =
                            waitFor(
                                    log,
                                    "operator file kept: "
                                            + operator
                                            + ":"
                                            + mistake.line()
                                            + ": ");
                    assertTrue(line.startsWith("{"), line);
                }
                Files.delete(operator);
                signal(gateway, "HUP");
                waitFor(log, "operator file kept: " + operator + ":1: can't be read: no such file");
                Files.writeString(operator, "log { format = text }");
                signal(gateway, "HUP");
                assertTrue(
                        waitFor(log, "operator file read again")
                                .endsWith("[INFO] server - operator file read again"));
                signal(gateway, "TERM");
                waitFor(log, "drained");
                assertEquals(128 + 15, gateway.waitFor());
            } finally {
                gateway.destroyForcibly();
            }
        }
    }

    @Test
    void aSecondProcessTakesOverAndTheFirstReportsNoFailureToTheRegistry(@TempDir Path dir)
            throws Exception {
        Path file = dir.resolve("config.json");
        try (ServerSocket engine = engine();
                ServerSocket nextEngine = engine();
                DatagramSocket registry = registry();
                DatagramSocket nextRegistry = registry()) {
            write(file, engine, registry);
            Process first = serve(file, dir);
            Process second = null;
            try (BufferedReader log = first.inputReader(StandardCharsets.UTF_8);
                    Socket link = engine.accept()) {
                String listening = waitFor(log, "listening on ");
                attach(link, 0);
                receiveReport(registry);
                write(file, nextEngine, nextRegistry);
                Files.writeString(
                        file,
                        Files.readString(file)
                                .replace(
                                        "127.0.0.1:0",
                                        listening.replaceAll(
                                                ".*listening on /(\\S+) as .*", "$1")));
                second = serve(file, dir);
                try (BufferedReader nextLog = second.inputReader(StandardCharsets.UTF_8);
                        Socket nextLink = nextEngine.accept()) {
                    waitFor(nextLog, "another process listens on ");
                    waitFor(nextLog, "connection limits halved");
                    attach(nextLink, 0);
                    receiveReport(nextRegistry);
                    waitFor(nextLog, "listening on ");
                    signal(first, "TERM");
                    waitFor(log, "replaced by another process");
                    waitFor(log, "drained");
                    assertEquals(128 + 15, first.waitFor());
                    waitFor(nextLog, "connection limits restored: no other process");
                    // All its reports, up to the last one, were good.
                    registry.setSoTimeout(1);
                    assertThrows(
                            SocketTimeoutException.class,
                            () -> {
                                while (true) {
                                    receiveReport(registry);
                                }
                            });
                    assertTrue(second.isAlive());
                }
            } finally {
                first.destroyForcibly();
                if (second != null) {
                    second.destroyForcibly();
                }
            }
        }
    }
}
