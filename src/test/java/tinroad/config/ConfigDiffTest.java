package tinroad.config;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests which changes of a configuration are reported as not applicable without a restart. */
class ConfigDiffTest {
    @TempDir private Path dir;

    private GatewayConfig read(String... replaced) throws IOException, ConfigException {
        String text = Files.readString(Path.of("deploy/example.json"));
        for (int i = 0; i < replaced.length; i += 2) {
            text = text.replace(replaced[i], replaced[i + 1]);
        }
        return GatewayConfig.read(Files.writeString(dir.resolve("config.json"), text));
    }

    @Test
    void onlyWhatDiffersIsNamedAsInTheFile() throws Exception {
        GatewayConfig before = read();
        assertEquals(List.of(), ConfigDiff.between(before, read()));
        assertEquals(
                List.of(),
                ConfigDiff.between(
                        before, read(":4400", ":4401", "89.0", "5", "new-order", "pay")));
        assertEquals(
                List.of("name", "listen", "control", "seed", "stop_ms", "limits"),
                ConfigDiff.between(
                        before,
                        read(
                                "\"n3\"",
                                "\"n4\"",
                                "\"listen\": \"127.0.0.1",
                                "\"control\": \"127.0.0.1:9\", \"listen\": \"127.0.0.2",
                                "8c1f",
                                "8c1e",
                                "500,",
                                "600,",
                                "1024",
                                "99")));
        assertEquals(
                List.of(
                        "settings.goal",
                        "settings.rules",
                        "settings.family_info",
                        "settings.caps",
                        "settings.servers",
                        "settings.over_share_worth",
                        "settings.step",
                        "settings.worth_by"),
                ConfigDiff.between(
                        before,
                        read(
                                "\"whole\": 0.4",
                                "\"whole\": 0.5",
                                "2500.0, \"fall\"",
                                "2000.0, \"fall\"",
                                "links",
                                "open",
                                "1000.0",
                                "900.0",
                                "\"servers\": 12",
                                "\"servers\": 13",
                                "\"over_share_worth\": 0.1",
                                "\"over_share_worth\": 0.2",
                                "\"step\": 5.0",
                                "\"step\": 6.0",
                                "\"request\"",
                                "\"work\"")));
    }
}
