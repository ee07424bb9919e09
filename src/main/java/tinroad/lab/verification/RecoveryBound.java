package tinroad.lab.verification;

import java.util.ArrayList;
import java.util.List;
import tinroad.lab.schedule.FaultEvent;
import tinroad.lab.schedule.Schedule;
import tinroad.lab.script.Script;
import tinroad.lab.script.Script.FaultAction;

/**
 * What no program could better on a day: the service that the engines' own warm-up allows, where
 * everything asked for is read once, nothing is tried twice and each core has its even part of the
 * load. Of what ends engines and processes; other faults do not lower it. Times in ms.
 */
public final class RecoveryBound {
    /** An engine is up this long after its gateway's process was started. */
    public static final double ENGINE_AFTER = 1000;

    private record Away(int gateway, double from, double engineAt, double listedAt) {}

    private final Schedule plan;
    private final List<Away> away = new ArrayList<>();

    /**
     * The bound of a plan.
     *
     * @param reachAfter how long after the start of its process a gateway is reached by callers: 0
     *     for the engines' warm-up alone
     */
    public RecoveryBound(Schedule plan, double reachAfter) {
        this.plan = plan;
        for (FaultEvent hit : plan.faultEvents()) {
            FaultAction deed = hit.fault().action();
            if (deed == FaultAction.ENGINE_CRASH) {
                away.add(new Away(hit.gateway(), hit.at(), hit.until(), hit.until()));
            } else if (deed.ends()) {
                boolean engineToo = deed != FaultAction.KILL_GATEWAY;
                // On a notice the gateway takes all of its time to leave, as it is told to answer
                // all that it read.
                double leave =
                        deed == FaultAction.NOTICE
                                ? plan.script().fleet().shutdownGraceMillis()
                                : 0;
                double back = hit.until() + leave;
                away.add(
                        new Away(
                                hit.gateway(),
                                hit.at() + leave,
                                engineToo ? back + ENGINE_AFTER : Double.NEGATIVE_INFINITY,
                                back + reachAfter));
            }
        }
    }

    /** Work a ms that the cores of a gateway can do for callers. */
    private double power(int gateway, double at) {
        Script script = plan.script();
        double warmth = 1;
        for (Away a : away) {
            if (a.gateway == gateway && at >= a.from) {
                double up = at - a.engineAt;
                warmth =
                        at < a.listedAt || up < 0
                                ? 0
                                : Math.min(
                                        1,
                                        script.engine().cold()
                                                + (1 - script.engine().cold())
                                                        * up
                                                        / script.engine().warmup());
            }
        }
        List<Double> speeds = script.fleet().speeds();
        return warmth * script.fleet().cores() * speeds.get(gateway % speeds.size());
    }

    /** The share of what is asked for at this time that can be served. */
    public double service(double at) {
        Script script = plan.script();
        double power = 0;
        for (int g = 0; g < script.fleet().gateways(); g++) {
            power += power(g, at);
        }
        double asked = script.load().at(at) * script.fleet().power();
        double reading = asked * script.engine().read() / (1 + script.engine().read());
        return asked == 0 ? 1 : Math.max(0, Math.min(1, (power - reading) / (asked - reading)));
    }

    /**
     * Time from {@code faultEnd} to the first moment from which service can stay at {@link
     * RunMetrics#FULL} of {@code before}; NaN where no process or engine ended.
     */
    public double toFullService(double faultEnd, double before) {
        if (away.isEmpty() || Double.isNaN(faultEnd)) {
            return Double.NaN;
        }
        double last = faultEnd;
        for (double t = faultEnd; t < plan.script().length(); t += RunMetrics.WINDOW) {
            last = service(t) < RunMetrics.FULL * before ? t + RunMetrics.WINDOW : last;
        }
        return last - faultEnd;
    }
}
