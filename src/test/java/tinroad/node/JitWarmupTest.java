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

/** Tests that the JIT warm-up's requests are answered, and that every run of it is the same. */
class JitWarmupTest {
    @Test
    void answersNearlyAllRequestsAndIsDeterministic() throws ConfigException {
        Site site = GatewayConfig.read(Path.of("deploy/example.json")).site();
        int answered = new JitWarmup(site).run();
        assertTrue(answered > 450 && answered <= 600, "answered: " + answered);
        assertEquals(answered, new JitWarmup(site).run());
    }

    /**
     * The cost of the warm-up does not grow with the site: for a large one it sends the same
     * requests as for a site with only the first classes and tenants.
     */
    @Test
    void usesABoundedSampleOfALargeSite() throws ConfigException {
        Site site = GatewayConfig.read(Path.of("deploy/example.json")).site();
        RequestClass requestClass = site.settings().classes().get(0);
        Site large = siteWithCopies(site, requestClass, 5000);
        assertEquals(
                new JitWarmup(siteWithCopies(site, requestClass, JitWarmup.MAX_SAMPLED_ENTRIES))
                        .run(),
                new JitWarmup(large).run());
        assertEquals(
                JitWarmup.MAX_SAMPLED_ENTRIES,
                large.first(JitWarmup.MAX_SAMPLED_ENTRIES).settings().classes().size());
        assertEquals(
                JitWarmup.MAX_SAMPLED_ENTRIES,
                large.first(JitWarmup.MAX_SAMPLED_ENTRIES).tenantNames().size());
        assertSame(site, site.first(JitWarmup.MAX_SAMPLED_ENTRIES));
    }

    private static Site siteWithCopies(Site site, RequestClass requestClass, int count) {
        Settings settings = site.settings();
        Settings enlargedSettings =
                new Settings(
                        Collections.nCopies(count, requestClass),
                        Collections.nCopies(count, new Tenant(100, 0.5)),
                        settings.objectiveWeights(),
                        settings.operatingLimits(),
                        settings.dependency(),
                        settings.loadHint(),
                        settings.cancellationMode(),
                        settings.cores(),
                        settings.servers(),
                        settings.callers(),
                        settings.coldStart(),
                        settings.requestsCarryDeadline(),
                        settings.clientIdleTimeoutMillis(),
                        settings.memoryKb(),
                        settings.runMemoryFactor(),
                        settings.keyKb(),
                        settings.resultReplayMillis(),
                        settings.maxRetryAfterMillis(),
                        settings.sendsRetryAfter(),
                        settings.requestsMarkRetries(),
                        settings.overQuotaWeight(),
                        settings.clockStepMillis(),
                        settings.weightByWork());
        return new Site(
                enlargedSettings,
                IntStream.range(0, count).mapToObj(i -> "class-" + i).toList(),
                IntStream.range(0, count).mapToObj(i -> "tenant-" + i).toList(),
                site.gaugeNames());
    }
}
