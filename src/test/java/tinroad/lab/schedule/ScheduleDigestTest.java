package tinroad.lab.schedule;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import tinroad.lab.script.ScriptReader;

/** Digests of schedules are compared between builds, so they must not depend on names in code. */
class ScheduleDigestTest {
    private static String digest(String script) throws Exception {
        return Schedule.of(ScriptReader.read(Path.of("lab", script)), 1).digest();
    }

    @Test
    void theDigestOfAScheduleWithProcessFaultsStaysTheSame() throws Exception {
        assertEquals("bab5b1a3a02f4ca2", digest("mass-restart.conf"));
    }

    @Test
    void theDigestOfAScheduleWithLinkFaultsStaysTheSame() throws Exception {
        assertEquals("c44b80647454d8f3", digest("zone-cut.conf"));
    }
}
