package tinroad.config;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import tinroad.Controller.Settings;

/**
 * Which parts of a configuration that is read again differ, by the names that they have in the
 * file; without classes and tenants.
 */
public final class Differences {
    private static final Map<String, Function<GatewayConfig, Object>> PARTS = new LinkedHashMap<>();

    static {
        PARTS.put("name", GatewayConfig::name);
        PARTS.put("listen", GatewayConfig::listen);
        PARTS.put("control", c -> String.valueOf(c.control()));
        PARTS.put("seed", GatewayConfig::seed);
        PARTS.put("stop_ms", GatewayConfig::stopMs);
        PARTS.put("limits", c -> List.of(c.sockets(), c.memoryMb()));
        site("goal", Settings::goal);
        site("rules", Settings::rules);
        PARTS.put(
                "settings.family_info",
                c -> {
                    Settings s = c.site().settings();
                    return List.of(
                            s.below(),
                            s.say(),
                            s.halt(),
                            s.cores(),
                            s.callers(),
                            s.cold(),
                            s.passesDeadline(),
                            s.idle(),
                            s.memoryKb(),
                            s.runFactor(),
                            s.keyKb(),
                            s.freshFor(),
                            c.site().gaugeNames());
                });
        site("caps", s -> List.of(s.maxStayAway(), s.passesStayAway()));
        site("clients", Settings::marksRetry);
        site("servers", Settings::servers);
        site("over_share_worth", Settings::overShareWorth);
        site("step", Settings::step);
        site("worth_by", Settings::worthByWork);
    }

    private Differences() {}

    private static void site(String name, Function<Settings, Object> part) {
        PARTS.put("settings." + name, c -> part.apply(c.site().settings()));
    }

    /** The parts in which {@code b} differs from {@code a}. */
    public static List<String> between(GatewayConfig a, GatewayConfig b) {
        return PARTS.entrySet().stream()
                .filter(e -> !e.getValue().apply(a).equals(e.getValue().apply(b)))
                .map(Map.Entry::getKey)
                .toList();
    }
}
