package tinroad.config;

import java.util.List;
import tinroad.overload.Controller;

/**
 * The settings in the form that the overload controller takes, and the names of classes, tenants
 * and gauges, which the controller knows by index only.
 */
public record Site(
        Controller.Settings settings,
        List<String> classNames,
        List<String> tenantNames,
        List<String> gaugeNames) {
    /** Returns this site reduced to its first {@code max} classes and tenants. */
    public Site first(int max) {
        if (classNames.size() <= max && tenantNames.size() <= max) {
            return this;
        }
        Controller.Settings whole = settings;
        return new Site(
                new Controller.Settings(
                        first(whole.classes(), max),
                        first(whole.tenants(), max),
                        whole.objectiveWeights(),
                        whole.operatingLimits(),
                        whole.dependency(),
                        whole.loadHint(),
                        whole.cancellationMode(),
                        whole.cores(),
                        whole.servers(),
                        whole.callers(),
                        whole.coldStart(),
                        whole.requestsCarryDeadline(),
                        whole.clientIdleTimeoutMillis(),
                        whole.memoryKb(),
                        whole.runMemoryFactor(),
                        whole.keyKb(),
                        whole.resultReplayMillis(),
                        whole.maxRetryAfterMillis(),
                        whole.sendsRetryAfter(),
                        whole.requestsMarkRetries(),
                        whole.overQuotaWeight(),
                        whole.clockStepMillis(),
                        whole.weightByWork()),
                first(classNames, max),
                first(tenantNames, max),
                gaugeNames);
    }

    private static <T> List<T> first(List<T> all, int max) {
        return List.copyOf(all.subList(0, Math.min(max, all.size())));
    }
}
