package tinroad.config;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import tinroad.overload.Controller.Settings;

/**
 * Which parts of a configuration that is read again differ, by the names that they have in the
 * file; without classes and tenants.
 */
public final class ConfigDiff {
    private static final Map<String, Function<GatewayConfig, Object>> PARTS = new LinkedHashMap<>();

    static {
        PARTS.put("name", GatewayConfig::name);
        PARTS.put("listen", GatewayConfig::listen);
        PARTS.put("control", c -> String.valueOf(c.control()));
        PARTS.put("seed", GatewayConfig::seed);
        PARTS.put("stop_ms", GatewayConfig::stopMillis);
        PARTS.put("limits", c -> List.of(c.sockets(), c.memoryMb()));
        site("goal", Settings::objectiveWeights);
        site("rules", Settings::rules);
        PARTS.put(
                "settings.family_info",
                c -> {
                    Settings settings = c.site().settings();
                    return List.of(
                            settings.dependency(),
                            settings.loadHint(),
                            settings.cancellationMode(),
                            settings.cores(),
                            settings.callers(),
                            settings.coldStart(),
                            settings.requestsCarryDeadline(),
                            settings.clientIdleMillis(),
                            settings.memoryKb(),
                            settings.runMemoryFactor(),
                            settings.keyKb(),
                            settings.resultFreshMillis(),
                            c.site().gaugeNames());
                });
        site(
                "caps",
                settings -> List.of(settings.maxRetryAfterMillis(), settings.sendsRetryAfter()));
        site("clients", Settings::requestsMarkRetries);
        site("servers", Settings::servers);
        site("over_share_worth", Settings::overQuotaWeight);
        site("step", Settings::clockStepMillis);
        site("worth_by", Settings::weightByWork);
    }

    private ConfigDiff() {}

    private static void site(String name, Function<Settings, Object> part) {
        PARTS.put("settings." + name, c -> part.apply(c.site().settings()));
    }

    /** The parts in which {@code after} differs from {@code before}. */
    public static List<String> between(GatewayConfig before, GatewayConfig after) {
        return PARTS.entrySet().stream()
                .filter(e -> !e.getValue().apply(before).equals(e.getValue().apply(after)))
                .map(Map.Entry::getKey)
                .toList();
    }
}
