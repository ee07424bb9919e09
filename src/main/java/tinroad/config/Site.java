package tinroad.config;

import java.util.List;
import tinroad.overload.Controller;

/**
 * The settings as the module takes them, and the names behind its numbers: classes, tenants and
 * gauges.
 */
public record Site(
        Controller.Settings settings,
        List<String> classNames,
        List<String> tenantNames,
        List<String> gaugeNames) {
    /** The same site with its first classes and tenants alone, so many of each at most. */
    public Site first(int most) {
        if (classNames.size() <= most && tenantNames.size() <= most) {
            return this;
        }
        Controller.Settings s = settings;
        return new Site(
                new Controller.Settings(
                        first(s.classes(), most),
                        first(s.tenants(), most),
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
                        s.weightByWork()),
                first(classNames, most),
                first(tenantNames, most),
                gaugeNames);
    }

    private static <T> List<T> first(List<T> all, int most) {
        return List.copyOf(all.subList(0, Math.min(most, all.size())));
    }
}
