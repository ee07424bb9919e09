package tinroad.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import tinroad.catalog.Catalog;
import tinroad.config.ConfigException;
import tinroad.config.GatewayConfig;
import tinroad.config.Site;

/**
 * Tests changes of classes and tenants while a process serves, on real sockets. The settings in
 * force are compared with the file by content hash.
 */
@Timeout(value = 150, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class SettingsInPlaceTest extends ConnectionRaceHarness {
    private static final String ORDER =
            "{\"name\": \"new-order\", \"objective\": 2500.0, \"deadline\": 6000.0, \"gain\": 3.0,"
                    + " \"late_share\": 0.2, \"semantics\": \"single_shot\"}";
    private static final String PAY =
            "{\"name\": \"pay\", \"objective\": 20000.0, \"deadline\": 60000.0, \"gain\": 3.0,"
                    + " \"late_share\": 0.2, \"semantics\": \"guarded\", \"key_ttl\": 60000.0}";
    private static final String ACME =
            "{\"name\": \"acme\", \"quota_per_s\": 89.0, \"share\": 1.0}";
    private static final String TOKEN = "0123456789abcdef0123456789abcdef";

    private String control;
    private String classes = ORDER;
    private String tenants = ACME;

    @BeforeEach
    void appliesOnReload() throws IOException {
        control = freeAddress();
        extraArguments =
                List.of(
                        "--operator",
                        Files.writeString(
                                        dir.resolve("operator.conf"),
                                        "catalog { apply = on-reload }")
                                .toString());
        editConfig =
                text ->
                        text.replace(ORDER, classes)
                                .replace(ACME, tenants)
                                .replace("127.0.0.1:0\", \"engine", control + "\", \"engine");
    }

    /** Returns an address with a free port. */
    static String freeAddress() throws IOException {
        try (ServerSocket port = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return "127.0.0.1:" + port.getLocalPort();
        }
    }

    /**
     * Rewrites the file with these classes, in addition to order-status, and these tenants, and
     * sends SIGHUP.
     */
    private void hangUp(String newClasses, String newTenants) throws Exception {
        classes = newClasses;
        tenants = newTenants;
        configure(1024, 4000);
        signal("HUP");
    }

    static JsonNode settings(String admin) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        ByteArrayOutputStream err = new ByteArrayOutputStream();
        int status =
                Main.run(
                        new String[] {
                            "figures", "--of", "settings", "--control", admin, "--output", "json"
                        },
                        InputStream.nullInputStream(),
                        new PrintStream(out, true, StandardCharsets.UTF_8),
                        new PrintStream(err, true, StandardCharsets.UTF_8));
        assertEquals(0, status, err::toString);
        return new ObjectMapper().readTree(out.toByteArray());
    }

    static String value(JsonNode settings, String name) {
        for (JsonNode row : settings) {
            if (row.path("what").asText().equals(name)) {
                return row.path("is").asText();
            }
        }
        throw new AssertionError("no " + name + " in " + settings);
    }

    private String valueInForce(String name) throws IOException {
        return value(settings(control), name);
    }

    /** Returns the number of requests read: those in flight and those already answered. */
    private long requestsRead() throws Exception {
        HttpRequest call =
                HttpRequest.newBuilder(URI.create("http://" + control + "/api/telemetry")).build();
        JsonNode figures =
                new ObjectMapper()
                        .readTree(
                                HttpClient.newHttpClient()
                                        .send(call, HttpResponse.BodyHandlers.ofString())
                                        .body());
        return figures.path("inflight").asLong()
                + Stream.of("success", "busy", "failure")
                        .mapToLong(what -> figures.path(what).path("new-order").asLong())
                        .sum();
    }

    /** Returns the content hash of the current file, as a start would read it. */
    private String contentHashOfFile() throws ConfigException {
        Site site = GatewayConfig.read(dir.resolve("config.json")).site();
        return Catalog.of(
                        0,
                        0,
                        site.classNames(),
                        site.settings().classes(),
                        site.tenantNames(),
                        site.settings().tenants())
                .contentHash();
    }

    private static String tenantTable(int from, int to, String quota) {
        return IntStream.range(from, to)
                        .mapToObj(
                                i ->
                                        "{\"name\": \"org"
                                                + i
                                                + "\", \"quota_per_s\": "
                                                + quota
                                                + ", \"share\": 0.001}")
                        .collect(Collectors.joining(","))
                + (from < to ? "," : "")
                + ACME;
    }

    private static String classTable(int n, String deadline) {
        return ORDER
                + IntStream.range(0, n)
                        .mapToObj(
                                i ->
                                        ",{\"name\": \"kind"
                                                + i
                                                + "\", \"objective\": 100, \"deadline\": "
                                                + deadline
                                                + ", \"gain\": 1, \"late_share\": 0, \"semantics\":"
                                                + " \"free\"}")
                        .collect(Collectors.joining());
    }

    @Test
    void aRunOfARemovedClassEndsAndANewClassOfANewTenantIsServed() throws Exception {
        InetSocketAddress address = start(1024, 4000);
        completesRuns = false;
        Socket running = connect(address, "127.0.0.1");
        running.getOutputStream().write(request(1, "new-order"));
        assertEquals(
                String.format("%016x", 1),
                receivedJobs.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
        hangUp(PAY, "{\"name\": \"globex\", \"quota_per_s\": 50, \"share\": 1}");
        assertTrue(
                awaitLog("settings in force: ")
                        .endsWith("epoch 0, number 1, 2 classes and 2 tenants changed"));
        assertEquals(contentHashOfFile(), valueInForce("hash"));
        assertEquals("1", valueInForce("number"));
        assertEquals("0", valueInForce("lag"));
        Socket caller = connect(address, "127.0.0.1");
        assertEquals("Status: 400 Bad Request", exchange(caller, 2, "new-order", "globex"));
        assertEquals("Status: 400 Bad Request", exchange(caller, 3, "order-status", "acme"));
        completesRuns = true;
        assertEquals("Status: 200 OK", exchange(caller, 4, "order-status", "globex"));
        caller.getOutputStream().write(request(5, "pay", "globex", TOKEN));
        assertEquals("Status: 200 OK", readResponseStatus(caller));
        done(String.format("%016x", 1));
        assertEquals("Status: 200 OK", readResponseStatus(running));
        assertEquals(3, 1 + receivedJobs.size());
    }

    @Test
    void queuedRequestsOfARemovedClassAreAnsweredAndNothingRunsTwice() throws Exception {
        InetSocketAddress address = start(1024, 4000);
        completesRuns = false;
        List<Socket> waiting = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            waiting.add(connect(address, "127.0.0.1"));
            waiting.get(i).getOutputStream().write(request(i + 1, "new-order"));
        }
        String first = receivedJobs.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        while (requestsRead() < waiting.size()) {
            Thread.sleep(10);
        }
        hangUp(PAY, ACME);
        awaitLog("settings in force: ");
        completesRuns = true;
        done(first);
        for (String job = receivedJobs.poll(); job != null; job = receivedJobs.poll()) {
            done(job);
        }
        int served = 0;
        for (Socket caller : waiting) {
            String status = readResponseStatus(caller);
            assertAnswered(status);
            served += status.equals("Status: 200 OK") ? 1 : 0;
        }
        assertTrue(served > 0);
        assertEquals("Status: 400 Bad Request", exchange(waiting.get(0), 100, "new-order", "acme"));
        assertEquals("Status: 200 OK", exchange(waiting.get(0), 101, "order-status", "acme"));
    }

    @Test
    void aDuplicateRequestOfARemovedClassNeverRunsAgain() throws Exception {
        classes = PAY;
        InetSocketAddress address = start(1024, 4000);
        Socket caller = connect(address, "127.0.0.1");
        caller.getOutputStream().write(request(1, "pay", "acme", TOKEN));
        assertEquals("Status: 200 OK", readResponseStatus(caller));
        hangUp(ORDER, ACME);
        awaitLog("settings in force: ");
        caller.getOutputStream().write(request(2, "pay", "acme", TOKEN));
        // The status must not be one that means that nothing ran.
        assertEquals("Status: 500 Internal Server Error", readResponseStatus(caller));
        caller.getOutputStream().write(request(3, "pay", "acme", TOKEN.replace('0', '1')));
        assertEquals("Status: 400 Bad Request", readResponseStatus(caller));
        hangUp(PAY, ACME);
        awaitLog("settings in force: ");
        caller.getOutputStream().write(request(4, "pay", "acme", TOKEN));
        assertEquals("Status: 200 OK", readResponseStatus(caller));
        assertEquals(1, receivedJobs.size());
    }

    @Test
    void anInvalidFileIsReportedAndTheLastValidOneStaysInForce() throws Exception {
        InetSocketAddress address = start(1024, 4000);
        hangUp(PAY, tenantTable(0, 5, "7"));
        awaitLog("settings in force: epoch 0, number 1, ");
        String good = valueInForce("hash");
        assertEquals("-", valueInForce("refusal"));
        hangUp(
                ORDER,
                tenantTable(0, 10_000, "7")
                        .replace(
                                "\"org4711\", \"quota_per_s\": 7",
                                "\"org4711\", \"quota_per_s\": -7"));
        String line = awaitLog("configuration kept: ");
        assertTrue(
                line.endsWith(
                        "configuration kept: config: settings: org org4711: quota_per_s has to be 0"
                                + " at least, not -7"),
                line);
        assertEquals(good, valueInForce("hash"));
        assertEquals(
                "config: settings: org org4711: quota_per_s has to be 0 at least, not -7",
                valueInForce("refusal"));
        assertEquals(
                "Status: 400 Bad Request",
                exchange(connect(address, "127.0.0.1"), 1, "new-order", "acme"));
        Files.writeString(
                dir.resolve("config.json"),
                "{\"name\": \"n3\", \"settings\": {\"classes\": [" + ORDER);
        signal("HUP");
        awaitLog("configuration kept: ");
        assertEquals(good, valueInForce("hash"));
        hangUp(ORDER, ACME);
        awaitLog("settings in force: epoch 0, number 2, ");
        assertEquals(contentHashOfFile(), valueInForce("hash"));
        assertEquals(
                "Status: 200 OK", exchange(connect(address, "127.0.0.1"), 2, "new-order", "acme"));
    }

    @Test
    void onePercentAndAllOfATableCanChangeAtOnceAndBeRestored() throws Exception {
        classes = classTable(2000, "500");
        tenants = tenantTable(0, 5000, "7");
        InetSocketAddress address = start(1024, 4000);
        String first = valueInForce("hash");
        hangUp(
                classTable(2000, "500"),
                tenantTable(0, 50, "8").replace(ACME, "") + tenantTable(50, 5000, "7"));
        awaitLog("settings in force: epoch 0, number 1, 0 classes and 50 tenants changed");
        assertEquals(contentHashOfFile(), valueInForce("hash"));
        hangUp(classTable(1, "900"), ACME);
        awaitLog("settings in force: epoch 0, number 2, 2000 classes and 5000 tenants changed");
        assertEquals(
                "Status: 400 Bad Request",
                exchange(connect(address, "127.0.0.1"), 1, "kind1999", "acme"));
        assertEquals("Status: 200 OK", exchange(connect(address, "127.0.0.1"), 2, "kind0", "acme"));
        hangUp(classTable(2000, "500"), tenantTable(0, 5000, "7"));
        awaitLog("settings in force: epoch 0, number 3, 2000 classes and 5000 tenants changed");
        assertEquals(first, valueInForce("hash"));
        assertEquals(
                "Status: 200 OK",
                exchange(connect(address, "127.0.0.1"), 3, "kind1999", "org4999"));
    }

    @Test
    void aChangeDuringTheDrainTakesEffectAndTheProcessEnds() throws Exception {
        InetSocketAddress address = start(1024, 4000);
        completesRuns = false;
        Socket running = connect(address, "127.0.0.1");
        running.getOutputStream().write(request(1, "new-order"));
        receivedJobs.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        signal("TERM");
        awaitLog("draining: ");
        hangUp(PAY, ACME);
        awaitLog("settings in force: ");
        done(String.format("%016x", 1));
        assertEquals("Status: 200 OK", readResponseStatus(running));
        awaitLog("drained");
        assertEquals(128 + 15, gateway.waitFor());
    }

    @Test
    void aChangeWhileTheEngineIsAwayIsInForceWhenTheControllerStarts() throws Exception {
        helloPermits.drainPermits();
        InetSocketAddress address = startListening(1024, 4000);
        hangUp(PAY, tenantTable(0, 300, "7"));
        awaitLog("settings in force: epoch 0, number 1, 2 classes and 300 tenants changed");
        helloPermits.release(100);
        awaitLog("health good");
        Socket caller = connect(address, "127.0.0.1");
        caller.getOutputStream().write(request(1, "pay", "org299", TOKEN));
        assertEquals("Status: 200 OK", readResponseStatus(caller));
        assertEquals("Status: 400 Bad Request", exchange(caller, 2, "new-order", "acme"));
    }

    @Test
    void aChangeDuringTheWarmUpIsInForceFromTheFirstRequestOn() throws Exception {
        extraArguments =
                List.of(
                        "--operator",
                        Files.writeString(
                                        dir.resolve("operator.conf"),
                                        "catalog { apply = on-reload }\n"
                                                + "log.levels { server = debug }")
                                .toString());
        launch(1024, 4000);
        awaitLog("server - JIT warm-up started");
        hangUp(PAY, tenantTable(0, 300, "7"));
        InetSocketAddress address = awaitListening();
        awaitLog("health good");
        while (!valueInForce("hash").equals(contentHashOfFile())) {
            Thread.sleep(10);
        }
        Socket caller = connect(address, "127.0.0.1");
        caller.getOutputStream().write(request(1, "pay", "org299", TOKEN));
        assertEquals("Status: 200 OK", readResponseStatus(caller));
        assertEquals("Status: 400 Bad Request", exchange(caller, 2, "new-order", "acme"));
    }

    @Test
    void changesThatNeedARestartAreReportedInOneLine() throws Exception {
        start(1024, 4000);
        editConfig =
                editConfig.andThen(
                                text ->
                                        text.replace("\"stop_ms\": 4000", "\"stop_ms\": 4001")
                                                .replace("\"servers\": 12", "\"servers\": 13"))
                        ::apply;
        hangUp(PAY, ACME);
        awaitLog("takes effect at the next start: stop_ms, settings.servers");
    }

    @Test
    void withoutAnOperatorFileClassesAndTenantsChangeAtTheNextStart() throws Exception {
        extraArguments = List.of();
        InetSocketAddress address = start(1024, 4000);
        String before = valueInForce("hash");
        hangUp(PAY, ACME);
        awaitLog("takes effect at the next start: settings.classes and settings.orgs: 2 differ");
        awaitLog("configuration read again: engine ");
        assertEquals(before, valueInForce("hash"));
        assertEquals(
                "Status: 200 OK", exchange(connect(address, "127.0.0.1"), 1, "new-order", "acme"));
    }

    @Test
    void aProcessThatTakesOverAgreesWithTheOneThatServedAndBothFollowTheFile() throws Exception {
        InetSocketAddress address = start(1024, 4000);
        hangUp(PAY, tenantTable(0, 1000, "7"));
        awaitLog("settings in force: epoch 0, number 1, ");
        String firstControl = control;
        Process first = gateway;
        control = freeAddress();
        editConfig =
                editConfig.andThen(
                                text ->
                                        text.replace(
                                                "\"listen\": \"127.0.0.1:0\"",
                                                "\"listen\": \"127.0.0.1:"
                                                        + address.getPort()
                                                        + "\""))
                        ::apply;
        try {
            startListening(1024, 4000);
            assertEquals(value(settings(firstControl), "hash"), valueInForce("hash"));
            Process second = gateway;
            hangUp(classTable(500, "700"), tenantTable(500, 2000, "7"));
            awaitLog("settings in force: ");
            gateway = first;
            signal("HUP");
            awaitLog("settings in force: ");
            gateway = second;
            assertEquals(contentHashOfFile(), value(settings(firstControl), "hash"));
            assertEquals(contentHashOfFile(), valueInForce("hash"));
            assertEquals(
                    "Status: 200 OK",
                    exchange(connect(address, "127.0.0.1"), 1, "kind499", "org1999"));
            gateway = first;
            signal("TERM");
            awaitLog("replaced by another process");
            awaitLog("drained");
            assertEquals(128 + 15, first.waitFor());
            gateway = second;
            assertEquals(
                    "Status: 200 OK", exchange(connect(address, "127.0.0.1"), 2, "kind0", "acme"));
        } finally {
            first.destroyForcibly();
        }
    }
}
