package tinroad.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import tinroad.Controller;

/** The configuration, and the settings in it: every value lands where it belongs, the rest is skipped. */
class GatewayConfigTest {
    private static final String TEXT = """
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
        assertEquals("n3 /127.0.0.4:8080 /127.3.0.4:10250 /127.1.0.1:4400 /127.2.0.1:8761", config.name() + " " + config.listen() + " "
                + config.control() + " " + config.engine() + " " + config.roster());
        assertEquals(0x8c1f30d27a5be964L, config.seed());
        assertEquals(3200, config.stopMs());
        assertEquals(900, config.sockets());
        assertEquals(144, config.memoryMb());
        assertEquals(List.of("read", "order"), config.site().classNames());
        assertEquals(List.of("acme"), config.site().tenantNames());
        assertEquals(List.of("core_use", "links"), config.site().gaugeNames());
        Controller.Settings s = config.site().settings();
        assertEquals(new Controller.RequestClass(1500, 0, 3700, 2, 0.2, Controller.Semantics.FREE, 0, false, 0),
                s.classes().get(0));
        assertEquals(new Controller.RequestClass(0, 0, 6000, 0, 0, Controller.Semantics.SINGLE_SHOT, 0, true, 0.5),
                s.classes().get(1));
        assertEquals(List.of(new Controller.Tenant(89, 0.5)), s.tenants());
        assertEquals(new Controller.Goal(0.4, 0.3, 0, 0), s.goal());
        assertEquals(new Controller.Rules(100, 0.2, 16000, 2500, 8, 1500), s.rules());
        assertEquals("6 12 3 true false", s.cores() + " " + s.servers() + " " + s.callers() + " " + s.cold() + " "
                + s.passesDeadline());
        assertEquals("15000.0 9738.0 4.0 1000.0 true 0.1 5.0", s.idle() + " " + s.memoryKb() + " " + s.runFactor()
                + " " + s.maxStayAway() + " " + s.passesStayAway() + " " + s.overShareWorth() + " " + s.step());
    }

    @Test
    void whatNoSiteCanMeanIsToldALineForEachFault(@TempDir Path dir) throws IOException {
        String bad = TEXT.replace("\"deadline\":3700.0", "\"deadline\":0").replace("\"late_share\":0.2", "\"late_share\":1.5")
                .replace("\"single_shot\"", "\"sometimes\"").replace("\"say\":\"none\"", "\"say\":\"colour\"")
                .replace("\"name\":\"order\"", "\"name\":\"read\"").replace("\"share\":0.5", "\"share\":-1")
                .replace("\"fall_multiple\":8.0", "\"fall_multiple\":0.5").replace("\"cores\":6", "\"cores\":0");
        Path file = Files.writeString(dir.resolve("c.json"), bad);
        String told = assertThrows(ConfigException.class, () -> GatewayConfig.read(file)).getMessage();
        assertEquals("""
                config: settings: class read: semantics is none of free, guarded, single_shot: 'sometimes'
                config: settings: say is not known: 'colour'
                config: settings: classes[1]: the name read is taken
                config: settings: class read: deadline has to be above 0, not 0
                config: settings: class read: late_share has to be from 0 to 1, not 1.5
                config: settings: org acme: share has to be from 0 to 1, not -1
                config: settings: rules: fall_multiple has to be 1 at least, not 0.5
                config: settings: family_info: cores has to be 1 at least, not 0""", told);
    }
}
