package tinroad.lab.verification;

import java.util.ArrayList;
import java.util.List;
import tinroad.lab.schedule.FaultEvent;
import tinroad.lab.schedule.Schedule;
import tinroad.lab.script.Script;
import tinroad.lab.script.Script.FaultAction;

/**
 * Upper bound of the service that any program can reach in a run: it is limited only by the warm-up
 * of the engines, and assumes that every request is read once, nothing is retried and the load is
 * spread evenly over the cores. Only faults that end engines or processes lower the bound. Times in
 * ms.
 */
public final class RecoveryBound {
    /** Time in ms from the start of a gateway's process until its engine is up. */
    public static final double ENGINE_AFTER = 1000;

    private record Outage(int gateway, double from, double engineUpAt, double listedAt) {}

    private final Schedule plan;
    private final List<Outage> outages = new ArrayList<>();

    /**
     * The bound for a schedule.
     *
     * @param reachableAfterMillis time from the start of a gateway's process until callers can
     *     reach it; 0 counts the engines' warm-up alone
     */
    public RecoveryBound(Schedule plan, double reachableAfterMillis) {
        this.plan = plan;
        for (FaultEvent event : plan.faultEvents()) {
            FaultAction action = event.fault().action();
            if (action == FaultAction.ENGINE_CRASH) {
                outages.add(new Outage(event.gateway(), event.at(), event.until(), event.until()));
            } else if (action.ends()) {
                boolean endsEngine = action != FaultAction.KILL_GATEWAY;
                // After a shutdown notice the gateway uses all of its grace period, as it has to
                // answer every request that it has read.
                double shutdownMillis =
                        action == FaultAction.NOTICE
                                ? plan.script().fleet().shutdownGraceMillis()
                                : 0;
                double restartAt = event.until() + shutdownMillis;
                outages.add(
                        new Outage(
                                event.gateway(),
                                event.at() + shutdownMillis,
                                endsEngine ? restartAt + ENGINE_AFTER : Double.NEGATIVE_INFINITY,
                                restartAt + reachableAfterMillis));
            }
        }
    }

    /** Work per ms that the cores of a gateway can do for callers at this time. */
    private double capacity(int gateway, double at) {
        Script script = plan.script();
        double speedShare = 1;
        for (Outage outage : outages) {
            if (outage.gateway == gateway && at >= outage.from) {
                double upMillis = at - outage.engineUpAt;
                speedShare =
                        at < outage.listedAt || upMillis < 0
                                ? 0
                                : Math.min(
                                        1,
                                        script.engine().cold()
                                                + (1 - script.engine().cold())
                                                        * upMillis
                                                        / script.engine().warmup());
            }
        }
        List<Double> speeds = script.fleet().speeds();
        return speedShare * script.fleet().cores() * speeds.get(gateway % speeds.size());
    }

    /** Largest share of the requested work that can be served at this time. */
    public double service(double at) {
        Script script = plan.script();
        double capacity = 0;
        for (int g = 0; g < script.fleet().gateways(); g++) {
            capacity += capacity(g, at);
        }
        double requestedWork = script.load().at(at) * script.fleet().power();
        double readingWork = requestedWork * script.engine().read() / (1 + script.engine().read());
        return requestedWork == 0
                ? 1
                : Math.max(
                        0, Math.min(1, (capacity - readingWork) / (requestedWork - readingWork)));
    }

    /**
     * Shortest time from {@code faultEnd} until service can stay at {@link
     * RunMetrics#FULL_SERVICE_SHARE} of {@code before}; NaN where no process or engine ended.
     */
    public double toFullService(double faultEnd, double before) {
        if (outages.isEmpty() || Double.isNaN(faultEnd)) {
            return Double.NaN;
        }
        double fullAt = faultEnd;
        for (double t = faultEnd; t < plan.script().length(); t += RunMetrics.WINDOW) {
            fullAt =
                    service(t) < RunMetrics.FULL_SERVICE_SHARE * before
                            ? t + RunMetrics.WINDOW
                            : fullAt;
        }
        return fullAt - faultEnd;
    }
}
