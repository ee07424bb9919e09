package tinroad.overload;

import java.util.Collection;
import tinroad.overload.Controller.Actions;
import tinroad.overload.Controller.Settings;

/**
 * Whether this server fails or hangs: then admission is closed but for half-open trial requests,
 * and health checks are answered accordingly.
 */
final class HealthPolicy {
    /** Failed share of recent runs that closes admission, and the share at which it opens again. */
    private static final double FAILING_SHARE = 0.5;

    private static final double RECOVERED_SHARE = 0.15;

    /**
     * Failed share over which health checks fail, too: under it, leaving the endpoint list would
     * lose what succeeds.
     */
    private static final double UNHEALTHY_SHARE = 0.9;

    /** Arrivals grown by this are retries of what fails elsewhere, too. */
    private static final double OTHERS_FAIL_RATE_RATIO = 1.5;

    /** So long such retries take to show. */
    private static final double OTHERS_FAIL_DELAY_MILLIS = 1000;

    /**
     * No run has completed for this many mean runs on any core, which no single oversized request
     * does: the work hangs.
     */
    private static final double HANG_MEAN_RUNS = 10;

    /** While admission is closed, one trial request is admitted this often. */
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
     * Time passes. Off the endpoint lists nothing arrives that could prove a failing server
     * recovered, so while no run completes the evidence fades.
     */
    void advance(double passedMillis) {
        if (failing
                && clock.nowMillis() - lastCompletedAtMillis > ArrivalStatistics.RATE_SPAN_MILLIS) {
            failedShare *= Math.exp(-passedMillis / ArrivalStatistics.RATE_SPAN_MILLIS);
        }
        failing &= failedShare > RECOVERED_SHARE;
    }

    /** A run starts while no other is under way. */
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

    /** One tick: whether the work hangs, by the time since a run completed. */
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
     * Whether this arrival is admitted while admission is closed: the share of arrivals that runs
     * succeed at, none while the work hangs, and one trial request in each interval besides; never
     * beyond one for each core.
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

    /** Reports what has changed to the log and the health checks. */
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
     * Guards against a fleet that leaves the endpoint list as one when a dependency of all fails.
     */
    private boolean othersFail() {
        return clock.nowMillis() - failingSinceMillis < OTHERS_FAIL_DELAY_MILLIS
                || arrivals.requestsPerSecond() > OTHERS_FAIL_RATE_RATIO * arrivalRateWhenFailing;
    }
}
