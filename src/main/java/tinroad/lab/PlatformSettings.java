package tinroad.lab;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.stream.IntStream;
import tinroad.lab.schedule.Schedule;
import tinroad.lab.script.Script;
import tinroad.lab.script.Script.RequestClass;

/** Creates the settings that the platform would pass to the gateways of a script's fleet. */
public final class PlatformSettings {
    /**
     * Duration of the engines' warm-up as the platform states it to the gateways; the script's
     * engines may take another time.
     */
    private static final double RAMP_TIME_MILLIS = 16_000;

    private static final ObjectMapper JSON = new ObjectMapper();

    private PlatformSettings() {}

    /** Returns the {@code settings} as JSON text. */
    public static String text(Script script, boolean cold) {
        return of(script, cold).toString();
    }

    /**
     * Returns the {@code settings} of a gateway's configuration.
     *
     * @param cold whether the gateway's engine has just started
     */
    public static ObjectNode of(Script script, boolean cold) {
        ObjectNode settings = JSON.createObjectNode();
        ArrayNode classes = settings.putArray("classes");
        for (RequestClass requestClass : script.classes()) {
            classes.addObject()
                    .put("name", requestClass.name())
                    .put("objective", requestClass.objective())
                    .put("deadline", requestClass.deadline())
                    .put("gain", requestClass.gain())
                    .put("late_share", 0.2)
                    .put("semantics", requestClass.free() ? "free" : "single_shot");
        }
        ArrayNode orgs = settings.putArray("orgs");
        double fleetRate = script.fleet().power() / Schedule.meanCost(script) * 1000;
        double weightSum =
                IntStream.rangeClosed(1, script.members().count())
                        .mapToDouble(i -> Math.pow(i, -script.members().skew()))
                        .sum();
        for (int i = 1; i <= script.members().count(); i++) {
            double share = Math.pow(i, -script.members().skew()) / weightSum;
            orgs.addObject()
                    .put("name", "m" + (i - 1))
                    .put("quota_per_s", fleetRate * share)
                    .put("share", share);
        }
        ObjectNode family =
                settings.putObject("family_info")
                        .put("cores", script.fleet().cores())
                        .put("callers", script.callers().proxies())
                        .put("memory_kb", 60_000.0)
                        .put("run_factor", 4.0)
                        .put("idle", script.callers().idleTimeoutMillis())
                        .put("passes_deadline", false)
                        .put("just_started", cold)
                        .put("say", "none")
                        .put("halt", "none")
                        .put("below", "none");
        family.putArray("meters").add("core_use").add("on_cores").add("heap_share").add("links");
        settings.putObject("caps").put("max_retry_after", 1000.0).put("retry_after", true);
        settings.putObject("goal")
                .put("whole", 0.4)
                .put("worst_window", 0.3)
                .put("worst_class", 0.2)
                .put("worst_tenant", 0.1);
        settings.putObject("rules")
                .put("answer_slack", 100.0)
                .put("cold_from", script.engine().cold())
                .put("ramp_time", RAMP_TIME_MILLIS)
                .put("drain_grace", 2500.0)
                .put("fall", 1500.0)
                .put("fall_multiple", 8.0);
        settings.put("servers", script.fleet().gateways())
                .put("step", 5.0)
                .put("over_share_worth", 0.1)
                .put("worth_by", "request");
        return settings;
    }
}
