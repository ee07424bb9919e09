package tinroad.config;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import tinroad.overload.Controller.Settings;

/**
 * Compares two versions of a configuration and names the parts that differ, as they are named in
 * the file. Classes and tenants are not compared.
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
        addSetting("goal", Settings::objectiveWeights);
        addSetting("rules", Settings::operatingLimits);
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
                            settings.clientIdleTimeoutMillis(),
                            settings.memoryKb(),
                            settings.runMemoryFactor(),
                            settings.keyKb(),
                            settings.resultReplayMillis(),
                            c.site().gaugeNames());
                });
        addSetting(
                "caps",
                settings -> List.of(settings.maxRetryAfterMillis(), settings.sendsRetryAfter()));
        addSetting("clients", Settings::requestsMarkRetries);
        addSetting("servers", Settings::servers);
        addSetting("over_share_worth", Settings::overQuotaWeight);
        addSetting("step", Settings::clockStepMillis);
        addSetting("worth_by", Settings::weightByWork);
    }

    private ConfigDiff() {}

    private static void addSetting(String name, Function<Settings, Object> part) {
        PARTS.put("settings." + name, c -> part.apply(c.site().settings()));
    }

    /** Returns the names of the parts in which {@code after} differs from {@code before}. */
    public static List<String> between(GatewayConfig before, GatewayConfig after) {
        return PARTS.entrySet().stream()
                .filter(e -> !e.getValue().apply(before).equals(e.getValue().apply(after)))
                .map(Map.Entry::getKey)
                .toList();
    }
}
