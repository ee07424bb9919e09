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

/** The warm-up: its requests are answered, and it is the same every time. */
class JitWarmupTest {
    @Test
    void answersNearlyAllRequestsAndIsDeterministic() throws ConfigException {
        Site site = GatewayConfig.read(Path.of("deploy/example.json")).site();
        int answered = new JitWarmup(site).play();
        assertTrue(answered > 450 && answered <= 600, "answered: " + answered);
        assertEquals(answered, new JitWarmup(site).play());
    }

    /**
     * Its cost does not grow with the site: it sends the very requests that it would with its first
     * classes and tenants.
     */
    @Test
    void usesABoundedSampleOfALargeSite() throws ConfigException {
        Site site = GatewayConfig.read(Path.of("deploy/example.json")).site();
        RequestClass spec = site.settings().classes().get(0);
        Site large = large(site, spec, 5000);
        assertEquals(
                new JitWarmup(large(site, spec, JitWarmup.MAX_SAMPLE)).play(),
                new JitWarmup(large).play());
        assertEquals(
                JitWarmup.MAX_SAMPLE,
                large.first(JitWarmup.MAX_SAMPLE).settings().classes().size());
        assertEquals(JitWarmup.MAX_SAMPLE, large.first(JitWarmup.MAX_SAMPLE).tenantNames().size());
        assertSame(site, site.first(JitWarmup.MAX_SAMPLE));
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
