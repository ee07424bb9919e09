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
 * A process that follows a change log, killed, restarted, taken over, and the log damaged and put
 * back meanwhile.
 */
@Timeout(value = 900, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class FollowedLogTest extends ConnectionRaceHarness {
    private static final RequestClass PAY =
            new RequestClass(20_000, 0, 60_000, 3, 0.2, Idempotency.NON_IDEMPOTENT, 0, false, 0);

    private Path changeLog;
    private String control;

    @BeforeEach
    void followsALog() throws IOException {
        changeLog = Files.createDirectory(dir.resolve("changes"));
        control = SettingsInPlaceTest.free();
        operator("");
        configured = text -> text.replace("127.0.0.1:0\", \"engine", control + "\", \"engine");
    }

    private void operator(String more) throws IOException {
        super.more =
                List.of(
                        "--operator",
                        Files.writeString(
                                        dir.resolve("operator.conf"),
                                        "catalog { log = changes, poll = 20ms }\n" + more)
                                .toString());
    }

    /** Writes one change after the other, and knows what each leads to. */
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
            Catalog now = editor.current();
            CatalogChange bare =
                    new CatalogChange(
                            1,
                            now.epoch() == 0 ? 1 : now.number() + 1,
                            put,
                            removed,
                            tenants,
                            Set.of());
            CatalogChange whole =
                    new CatalogChange(
                            1,
                            bare.number(),
                            put,
                            removed,
                            tenants,
                            Set.of(),
                            now.contentHash(),
                            now.hashAfter(bare));
            folder.append(whole);
            assertTrue(editor.apply(whole) instanceof CatalogBuilder.ChangeResult.Applied);
            return editor.current().contentHash();
        }
    }

    private static Map<String, Tenant> tenants(int n, double quota) {
        Map<String, Tenant> all = new HashMap<>();
        IntStream.range(0, n).forEach(i -> all.put("org" + i, new Tenant(quota, 0.0001)));
        return all;
    }

    private void reaches(String door, String hash) throws Exception {
        while (!SettingsInPlaceTest.value(SettingsInPlaceTest.settings(door), "hash")
                .equals(hash)) {
            Thread.sleep(10);
        }
    }

    @Test
    void whatIsPublishedCountsWithoutASignalAndARestartCatchesUp() throws Exception {
        InetSocketAddress at = start(1024, 4000);
        Publisher publisher = new Publisher(changeLog, dir.resolve("config.json"));
        reaches(
                control,
                publisher.publish(Map.of("pay", PAY), Set.of("new-order"), tenants(3000, 5)));
        assertEquals(
                "1", SettingsInPlaceTest.value(SettingsInPlaceTest.settings(control), "number"));
        assertEquals("Status: 200 OK", ask(connect(at, "127.0.0.1"), 1, "pay", "org2999"));
        assertEquals(
                "Status: 400 Bad Request", ask(connect(at, "127.0.0.1"), 2, "new-order", "acme"));
        for (int i = 0; i < 40; i++) {
            publisher.publish(Map.of(), Set.of(), tenants(1 + i, i));
        }
        String newest = publisher.publish(Map.of(), Set.of(), Map.of("last", new Tenant(1, 0)));
        reaches(control, newest);
        gateway.destroyForcibly().waitFor();
        start(1024, 4000);
        reaches(control, newest);
        assertEquals(
                "42", SettingsInPlaceTest.value(SettingsInPlaceTest.settings(control), "number"));
    }

    @Test
    void aDamagedChangeIsToldOnceAndOnceItIsWholeTheLogGoesOn() throws Exception {
        start(1024, 4000);
        Publisher publisher = new Publisher(changeLog, dir.resolve("config.json"));
        String first = publisher.publish(Map.of("pay", PAY), Set.of(), Map.of());
        reaches(control, first);
        Path aside = Files.createDirectory(dir.resolve("aside"));
        Publisher other = new Publisher(aside, dir.resolve("config.json"));
        other.publish(Map.of("pay", PAY), Set.of(), Map.of());
        String second = other.publish(Map.of(), Set.of("new-order"), Map.of());
        Path whole = newest(aside);
        byte[] bytes = Files.readAllBytes(whole);
        Path cut = changeLog.resolve(whole.getFileName());
        Files.write(cut, Arrays.copyOf(bytes, bytes.length / 2));
        String told = logged("change 1-2 is damaged");
        assertTrue(told.contains("[WARN] catalog - change log "), told);
        assertEquals(
                first, SettingsInPlaceTest.value(SettingsInPlaceTest.settings(control), "hash"));
        assertTrue(
                SettingsInPlaceTest.value(SettingsInPlaceTest.settings(control), "refusal")
                        .contains("change 1-2 is damaged"));
        Files.write(cut, bytes);
        reaches(control, second);
    }

    private static Path newest(Path folder) throws IOException {
        try (Stream<Path> all = Files.list(folder)) {
            return all.max(Comparator.naturalOrder()).orElseThrow();
        }
    }

    /** Its state remembers what it had: it does not go back in silence. */
    @Test
    void aLogThatWasRolledBackWhileItWasDownIsTold() throws Exception {
        operator("state { folder = kept, every = 100ms }");
        start(1024, 4000);
        Publisher publisher = new Publisher(changeLog, dir.resolve("config.json"));
        String first = publisher.publish(Map.of("pay", PAY), Set.of(), Map.of());
        Path kept = newest(changeLog);
        reaches(control, publisher.publish(Map.of(), Set.of("new-order"), Map.of()));
        signal("TERM");
        assertEquals(128 + 15, gateway.waitFor());
        try (Stream<Path> all = Files.list(changeLog)) {
            for (Path file : all.filter(p -> !p.equals(kept)).toList()) {
                Files.delete(file);
            }
        }
        start(1024, 4000);
        reaches(control, first);
        while (!SettingsInPlaceTest.value(SettingsInPlaceTest.settings(control), "refusal")
                .endsWith("was rolled back: 1-2 was taken, and the newest is 1-1")) {
            Thread.sleep(10);
        }
    }

    @Test
    void aProcessThatTakesOverFollowsTheSameLog() throws Exception {
        InetSocketAddress at = start(1024, 4000);
        Publisher publisher = new Publisher(changeLog, dir.resolve("config.json"));
        String own = control;
        Process first = gateway;
        publisher.publish(Map.of("pay", PAY), Set.of("new-order"), tenants(2000, 5));
        control = SettingsInPlaceTest.free();
        configured =
                configured.andThen(
                                text ->
                                        text.replace(
                                                "\"listen\": \"127.0.0.1:0\"",
                                                "\"listen\": \"127.0.0.1:" + at.getPort() + "\""))
                        ::apply;
        try {
            listens(1024, 4000);
            String newest = publisher.publish(Map.of(), Set.of(), tenants(2000, 6));
            reaches(own, newest);
            reaches(control, newest);
            assertEquals(
                    SettingsInPlaceTest.value(SettingsInPlaceTest.settings(own), "number"),
                    SettingsInPlaceTest.value(SettingsInPlaceTest.settings(control), "number"));
        } finally {
            first.destroyForcibly().waitFor();
        }
    }

    /**
     * Each life applies the whole log anew and is killed on the way; none tells of harm, and the
     * last one is where the log is.
     */
    @Test
    void killedFiftyTimesWhileApplyingItEndsWhereTheLogIs() throws Exception {
        Path file = configure(1024, 4000);
        Publisher publisher = new Publisher(changeLog, file);
        String hash = null;
        for (int i = 0; i < 20; i++) {
            hash = publisher.publish(Map.of(), Set.of(), tenants(500 + i, i));
        }
        String newest = hash;
        ExecutorService chains = Executors.newFixedThreadPool(4);
        try {
            List<Future<Void>> all =
                    IntStream.range(0, 5)
                            .mapToObj(
                                    chain ->
                                            chains.submit(
                                                    (Callable<Void>)
                                                            () -> {
                                                                Random random = new Random(chain);
                                                                for (int life = 1;
                                                                        life <= 10;
                                                                        life++) {
                                                                    live(
                                                                            chain,
                                                                            life,
                                                                            random.nextInt(400),
                                                                            null);
                                                                }
                                                                live(chain, 11, -1, newest);
                                                                return null;
                                                            }))
                            .toList();
            for (Future<Void> chain : all) {
                chain.get();
            }
        } finally {
            chains.shutdownNow();
        }
    }

    /**
     * A process that is killed so many ms after it listens; below 0: once it is at {@code newest}.
     */
    private void live(int chain, int life, int after, String newest) throws Exception {
        Path own = Files.createDirectories(dir.resolve("chain" + chain));
        String door = SettingsInPlaceTest.free();
        Path file =
                Files.writeString(
                        own.resolve("config.json"),
                        Files.readString(dir.resolve("config.json")).replace(control, door));
        Path operator =
                Files.writeString(
                        own.resolve("operator.conf"),
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
                                operator.toString())
                        .redirectErrorStream(true);
        builder.environment().put("TMPDIR", own.toString());
        Process process = builder.start();
        try (BufferedReader lines = process.inputReader(StandardCharsets.UTF_8)) {
            StringBuilder all = new StringBuilder();
            for (String line = lines.readLine();
                    line != null && !line.contains("listening on");
                    line = lines.readLine()) {
                all.append(line).append('\n');
            }
            assertTrue(all.toString().contains("incarnation " + life + " started "), all::toString);
            if (newest == null) {
                Thread.sleep(after);
            } else {
                reaches(door, newest);
            }
            // By the system: the virtual machine's own call closes what the process has written.
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
