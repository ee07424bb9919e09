package tinroad.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.Collections;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import tinroad.config.ConfigException;
import tinroad.config.GatewayConfig;
import tinroad.config.Site;
import tinroad.overload.Controller.RequestClass;
import tinroad.overload.Controller.Settings;
import tinroad.overload.Controller.Tenant;

/** The rehearsal: what it asks for gets its answers, and it plays the same every time. */
class RehearsalTest {
    @Test
    void nearlyAllRequestsAreAnsweredAndThePlayIsTheSameEveryTime() throws ConfigException {
        Site site = GatewayConfig.read(Path.of("deploy/example.json")).site();
        int answered = new JitWarmup(site).play();
        assertTrue(answered > 450 && answered <= 600, "answered: " + answered);
        assertEquals(answered, new JitWarmup(site).play());
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
                new JitWarmup(large(site, spec, JitWarmup.SAMPLE)).play(),
                new JitWarmup(large).play());
        assertEquals(JitWarmup.SAMPLE, large.first(JitWarmup.SAMPLE).settings().classes().size());
        assertEquals(JitWarmup.SAMPLE, large.first(JitWarmup.SAMPLE).tenantNames().size());
        assertSame(site, site.first(JitWarmup.SAMPLE));
    }

    private static Site large(Site site, RequestClass spec, int n) {
        Settings s = site.settings();
        Settings more =
                new Settings(
                        Collections.nCopies(n, spec),
                        Collections.nCopies(n, new Tenant(100, 0.5)),
                        s.objectiveWeights(),
                        s.rules(),
                        s.dependency(),
                        s.loadHint(),
                        s.cancellationMode(),
                        s.cores(),
                        s.servers(),
                        s.callers(),
                        s.coldStart(),
                        s.requestsCarryDeadline(),
                        s.clientIdleMillis(),
                        s.memoryKb(),
                        s.runMemoryFactor(),
                        s.keyKb(),
                        s.resultFreshMillis(),
                        s.maxRetryAfterMillis(),
                        s.sendsRetryAfter(),
                        s.requestsMarkRetries(),
                        s.overQuotaWeight(),
                        s.clockStepMillis(),
                        s.weightByWork());
        return new Site(
                more,
                IntStream.range(0, n).mapToObj(i -> "class-" + i).toList(),
                IntStream.range(0, n).mapToObj(i -> "tenant-" + i).toList(),
                site.gaugeNames());
    }
}
