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

/** {@code serve} as a process of its own, and the signals that reach it. */
@Timeout(value = 180, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class ServeTest {
    private static final int HUNG_MS = 60_000;

    /** BEGIN_REQUEST, PARAMS with SCRIPT_NAME=/healthz, and the ends of both streams. */
    private static final String HEALTH_CHECK =
            "\1\1\0\1\0\10\0\0\0\1\1\0\0\0\0\0\1\4\0\1\0\25\0\0\13\10SCRIPT_NAME/healthz"
                    + "\1\4\0\1\0\0\0\0\1\5\0\1\0\0\0\0";

    /**
     * All that is written where the virtual machine gets SIGTERM between two phases of its own
     * initialization, before it loads any class of the program: its thread for signals begins the
     * shutdown, and the main thread then finds a later phase than its own. See docs/on-call.md.
     */
    private static final String ENDED_IN_VM_INITIALIZATION =
            "Error occurred during initialization of VM\n"
                    + "java\\.lang\\.InternalError: Bad level: ([23])\n"
                    + "\tat jdk\\.internal\\.misc\\.VM\\.initLevel\\(java\\.base@[^()\n]+\\)\n"
                    + "\tat java\\.lang\\.System\\.initPhase\\1\\(java\\.base@[^()\n]+\\)\n\n?";

    private static Process serve(Path file, Path shared, String... more) throws IOException {
        return serve(List.of(), file, shared, more);
    }

    private static Process serve(List<String> by, Path file, Path shared, String... more)
            throws IOException {
        List<String> command = new ArrayList<>(by);
        command.addAll(
                List.of(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-cp",
                        Program.CLASS_PATH,
                        Main.class.getName(),
                        "serve",
                        "--config",
                        file.toString()));
        command.addAll(List.of(more));
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
        builder.environment().put("TMPDIR", shared.toString());
        return builder.start();
    }

    private static void write(Path file, ServerSocket engine, DatagramSocket roster)
            throws IOException {
        Files.writeString(
                file,
                Files.readString(Path.of("deploy/example.json"))
                        .replace(":4400", ":" + engine.getLocalPort())
                        .replace(":8761", ":" + roster.getLocalPort()));
    }

    private static ServerSocket engine() throws IOException {
        ServerSocket engine = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
        engine.setSoTimeout(HUNG_MS);
        return engine;
    }

    private static DatagramSocket roster() throws IOException {
        DatagramSocket roster = new DatagramSocket(0, InetAddress.getLoopbackAddress());
        roster.setSoTimeout(HUNG_MS);
        return roster;
    }

    private static void end(ServerSocket engine) throws IOException {
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

    private static void hears(DatagramSocket roster) throws IOException {
        DatagramPacket report = new DatagramPacket(new byte[64], 64);
        roster.receive(report);
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
    void aHangupMovesItToTheNewAddressesAndNothingElseEndsIt(@TempDir Path dir) throws Exception {
        Path file = dir.resolve("config.json");
        try (ServerSocket engine = engine();
                ServerSocket nextEngine = engine();
                DatagramSocket roster = roster();
                DatagramSocket nextRoster = roster()) {
            write(file, engine, roster);
            Process gateway = serve(file, dir);
            try (BufferedReader log = gateway.inputReader(StandardCharsets.UTF_8);
                    Socket link = engine.accept()) {
                attach(link, 0);
                hears(roster);
                Files.writeString(file, "{");
                signal(gateway, "HUP");
                waitFor(log, "configuration kept: ");
                write(file, nextEngine, nextRoster);
                signal(gateway, "HUP");
                hears(nextRoster);
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

    /** Guards against a reload signal during the start that ends the process. */
    @Test
    void aHangupDuringTheStartIsKeptUntilThereIsAGatewayToReload(@TempDir Path dir)
            throws Exception {
        Path configured = dir.resolve("config.json");
        Path pipe = dir.resolve("pipe");
        assertEquals(0, new ProcessBuilder("mkfifo", pipe.toString()).start().waitFor());
        try (ServerSocket engine = engine();
                DatagramSocket roster = roster()) {
            write(configured, engine, roster);
            Process gateway = serve(pipe, dir);
            try (BufferedReader log = gateway.inputReader(StandardCharsets.UTF_8)) {
                // Open for writing once the gateway has opened it to read: the start waits there.
                try (OutputStream out = Files.newOutputStream(pipe)) {
                    signal(gateway, "HUP");
                    Files.copy(configured, out);
                    // What is read again is a plain file.
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

    private static Process remembers(
            Path dir, int n, ServerSocket engine, DatagramSocket roster, String folder)
            throws IOException {
        Path file = dir.resolve("config" + n + ".json");
        write(file, engine, roster);
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
     * Two processes of one name on one folder: the older one is stopped, wakes, and has nothing to
     * say any more.
     */
    @Test
    void anOlderProcessThatWakesWritesNoMore(@TempDir Path dir) throws Exception {
        Path folder = dir.resolve("state");
        try (ServerSocket engine = engine();
                ServerSocket nextEngine = engine();
                DatagramSocket roster = roster()) {
            Process older = remembers(dir, 1, engine, roster, "state");
            Process newer = null;
            try (BufferedReader log = older.inputReader(StandardCharsets.UTF_8)) {
                waitFor(log, "incarnation 1 started without stored state");
                try (Socket link = engine.accept()) {
                    attach(link, 0);
                    waitForFile(folder, "state-0000000000000000001-");
                    signal(older, "STOP");
                    newer = remembers(dir, 2, nextEngine, roster, "state");
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
     * A whole one: what is half written has a name of its own, and may stay so where its process is
     * stopped.
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
    void aFolderThatCanNotBeUsedCostsALineAndTheGatewayServes(@TempDir Path dir) throws Exception {
        Files.writeString(dir.resolve("state"), "a file, and no folder");
        try (ServerSocket engine = engine();
                DatagramSocket roster = roster()) {
            Process gateway = remembers(dir, 1, engine, roster, "state");
            try (BufferedReader log = gateway.inputReader(StandardCharsets.UTF_8);
                    Socket link = engine.accept()) {
                waitFor(log, "state folder can't be used, nothing is persisted: ");
                attach(link, 0);
                hears(roster);
            } finally {
                gateway.destroyForcibly();
            }
        }
    }

    /** Started where SIGHUP is ignored, as under nohup: the virtual machine leaves it so. */
    @Test
    void whereHangupsAreIgnoredItSaysSoAndReadsItsFileAgainOnceTheEngineIsGone(@TempDir Path dir)
            throws Exception {
        Path file = dir.resolve("config.json");
        try (ServerSocket engine = engine();
                ServerSocket nextEngine = engine();
                DatagramSocket roster = roster();
                DatagramSocket nextRoster = roster()) {
            write(file, engine, roster);
            Process gateway =
                    serve(List.of("sh", "-c", "trap '' HUP; exec \"$@\"", "sh"), file, dir);
            try (BufferedReader log = gateway.inputReader(StandardCharsets.UTF_8)) {
                waitFor(log, "SIGHUP is ignored");
                try (Socket link = engine.accept()) {
                    attach(link, 0);
                    hears(roster);
                    write(file, nextEngine, nextRoster);
                    signal(gateway, "HUP");
                    end(engine);
                }
                waitFor(log, "engine unreachable: configuration changed without a reload signal");
                hears(nextRoster);
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
     * A gateway's start that is told to leave {@code after} ms on, or, where that is negative, once
     * it listens.
     */
    private static String noticedStart(Path dir, int n, int after) throws Exception {
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
        AtomicReference<String> answer = new AtomicReference<>("no connection");
        Thread caller =
                new Thread(
                        () -> {
                            while (gateway.isAlive() && answer.get().equals("no connection")) {
                                try (Socket asks = new Socket(address, port)) {
                                    answer.set("");
                                    asks.getOutputStream()
                                            .write(
                                                    HEALTH_CHECK.getBytes(
                                                            StandardCharsets.ISO_8859_1));
                                    answer.set(
                                            new String(
                                                    asks.getInputStream().readNBytes(17),
                                                    StandardCharsets.ISO_8859_1));
                                } catch (IOException e) {
                                    Thread.onSpinWait();
                                }
                            }
                        });
        caller.start();
        StringBuilder all = new StringBuilder();
        try (BufferedReader log = gateway.inputReader(StandardCharsets.UTF_8)) {
            if (after >= 0) {
                Thread.sleep(after);
                signal(gateway, "TERM");
            }
            for (String line = log.readLine(); line != null; line = log.readLine()) {
                all.append(line).append('\n');
                if (after < 0 && line.contains("listening on")) {
                    signal(gateway, "TERM");
                }
            }
            int status = gateway.waitFor();
            assertTrue(
                    status == 128 + 15
                            || (status == 1 && all.toString().matches(ENDED_IN_VM_INITIALIZATION)),
                    () -> "noticed " + after + ", status " + status + ": " + all);
            caller.join();
        } finally {
            gateway.destroyForcibly();
        }
        return all + answer.get();
    }

    @Test
    void aNoticeAtAnyMomentOfTheStartEndsItInOrderAndLosesNothing(@TempDir Path dir)
            throws Exception {
        ExecutorService starts = Executors.newFixedThreadPool(4);
        try {
            List<Future<String>> lives = new ArrayList<>();
            for (int n = 0; n < 24; n++) {
                int number = n;
                lives.add(
                        starts.submit(
                                () ->
                                        noticedStart(
                                                dir, number, number % 2 == 0 ? -1 : 60 * number)));
            }
            for (Future<String> life : lives) {
                String all = life.get();
                assertFalse(all.contains("Exception"), all);
                // Before the virtual machine runs any of the program, the system's own way: it
                // ends, and says nothing.
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

    /** All that a process writes from its start to its end, without the moments and the port. */
    private static String life(Path dir, String... more) throws Exception {
        Process gateway = serve(Path.of("deploy/example.json"), dir, more);
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
    void withAnOperatorFileTheTextLinesAreThoseOfThePlainBackEndToTheByte(@TempDir Path dir)
            throws Exception {
        String plain = life(dir);
        assertTrue(
                plain.startsWith(
                        "AT [INFO] server - listening on /127.0.0.1:PORT as n3\n"
                            + "AT [INFO] gateway - draining: 0 requests in flight, N ms left\n"),
                plain);
        assertEquals(plain, life(dir, "--operator", "deploy/operator.conf"));
    }

    @Test
    void aHangupWithABadOperatorFileKeepsTheLastGoodOneAndSaysWhy(@TempDir Path dir)
            throws Exception {
        Path file = dir.resolve("config.json");
        Path operator = dir.resolve("operator.conf");
        try (ServerSocket engine = engine();
                DatagramSocket roster = roster()) {
            write(file, engine, roster);
            Files.writeString(operator, "log { format = json }");
            Process gateway = serve(file, dir, "--operator", operator.toString());
            try (BufferedReader log = gateway.inputReader(StandardCharsets.UTF_8);
                    Socket link = engine.accept()) {
                attach(link, 0);
                hears(roster);
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
    void aSecondProcessTakesOverAndTheFirstLeavesWithoutAWordToTheRoster(@TempDir Path dir)
            throws Exception {
        Path file = dir.resolve("config.json");
        try (ServerSocket engine = engine();
                ServerSocket nextEngine = engine();
                DatagramSocket roster = roster();
                DatagramSocket nextRoster = roster()) {
            write(file, engine, roster);
            Process first = serve(file, dir);
            Process second = null;
            try (BufferedReader log = first.inputReader(StandardCharsets.UTF_8);
                    Socket link = engine.accept()) {
                String listening = waitFor(log, "listening on ");
                attach(link, 0);
                hears(roster);
                write(file, nextEngine, nextRoster);
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
                    hears(nextRoster);
                    waitFor(nextLog, "listening on ");
                    signal(first, "TERM");
                    waitFor(log, "replaced by another process");
                    waitFor(log, "drained");
                    assertEquals(128 + 15, first.waitFor());
                    waitFor(nextLog, "connection limits restored: no other process");
                    // Its reports were all good ones, to the last.
                    roster.setSoTimeout(1);
                    assertThrows(
                            SocketTimeoutException.class,
                            () -> {
                                while (true) {
                                    hears(roster);
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
