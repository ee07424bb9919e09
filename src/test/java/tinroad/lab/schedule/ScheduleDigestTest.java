package tinroad.lab.schedule;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import tinroad.lab.script.ScriptReader;

/**
 * Digests of schedules are compared between builds and between processors, so they must not depend
 * on names in code or on how a processor approximates a function.
 */
class ScheduleDigestTest {
    private static String digest(String script) throws Exception {
        return Schedule.of(ScriptReader.read(Path.of("lab", script)), 1).digest();
    }

    @Test
    void theDigestOfAScheduleWithProcessFaultsStaysTheSame() throws Exception {
        assertEquals("842b0528640f7cae", digest("mass-restart.conf"));
    }

    @Test
    void theDigestOfAScheduleWithLinkFaultsStaysTheSame() throws Exception {
        assertEquals("dea5fbec2fd34df8", digest("zone-cut.conf"));
    }
}
