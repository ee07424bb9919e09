package tinroad.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import tinroad.overload.Controller;

/**
 * Tests reading of the configuration and of the settings in it: every value is assigned to the
 * right field, unknown fields are skipped, and errors are reported.
 */
class GatewayConfigTest {
    private static final String TEXT =
            """
            {"name":"n3","listen":"127.0.0.4:8080","control":"127.3.0.4:10250","engine":"127.1.0.1:4400","roster":"127.2.0.1:8761",
             "seed":"8c1f30d27a5be964","stop_ms":3200,"limits":{"cores":1.0,"memory_mb":144,"sockets":900},
             "unheard_of":[{"a":[1]}],
             "settings":{"classes":[{"name":"read","objective":1500.0,"deadline":3700.0,"gain":2.0,"late_share":0.2,
               "semantics":"free"},{"name":"order","deadline":6000.0,"semantics":"single_shot"}],
              "family_info":{"cores":6,"memory_kb":9738.0,"idle":15000.0,"run_factor":4.0,"just_started":true,
               "passes_deadline":false,"class_calls":[false,true],"degraded_worth":[0.0,0.5],"callers":3,
               "meters":["core_use","links"],"say":"none","halt":"none","below":"none","news":{"x":[]}},
              "caps":{"max_retry_after":1000.0,"retry_after":true},"clients":{"marks_retry":false},
              "orgs":[{"name":"acme","quota_per_s":89.0,"share":0.5}],"goal":{"whole":0.4,"worst_window":0.3},
              "rules":{"answer_slack":100.0,"cold_from":0.2,"drain_grace":2500.0,"fall":1500.0,"fall_multiple":8.0,
               "ramp_time":16000.0},"servers":12,"step":5.0,"over_share_worth":0.1,"worth_by":"request"}}
            """;

    @Test
    void everyValueIsRead(@TempDir Path dir) throws IOException, ConfigException {
        GatewayConfig config = GatewayConfig.read(Files.writeString(dir.resolve("c.json"), TEXT));
        assertEquals(
                "n3 /127.0.0.4:8080 /127.3.0.4:10250 /127.1.0.1:4400 /127.2.0.1:8761",
                config.name()
                        + " "
                        + config.listen()
                        + " "
                        + config.control()
                        + " "
                        + config.engine()
                        + " "
                        + config.roster());
        assertEquals(0x8c1f30d27a5be964L, config.seed());
        assertEquals(3200, config.stopMillis());
        assertEquals(900, config.sockets());
        assertEquals(144, config.memoryMb());
        assertEquals(List.of("read", "order"), config.site().classNames());
        assertEquals(List.of("acme"), config.site().tenantNames());
        assertEquals(List.of("core_use", "links"), config.site().gaugeNames());
        Controller.Settings s = config.site().settings();
        assertEquals(
                new Controller.RequestClass(
                        1500, 0, 3700, 2, 0.2, Controller.Idempotency.IDEMPOTENT, 0, false, 0),
                s.classes().get(0));
        assertEquals(
                new Controller.RequestClass(
                        0, 0, 6000, 0, 0, Controller.Idempotency.NON_IDEMPOTENT, 0, true, 0.5),
                s.classes().get(1));
        assertEquals(List.of(new Controller.Tenant(89, 0.5)), s.tenants());
        assertEquals(new Controller.ObjectiveWeights(0.4, 0.3, 0, 0), s.objectiveWeights());
        assertEquals(
                new Controller.OperatingLimits(100, 0.2, 16000, 2500, 8, 1500),
                s.operatingLimits());
        assertEquals(
                "6 12 3 true false",
                s.cores()
                        + " "
                        + s.servers()
                        + " "
                        + s.callers()
                        + " "
                        + s.coldStart()
                        + " "
                        + s.requestsCarryDeadline());
        assertEquals(
                "15000.0 9738.0 4.0 1000.0 true 0.1 5.0",
                s.clientIdleTimeoutMillis()
                        + " "
                        + s.memoryKb()
                        + " "
                        + s.runMemoryFactor()
                        + " "
                        + s.maxRetryAfterMillis()
                        + " "
                        + s.sendsRetryAfter()
                        + " "
                        + s.overQuotaWeight()
                        + " "
                        + s.clockStepMillis());
    }

    @Test
    void invalidValuesAreReportedOneLineEach(@TempDir Path dir) throws IOException {
        String bad =
                TEXT.replace("\"deadline\":3700.0", "\"deadline\":0")
                        .replace("\"late_share\":0.2", "\"late_share\":1.5")
                        .replace("\"single_shot\"", "\"sometimes\"")
                        .replace("\"say\":\"none\"", "\"say\":\"colour\"")
                        .replace("\"name\":\"order\"", "\"name\":\"read\"")
                        .replace("\"share\":0.5", "\"share\":-1")
                        .replace("\"fall_multiple\":8.0", "\"fall_multiple\":0.5")
                        .replace("\"cores\":6", "\"cores\":0");
        Path file = Files.writeString(dir.resolve("c.json"), bad);
        String message =
                assertThrows(ConfigException.class, () -> GatewayConfig.read(file)).getMessage();
        assertEquals(
                """
                config: settings: class read: semantics is none of free, guarded, single_shot: 'sometimes'
                config: settings: say is not known: 'colour'
                config: settings: classes[1]: the name read is taken
                config: settings: class read: deadline has to be above 0, not 0
                config: settings: class read: late_share has to be from 0 to 1, not 1.5
                config: settings: org acme: share has to be from 0 to 1, not -1
                config: settings: rules: fall_multiple has to be 1 at least, not 0.5
                config: settings: family_info: cores has to be 1 at least, not 0\
                """,
                message);
    }

    /** Records the classes and tenants that it receives. */
    private static final class Recorder implements SiteVisitor {
        private final Map<String, Controller.RequestClass> classes = new LinkedHashMap<>();
        private final Map<String, Controller.Tenant> tenants = new LinkedHashMap<>();

        @Override
        public boolean requestClass(String name, Controller.RequestClass spec) {
            return classes.put(name, spec) == null;
        }

        @Override
        public boolean tenant(String name, Controller.Tenant spec) {
            return tenants.put(name, spec) == null;
        }
    }

    /**
     * {@code family_info} has further values of classes, by index, and may come before or after
     * them.
     */
    @Test
    void aVisitorReceivesTheSameEntriesWhereverFamilyInfoStands(@TempDir Path dir)
            throws IOException, ConfigException {
        String classes =
                TEXT.substring(TEXT.indexOf("\"classes\""), TEXT.indexOf("\"family_info\""));
        String last =
                TEXT.replace(classes, "").replace("\"servers\":12", classes + "\"servers\":12");
        for (String text : List.of(TEXT, last)) {
            Path file = Files.writeString(dir.resolve("c.json"), text);
            GatewayConfig collected = GatewayConfig.read(file);
            Recorder recorder = new Recorder();
            GatewayConfig visited = GatewayConfig.read(file, recorder);
            assertEquals(collected.site().classNames(), List.copyOf(recorder.classes.keySet()));
            assertEquals(
                    collected.site().settings().classes(), List.copyOf(recorder.classes.values()));
            assertEquals(
                    new Controller.RequestClass(
                            0, 0, 6000, 0, 0, Controller.Idempotency.NON_IDEMPOTENT, 0, true, 0.5),
                    recorder.classes.get("order"));
            assertEquals(
                    collected.site().settings().tenants(), List.copyOf(recorder.tenants.values()));
            assertEquals(List.of(), visited.site().settings().classes());
            assertEquals(
                    collected.site().settings().operatingLimits(),
                    visited.site().settings().operatingLimits());
            assertEquals(collected.engine(), visited.engine());
        }
    }

    @Test
    void aVisitedFileIsValidatedLikeACollectedOne(@TempDir Path dir) throws IOException {
        String bad =
                TEXT.replace("\"deadline\":3700.0", "\"deadline\":0")
                        .replace("\"name\":\"order\"", "\"name\":\"read\"")
                        .replace("\"share\":0.5", "\"share\":-1")
                        .replace("\"cores\":6", "\"cores\":0");
        for (String text : List.of(bad, "{\"name\":", "[]", "{}", TEXT.replace("}}\n", "}"))) {
            Path file = Files.writeString(dir.resolve("c.json"), text);
            assertEquals(
                    assertThrows(ConfigException.class, () -> GatewayConfig.read(file))
                            .getMessage(),
                    assertThrows(
                                    ConfigException.class,
                                    () -> GatewayConfig.read(file, new Recorder()))
                            .getMessage());
        }
    }

    @Test
    void errorsOfALargeTableAreReportedInAHundredLines(@TempDir Path dir) throws IOException {
        String orgs =
                IntStream.range(0, 500)
                        .mapToObj(
                                i ->
                                        "{\"name\":\""
                                                + "n".repeat(i == 0 ? 5000 : 1)
                                                + i
                                                + "\",\"share\":7}")
                        .collect(Collectors.joining(","));
        Path file =
                Files.writeString(
                        dir.resolve("c.json"),
                        TEXT.replace(
                                "{\"name\":\"acme\",\"quota_per_s\":89.0,\"share\":0.5}", orgs));
        List<String> lines =
                assertThrows(ConfigException.class, () -> GatewayConfig.read(file))
                        .getMessage()
                        .lines()
                        .toList();
        assertEquals(101, lines.size());
        assertEquals(
                "config: settings: orgs[0]: the name "
                        + "n".repeat(80)
                        + "... (5001 characters) is longer than 4096 bytes",
                lines.get(0));
        assertEquals("config: settings: org n1: share has to be from 0 to 1, not 7", lines.get(2));
        assertEquals("config: settings: and 401 more", lines.get(100));
    }

    @Test
    void equalValuesAreSharedWithinBounds() {
        Interner<String> pool = new Interner<>();
        String first = new String("a");
        assertSame(first, pool.intern(first));
        assertSame(first, pool.intern(new String("a")));
        IntStream.range(0, Interner.MAX_VALUES).forEach(i -> pool.intern("v" + i));
        assertEquals("a", pool.intern(new String("a")));
    }
}
