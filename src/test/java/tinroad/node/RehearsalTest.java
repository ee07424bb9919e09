package tinroad.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import tinroad.config.ConfigException;
import tinroad.config.GatewayConfig;
import tinroad.config.Site;

/** The rehearsal: what it asks for gets its answers, and it plays the same every time. */
class RehearsalTest {
    @Test
    void nearlyAllRequestsAreAnsweredAndThePlayIsTheSameEveryTime() throws ConfigException {
        Site site = GatewayConfig.read(Path.of("deploy/example.json")).site();
        int answered = new Rehearsal(site).play();
        assertTrue(answered > 450 && answered <= 600, "answered: " + answered);
        assertEquals(answered, new Rehearsal(site).play());
    }
}
