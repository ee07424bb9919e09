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
 * Classes and tenants that change while a process serves, on real sockets; what the file says is
 * told by the hash of its content.
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
        control = free();
        more =
                List.of(
                        "--operator",
                        Files.writeString(
                                        dir.resolve("operator.conf"),
                                        "catalog { apply = on-reload }")
                                .toString());
        configured =
                text ->
                        text.replace(ORDER, classes)
                                .replace(ACME, tenants)
                                .replace("127.0.0.1:0\", \"engine", control + "\", \"engine");
    }

    static String free() throws IOException {
        try (ServerSocket port = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return "127.0.0.1:" + port.getLocalPort();
        }
    }

    /**
     * Rewrites the file with these classes, beside order-status, and tenants, and has the process
     * read it.
     */
    private void hangUp(String newClasses, String newTenants) throws Exception {
        classes = newClasses;
        tenants = newTenants;
        configure(1024, 4000);
        signal("HUP");
    }

    static JsonNode settings(String door) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        ByteArrayOutputStream err = new ByteArrayOutputStream();
        int status =
                Main.run(
                        new String[] {
                            "figures", "--of", "settings", "--control", door, "--output", "json"
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

    private String inForce(String name) throws IOException {
        return value(settings(control), name);
    }

    /** How many it has read: those that wait, and those that were turned away at once. */
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

    /** Of the file as it is now, as a start would read it. */
    private String hashOfTheFile() throws ConfigException {
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

    private static String orgs(int from, int to, String quota) {
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

    private static String kinds(int n, String deadline) {
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
    void whatRunsUnderARemovedClassEndsAndANewClassOfANewTenantIsServed() throws Exception {
        InetSocketAddress at = start(1024, 4000);
        runsEnd = false;
        Socket running = connect(at, "127.0.0.1");
        running.getOutputStream().write(request(1, "new-order"));
        assertEquals(String.format("%016x", 1), runs.poll(HUNG_MS, TimeUnit.MILLISECONDS));
        hangUp(PAY, "{\"name\": \"globex\", \"quota_per_s\": 50, \"share\": 1}");
        assertTrue(
                logged("settings in force: ")
                        .endsWith("epoch 0, number 1, 2 classes and 2 tenants changed"));
        assertEquals(hashOfTheFile(), inForce("hash"));
        assertEquals("1", inForce("number"));
        assertEquals("0", inForce("lag"));
        Socket caller = connect(at, "127.0.0.1");
        assertEquals("Status: 400 Bad Request", ask(caller, 2, "new-order", "globex"));
        assertEquals("Status: 400 Bad Request", ask(caller, 3, "order-status", "acme"));
        runsEnd = true;
        assertEquals("Status: 200 OK", ask(caller, 4, "order-status", "globex"));
        caller.getOutputStream().write(request(5, "pay", "globex", TOKEN));
        assertEquals("Status: 200 OK", answer(caller));
        done(String.format("%016x", 1));
        assertEquals("Status: 200 OK", answer(running));
        assertEquals(3, 1 + runs.size());
    }

    @Test
    void whatWaitsUnderARemovedClassIsAnsweredAndNothingRunsTwice() throws Exception {
        InetSocketAddress at = start(1024, 4000);
        runsEnd = false;
        List<Socket> waiting = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            waiting.add(connect(at, "127.0.0.1"));
            waiting.get(i).getOutputStream().write(request(i + 1, "new-order"));
        }
        String first = runs.poll(HUNG_MS, TimeUnit.MILLISECONDS);
        while (requestsRead() < waiting.size()) {
            Thread.sleep(10);
        }
        hangUp(PAY, ACME);
        logged("settings in force: ");
        runsEnd = true;
        done(first);
        for (String job = runs.poll(); job != null; job = runs.poll()) {
            done(job);
        }
        int served = 0;
        for (Socket caller : waiting) {
            String status = answer(caller);
            isAnswered(status);
            served += status.equals("Status: 200 OK") ? 1 : 0;
        }
        assertTrue(served > 0);
        assertEquals("Status: 400 Bad Request", ask(waiting.get(0), 100, "new-order", "acme"));
        assertEquals("Status: 200 OK", ask(waiting.get(0), 101, "order-status", "acme"));
    }

    @Test
    void whatIsKeptForRepeatsOfARemovedClassNeverRunsAgain() throws Exception {
        classes = PAY;
        InetSocketAddress at = start(1024, 4000);
        Socket caller = connect(at, "127.0.0.1");
        caller.getOutputStream().write(request(1, "pay", "acme", TOKEN));
        assertEquals("Status: 200 OK", answer(caller));
        hangUp(ORDER, ACME);
        logged("settings in force: ");
        caller.getOutputStream().write(request(2, "pay", "acme", TOKEN));
        // Not one that tells that nothing ran.
        assertEquals("Status: 500 Internal Server Error", answer(caller));
        caller.getOutputStream().write(request(3, "pay", "acme", TOKEN.replace('0', '1')));
        assertEquals("Status: 400 Bad Request", answer(caller));
        hangUp(PAY, ACME);
        logged("settings in force: ");
        caller.getOutputStream().write(request(4, "pay", "acme", TOKEN));
        assertEquals("Status: 200 OK", answer(caller));
        assertEquals(1, runs.size());
    }

    @Test
    void aBadFileKeepsTheLastGoodOneWholeAndIsTold() throws Exception {
        InetSocketAddress at = start(1024, 4000);
        hangUp(PAY, orgs(0, 5, "7"));
        logged("settings in force: epoch 0, number 1, ");
        String good = inForce("hash");
        assertEquals("-", inForce("refusal"));
        hangUp(
                ORDER,
                orgs(0, 10_000, "7")
                        .replace(
                                "\"org4711\", \"quota_per_s\": 7",
                                "\"org4711\", \"quota_per_s\": -7"));
        String told = logged("configuration kept: ");
        assertTrue(
                told.endsWith(
                        "configuration kept: config: settings: org org4711: quota_per_s has to be 0"
                                + " at least, not -7"),
                told);
        assertEquals(good, inForce("hash"));
        assertEquals(
                "config: settings: org org4711: quota_per_s has to be 0 at least, not -7",
                inForce("refusal"));
        assertEquals(
                "Status: 400 Bad Request", ask(connect(at, "127.0.0.1"), 1, "new-order", "acme"));
        Files.writeString(
                dir.resolve("config.json"),
                "{\"name\": \"n3\", \"settings\": {\"classes\": [" + ORDER);
        signal("HUP");
        logged("configuration kept: ");
        assertEquals(good, inForce("hash"));
        hangUp(ORDER, ACME);
        logged("settings in force: epoch 0, number 2, ");
        assertEquals(hashOfTheFile(), inForce("hash"));
        assertEquals("Status: 200 OK", ask(connect(at, "127.0.0.1"), 2, "new-order", "acme"));
    }

    @Test
    void onePartInAHundredAndAllOfATableChangeAtOnceAndTheOldOneComesBack() throws Exception {
        classes = kinds(2000, "500");
        tenants = orgs(0, 5000, "7");
        InetSocketAddress at = start(1024, 4000);
        String first = inForce("hash");
        hangUp(kinds(2000, "500"), orgs(0, 50, "8").replace(ACME, "") + orgs(50, 5000, "7"));
        logged("settings in force: epoch 0, number 1, 0 classes and 50 tenants changed");
        assertEquals(hashOfTheFile(), inForce("hash"));
        hangUp(kinds(1, "900"), ACME);
        logged("settings in force: epoch 0, number 2, 2000 classes and 5000 tenants changed");
        assertEquals(
                "Status: 400 Bad Request", ask(connect(at, "127.0.0.1"), 1, "kind1999", "acme"));
        assertEquals("Status: 200 OK", ask(connect(at, "127.0.0.1"), 2, "kind0", "acme"));
        hangUp(kinds(2000, "500"), orgs(0, 5000, "7"));
        logged("settings in force: epoch 0, number 3, 2000 classes and 5000 tenants changed");
        assertEquals(first, inForce("hash"));
        assertEquals("Status: 200 OK", ask(connect(at, "127.0.0.1"), 3, "kind1999", "org4999"));
    }

    @Test
    void aChangeDuringTheDrainCountsAndTheProcessEnds() throws Exception {
        InetSocketAddress at = start(1024, 4000);
        runsEnd = false;
        Socket running = connect(at, "127.0.0.1");
        running.getOutputStream().write(request(1, "new-order"));
        runs.poll(HUNG_MS, TimeUnit.MILLISECONDS);
        signal("TERM");
        logged("draining: ");
        hangUp(PAY, ACME);
        logged("settings in force: ");
        done(String.format("%016x", 1));
        assertEquals("Status: 200 OK", answer(running));
        logged("drained");
        assertEquals(128 + 15, gateway.waitFor());
    }

    @Test
    void aChangeWhileTheEngineIsAwayIsWhatTheModuleBeginsWith() throws Exception {
        hellos.drainPermits();
        InetSocketAddress at = listens(1024, 4000);
        hangUp(PAY, orgs(0, 300, "7"));
        logged("settings in force: epoch 0, number 1, 2 classes and 300 tenants changed");
        hellos.release(100);
        logged("health good");
        Socket caller = connect(at, "127.0.0.1");
        caller.getOutputStream().write(request(1, "pay", "org299", TOKEN));
        assertEquals("Status: 200 OK", answer(caller));
        assertEquals("Status: 400 Bad Request", ask(caller, 2, "new-order", "acme"));
    }

    @Test
    void aChangeDuringTheRehearsalCountsFromTheFirstRequestOn() throws Exception {
        more =
                List.of(
                        "--operator",
                        Files.writeString(
                                        dir.resolve("operator.conf"),
                                        "catalog { apply = on-reload }\n"
                                                + "log.levels { server = debug }")
                                .toString());
        launch(1024, 4000);
        logged("server - JIT warm-up started");
        hangUp(PAY, orgs(0, 300, "7"));
        InetSocketAddress at = listening();
        logged("health good");
        while (!inForce("hash").equals(hashOfTheFile())) {
            Thread.sleep(10);
        }
        Socket caller = connect(at, "127.0.0.1");
        caller.getOutputStream().write(request(1, "pay", "org299", TOKEN));
        assertEquals("Status: 200 OK", answer(caller));
        assertEquals("Status: 400 Bad Request", ask(caller, 2, "new-order", "acme"));
    }

    @Test
    void whatCanNotChangeInPlaceIsToldInOneLine() throws Exception {
        start(1024, 4000);
        configured =
                configured.andThen(
                                text ->
                                        text.replace("\"stop_ms\": 4000", "\"stop_ms\": 4001")
                                                .replace("\"servers\": 12", "\"servers\": 13"))
                        ::apply;
        hangUp(PAY, ACME);
        logged("takes effect at the next start: stop_ms, settings.servers");
    }

    @Test
    void withoutAWordOfTheOperatorsClassesAndTenantsWaitForTheNextStart() throws Exception {
        more = List.of();
        InetSocketAddress at = start(1024, 4000);
        String before = inForce("hash");
        hangUp(PAY, ACME);
        logged("takes effect at the next start: settings.classes and settings.orgs: 2 differ");
        logged("configuration read again: engine ");
        assertEquals(before, inForce("hash"));
        assertEquals("Status: 200 OK", ask(connect(at, "127.0.0.1"), 1, "new-order", "acme"));
    }

    @Test
    void aProcessThatTakesOverAgreesWithTheOneThatServedAndBothFollowTheFile() throws Exception {
        InetSocketAddress at = start(1024, 4000);
        hangUp(PAY, orgs(0, 1000, "7"));
        logged("settings in force: epoch 0, number 1, ");
        String own = control;
        Process first = gateway;
        control = free();
        configured =
                configured.andThen(
                                text ->
                                        text.replace(
                                                "\"listen\": \"127.0.0.1:0\"",
                                                "\"listen\": \"127.0.0.1:" + at.getPort() + "\""))
                        ::apply;
        try {
            listens(1024, 4000);
            assertEquals(value(settings(own), "hash"), inForce("hash"));
            Process second = gateway;
            hangUp(kinds(500, "700"), orgs(500, 2000, "7"));
            logged("settings in force: ");
            gateway = first;
            signal("HUP");
            logged("settings in force: ");
            gateway = second;
            assertEquals(hashOfTheFile(), value(settings(own), "hash"));
            assertEquals(hashOfTheFile(), inForce("hash"));
            assertEquals("Status: 200 OK", ask(connect(at, "127.0.0.1"), 1, "kind499", "org1999"));
            gateway = first;
            signal("TERM");
            logged("replaced by another process");
            logged("drained");
            assertEquals(128 + 15, first.waitFor());
            gateway = second;
            assertEquals("Status: 200 OK", ask(connect(at, "127.0.0.1"), 2, "kind0", "acme"));
        } finally {
            first.destroyForcibly();
        }
    }
}
