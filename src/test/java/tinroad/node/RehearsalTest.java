package tinroad.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.Collections;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import tinroad.Controller.RequestClass;
import tinroad.Controller.Settings;
import tinroad.Controller.Tenant;
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

    /**
     * So what it costs does not grow with the site: it plays the very requests that it would with
     * its first classes and tenants.
     */
    @Test
    void aLargeSiteIsPlayedByABoundedSampleOfIt() throws ConfigException {
        Site site = GatewayConfig.read(Path.of("deploy/example.json")).site();
        RequestClass spec = site.settings().classes().get(0);
        Site large = large(site, spec, 5000);
        assertEquals(
                new Rehearsal(large(site, spec, Rehearsal.SAMPLE)).play(),
                new Rehearsal(large).play());
        assertEquals(Rehearsal.SAMPLE, large.first(Rehearsal.SAMPLE).settings().classes().size());
        assertEquals(Rehearsal.SAMPLE, large.first(Rehearsal.SAMPLE).tenantNames().size());
        assertSame(site, site.first(Rehearsal.SAMPLE));
    }

    private static Site large(Site site, RequestClass spec, int n) {
        Settings s = site.settings();
        Settings more =
                new Settings(
                        Collections.nCopies(n, spec),
                        Collections.nCopies(n, new Tenant(100, 0.5)),
                        s.goal(),
                        s.rules(),
                        s.below(),
                        s.say(),
                        s.halt(),
                        s.cores(),
                        s.servers(),
                        s.callers(),
                        s.cold(),
                        s.passesDeadline(),
                        s.idle(),
                        s.memoryKb(),
                        s.runFactor(),
                        s.keyKb(),
                        s.freshFor(),
                        s.maxStayAway(),
                        s.passesStayAway(),
                        s.marksRetry(),
                        s.overShareWorth(),
                        s.step(),
                        s.worthByWork());
        return new Site(
                more,
                IntStream.range(0, n).mapToObj(i -> "class-" + i).toList(),
                IntStream.range(0, n).mapToObj(i -> "tenant-" + i).toList(),
                site.gaugeNames());
    }
}
