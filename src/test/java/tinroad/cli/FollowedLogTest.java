package tinroad.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import tinroad.Program;
import tinroad.catalog.Catalog;
import tinroad.catalog.CatalogBuilder;
import tinroad.catalog.CatalogChange;
import tinroad.changelog.ChangeLogStore;
import tinroad.config.ConfigException;
import tinroad.config.GatewayConfig;
import tinroad.config.Site;
import tinroad.overload.Controller.Idempotency;
import tinroad.overload.Controller.RequestClass;
import tinroad.overload.Controller.Tenant;

/**
 * Tests a process that follows a change log: while changes are published, after a kill, a restart
 * and a takeover, and after the log was damaged or rolled back.
 */
@Timeout(value = 900, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class FollowedLogTest extends ConnectionRaceHarness {
    private static final RequestClass PAY =
            new RequestClass(20_000, 0, 60_000, 3, 0.2, Idempotency.NON_IDEMPOTENT, 0, false, 0);

    private Path changeLog;
    private String control;

    @BeforeEach
    void followAChangeLog() throws IOException {
        changeLog = Files.createDirectory(dir.resolve("changes"));
        control = SettingsInPlaceTest.freeAddress();
        writeOperatorFile("");
        editConfig = text -> text.replace("127.0.0.1:0\", \"engine", control + "\", \"engine");
    }

    private void writeOperatorFile(String furtherSettings) throws IOException {
        super.extraArguments =
                List.of(
                        "--operator",
                        Files.writeString(
                                        dir.resolve("operator.conf"),
                                        "catalog { log = changes, poll = 20ms }\n"
                                                + furtherSettings)
                                .toString());
    }

    /** Publishes consecutive changes and computes the content hash after each. */
    private static final class Publisher {
        private final ChangeLogStore folder;
        private final CatalogBuilder editor;

        Publisher(Path folder, Path file) throws ConfigException {
            this.folder = new ChangeLogStore(folder, ChangeLogStore.DEFAULT_KEPT_CHANGES);
            Site site = GatewayConfig.read(file).site();
            editor =
                    new CatalogBuilder(
                            Catalog.of(
                                    0,
                                    0,
                                    site.classNames(),
                                    site.settings().classes(),
                                    site.tenantNames(),
                                    site.settings().tenants()));
        }

        String publish(
                Map<String, RequestClass> put, Set<String> removed, Map<String, Tenant> tenants)
                throws IOException {
            Catalog current = editor.current();
            CatalogChange withoutHashes =
                    new CatalogChange(
                            1,
                            current.epoch() == 0 ? 1 : current.number() + 1,
                            put,
                            removed,
                            tenants,
                            Set.of());
            CatalogChange complete =
                    new CatalogChange(
                            1,
                            withoutHashes.number(),
                            put,
                            removed,
                            tenants,
                            Set.of(),
                            current.contentHash(),
                            current.hashAfter(withoutHashes));
            folder.append(complete);
            assertTrue(editor.apply(complete) instanceof CatalogBuilder.ChangeResult.Applied);
            return editor.current().contentHash();
        }
    }

    private static Map<String, Tenant> tenants(int n, double quota) {
        Map<String, Tenant> all = new HashMap<>();
        IntStream.range(0, n).forEach(i -> all.put("org" + i, new Tenant(quota, 0.0001)));
        return all;
    }

    private void awaitHash(String admin, String hash) throws Exception {
        while (!SettingsInPlaceTest.value(SettingsInPlaceTest.settings(admin), "hash")
                .equals(hash)) {
            Thread.sleep(10);
        }
    }

    @Test
    void publishedChangesApplyWithoutASignalAndARestartCatchesUp() throws Exception {
        InetSocketAddress address = start(1024, 4000);
        Publisher publisher = new Publisher(changeLog, dir.resolve("config.json"));
        awaitHash(
                control,
                publisher.publish(Map.of("pay", PAY), Set.of("new-order"), tenants(3000, 5)));
        assertEquals(
                "1", SettingsInPlaceTest.value(SettingsInPlaceTest.settings(control), "number"));
        assertEquals(
                "Status: 200 OK", exchange(connect(address, "127.0.0.1"), 1, "pay", "org2999"));
        assertEquals(
                "Status: 400 Bad Request",
                exchange(connect(address, "127.0.0.1"), 2, "new-order", "acme"));
        for (int i = 0; i < 40; i++) {
            publisher.publish(Map.of(), Set.of(), tenants(1 + i, i));
        }
        String newest = publisher.publish(Map.of(), Set.of(), Map.of("last", new Tenant(1, 0)));
        awaitHash(control, newest);
        gateway.destroyForcibly().waitFor();
        start(1024, 4000);
        awaitHash(control, newest);
        assertEquals(
                "42", SettingsInPlaceTest.value(SettingsInPlaceTest.settings(control), "number"));
    }

    @Test
    void aDamagedChangeIsReportedOnceAndOnceItIsCompleteTheLogIsFollowed() throws Exception {
        start(1024, 4000);
        Publisher publisher = new Publisher(changeLog, dir.resolve("config.json"));
        String first = publisher.publish(Map.of("pay", PAY), Set.of(), Map.of());
        awaitHash(control, first);
        Path aside = Files.createDirectory(dir.resolve("aside"));
        Publisher other = new Publisher(aside, dir.resolve("config.json"));
        other.publish(Map.of("pay", PAY), Set.of(), Map.of());
        String second = other.publish(Map.of(), Set.of("new-order"), Map.of());
        Path completeFile = newest(aside);
        byte[] bytes = Files.readAllBytes(completeFile);
        Path cut = changeLog.resolve(completeFile.getFileName());
        Files.write(cut, Arrays.copyOf(bytes, bytes.length / 2));
        String line = awaitLog("change 1-2 is damaged");
        assertTrue(line.contains("[WARN] catalog - change log "), line);
        assertEquals(
                first, SettingsInPlaceTest.value(SettingsInPlaceTest.settings(control), "hash"));
        assertTrue(
                SettingsInPlaceTest.value(SettingsInPlaceTest.settings(control), "refusal")
                        .contains("change 1-2 is damaged"));
        Files.write(cut, bytes);
        awaitHash(control, second);
    }

    private static Path newest(Path folder) throws IOException {
        try (Stream<Path> all = Files.list(folder)) {
            return all.max(Comparator.naturalOrder()).orElseThrow();
        }
    }

    /**
     * The stored state has the position reached, so that a rollback is reported after a restart.
     */
    @Test
    void aRollbackOfTheLogWhileTheProcessWasDownIsReported() throws Exception {
        writeOperatorFile("state { folder = kept, every = 100ms }");
        start(1024, 4000);
        Publisher publisher = new Publisher(changeLog, dir.resolve("config.json"));
        String first = publisher.publish(Map.of("pay", PAY), Set.of(), Map.of());
        Path remaining = newest(changeLog);
        awaitHash(control, publisher.publish(Map.of(), Set.of("new-order"), Map.of()));
        signal("TERM");
        assertEquals(128 + 15, gateway.waitFor());
        try (Stream<Path> all = Files.list(changeLog)) {
            for (Path file : all.filter(p -> !p.equals(remaining)).toList()) {
                Files.delete(file);
            }
        }
        start(1024, 4000);
        awaitHash(control, first);
        while (!SettingsInPlaceTest.value(SettingsInPlaceTest.settings(control), "refusal")
                .endsWith("was rolled back: 1-2 was taken, and the newest is 1-1")) {
            Thread.sleep(10);
        }
    }

    @Test
    void aProcessThatTakesOverFollowsTheSameLog() throws Exception {
        InetSocketAddress address = start(1024, 4000);
        Publisher publisher = new Publisher(changeLog, dir.resolve("config.json"));
        String firstControl = control;
        Process first = gateway;
        publisher.publish(Map.of("pay", PAY), Set.of("new-order"), tenants(2000, 5));
        control = SettingsInPlaceTest.freeAddress();
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
            String newest = publisher.publish(Map.of(), Set.of(), tenants(2000, 6));
            awaitHash(firstControl, newest);
            awaitHash(control, newest);
            assertEquals(
                    SettingsInPlaceTest.value(SettingsInPlaceTest.settings(firstControl), "number"),
                    SettingsInPlaceTest.value(SettingsInPlaceTest.settings(control), "number"));
        } finally {
            first.destroyForcibly().waitFor();
        }
    }

    /**
     * Each incarnation applies the whole log again and is killed meanwhile. None may report damage,
     * and the last one has to reach the newest change of the log.
     */
    @Test
    void afterFiftyKillsWhileApplyingTheLogItReachesTheNewestChange() throws Exception {
        Path file = configure(1024, 4000);
        Publisher publisher = new Publisher(changeLog, file);
        String hash = null;
        for (int i = 0; i < 20; i++) {
            hash = publisher.publish(Map.of(), Set.of(), tenants(500 + i, i));
        }
        String newest = hash;
        ExecutorService executor = Executors.newFixedThreadPool(4);
        try {
            List<Future<Void>> all =
                    IntStream.range(0, 5)
                            .mapToObj(
                                    chain ->
                                            executor.submit(
                                                    (Callable<Void>)
                                                            () -> {
                                                                Random random = new Random(chain);
                                                                for (int incarnation = 1;
                                                                        incarnation <= 10;
                                                                        incarnation++) {
                                                                    runUntilKilled(
                                                                            chain,
                                                                            incarnation,
                                                                            random.nextInt(400),
                                                                            null);
                                                                }
                                                                runUntilKilled(
                                                                        chain, 11, -1, newest);
                                                                return null;
                                                            }))
                            .toList();
            for (Future<Void> chain : all) {
                chain.get();
            }
        } finally {
            executor.shutdownNow();
        }
    }

    /**
     * Starts a process and kills it.
     *
     * @param killAfterMillis when to kill it, after it listens; not used if {@code newest} is given
     * @param newest the content hash that it has to reach before it is killed; or null
     */
    private void runUntilKilled(int chain, int incarnation, int killAfterMillis, String newest)
            throws Exception {
        Path folder = Files.createDirectories(dir.resolve("chain" + chain));
        String admin = SettingsInPlaceTest.freeAddress();
        Path file =
                Files.writeString(
                        folder.resolve("config.json"),
                        Files.readString(dir.resolve("config.json")).replace(control, admin));
        Path operatorFile =
                Files.writeString(
                        folder.resolve("operator.conf"),
                        "catalog { log = \""
                                + changeLog
                                + "\", poll = 10ms }\n"
                                + "state { folder = kept, every = 100ms }\n");
        ProcessBuilder builder =
                new ProcessBuilder(
                                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                                "-XX:TieredStopAtLevel=1",
                                "-XX:+UseSerialGC",
                                "-Xmx64m",
                                "-cp",
                                Program.CLASS_PATH,
                                Main.class.getName(),
                                "serve",
                                "--config",
                                file.toString(),
                                "--operator",
                                operatorFile.toString())
                        .redirectErrorStream(true);
        builder.environment().put("TMPDIR", folder.toString());
        Process process = builder.start();
        try (BufferedReader lines = process.inputReader(StandardCharsets.UTF_8)) {
            StringBuilder all = new StringBuilder();
            for (String line = lines.readLine();
                    line != null && !line.contains("listening on");
                    line = lines.readLine()) {
                all.append(line).append('\n');
            }
            assertTrue(
                    all.toString().contains("incarnation " + incarnation + " started "),
                    all::toString);
            if (newest == null) {
                Thread.sleep(killAfterMillis);
            } else {
                awaitHash(admin, newest);
            }
            // Killed with kill(1), because Process.destroy closes the stream of its output.
            assertEquals(
                    0,
                    new ProcessBuilder("kill", "-KILL", Long.toString(process.pid()))
                            .start()
                            .waitFor());
            lines.lines().forEach(line -> all.append(line).append('\n'));
            assertFalse(
                    all.toString()
                            .matches(
                                    "(?s).*(\\[WARN] catalog|rolled back|damaged|Exception|set"
                                            + " aside).*"),
                    all::toString);
        } finally {
            process.destroyForcibly();
        }
    }
}
