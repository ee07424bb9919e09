package tinroad.overload;

import java.util.Collection;
import tinroad.overload.Controller.Actions;
import tinroad.overload.Controller.Settings;

/**
 * Detects that this server fails or hangs. Admission is then closed except for half-open trial
 * requests, and health checks are answered accordingly.
 */
final class HealthPolicy {
    /** Share of failed runs among the recent ones at which admission closes. */
    private static final double FAILING_SHARE = 0.5;

    /** Share of failed runs among the recent ones at which admission opens again. */
    private static final double RECOVERED_SHARE = 0.15;

    /**
     * Share of failed runs above which health checks fail as well. Below it, leaving the endpoint
     * list would lose the requests that still succeed.
     */
    private static final double UNHEALTHY_SHARE = 0.9;

    /**
     * Arrivals that have grown by this factor since runs began to fail include retries of requests
     * that fail on other servers as well.
     */
    private static final double OTHERS_FAIL_RATE_RATIO = 1.5;

    /** Time that such retries take to show in the arrival rate. */
    private static final double OTHERS_FAIL_DELAY_MILLIS = 1000;

    /**
     * The work hangs if no run has completed on any core for this many mean run times. No single
     * oversized request causes that.
     */
    private static final double HANG_MEAN_RUNS = 10;

    /** Interval at which one trial request is admitted while admission is closed. */
    private static final double TRIAL_INTERVAL_MILLIS = 250;

    private final Settings settings;
    private final Actions actions;
    private final ControllerClock clock;
    private final CoreUsage cores;
    private final ConcurrencyLimit limit;
    private final RunTimeEstimator estimator;
    private final ArrivalStatistics arrivals;
    private final DrainPolicy draining;

    private double failedShare;
    private boolean failing;
    private double failingSinceMillis;
    private double arrivalRateWhenFailing;
    private boolean hung;
    private boolean healthy = true;
    private boolean closedLogged;
    private double lastCompletedAtMillis;
    private double lastTrialAtMillis;
    private double trialCredit;

    HealthPolicy(
            Settings settings,
            Actions actions,
            ControllerClock clock,
            CoreUsage cores,
            ConcurrencyLimit limit,
            RunTimeEstimator estimator,
            ArrivalStatistics arrivals,
            DrainPolicy draining) {
        this.settings = settings;
        this.actions = actions;
        this.clock = clock;
        this.cores = cores;
        this.limit = limit;
        this.estimator = estimator;
        this.arrivals = arrivals;
        this.draining = draining;
        lastCompletedAtMillis = clock.nowMillis();
    }

    /**
     * Advances time. A server that has left the endpoint lists receives nothing that could prove
     * its recovery, so the failed share decays while no run completes.
     */
    void advance(double elapsedMillis) {
        if (failing
                && clock.nowMillis() - lastCompletedAtMillis > ArrivalStatistics.RATE_SPAN_MILLIS) {
            failedShare *= Math.exp(-elapsedMillis / ArrivalStatistics.RATE_SPAN_MILLIS);
        }
        failing &= failedShare > RECOVERED_SHARE;
    }

    /** Notes that a run starts while no other is running. */
    void firstRunStarted() {
        lastCompletedAtMillis = clock.nowMillis();
    }

    void runCompleted(boolean succeeded, double nowMillis) {
        lastCompletedAtMillis = nowMillis;
        hung = false;
        failedShare += Smoothing.OUTCOME_WEIGHT * ((succeeded ? 0 : 1) - failedShare);
        failingSinceMillis = failing ? failingSinceMillis : nowMillis;
        arrivalRateWhenFailing = failing ? arrivalRateWhenFailing : arrivals.requestsPerSecond();
        failing = failedShare > (failing ? RECOVERED_SHARE : FAILING_SHARE);
    }

    /** Detects, on each tick, whether the work hangs, by the time since a run completed. */
    void detectHang(Collection<ActiveRequest> requests, double nowMillis) {
        hung =
                cores.running() >= Math.min(settings.cores(), (int) limit.allowed())
                        && nowMillis - lastCompletedAtMillis
                                > HANG_MEAN_RUNS * estimator.meanBaselineMillis(requests);
    }

    boolean isHung() {
        return hung;
    }

    boolean admissionClosed() {
        return failing || hung;
    }

    /**
     * Whether this arrival is admitted while admission is closed. As many arrivals are admitted as
     * the share of runs that succeed (none while the work hangs), and one trial request in each
     * interval besides, but never more than one for each core.
     */
    boolean admitTrial(int runningOrQueued, double nowMillis) {
        trialCredit += hung ? 0 : 1 - failedShare;
        if (runningOrQueued >= settings.cores()
                || (trialCredit < 1 && nowMillis - lastTrialAtMillis < TRIAL_INTERVAL_MILLIS)) {
            return false;
        }
        trialCredit = Math.max(0, trialCredit - 1);
        lastTrialAtMillis = nowMillis;
        return true;
    }

    void beginDraining() {
        actions.setHealth(false, true);
        healthy = false;
    }

    /** Reports changes to the log and to the health checks. */
    void report() {
        if (admissionClosed() != closedLogged) {
            closedLogged = admissionClosed();
            actions.log(
                    !closedLogged
                            ? "admission open again"
                            : "admission closed: " + (hung ? "no run has completed" : "runs fail"));
        }
        boolean unhealthy = failing && failedShare > UNHEALTHY_SHARE && !othersFail();
        boolean healthyNow = !hung && !unhealthy && !draining.isDraining();
        if (healthyNow != healthy) {
            healthy = healthyNow;
            actions.setHealth(healthy, true);
        }
    }

    /**
     * Whether other servers fail as well, or it is too early to tell. Guards against the whole
     * fleet leaving the endpoint list at once when a dependency of all servers fails.
     */
    private boolean othersFail() {
        return clock.nowMillis() - failingSinceMillis < OTHERS_FAIL_DELAY_MILLIS
                || arrivals.requestsPerSecond() > OTHERS_FAIL_RATE_RATIO * arrivalRateWhenFailing;
    }
}
