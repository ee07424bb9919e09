package tinroad.overload;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import tinroad.overload.Controller.Actions;
import tinroad.overload.Controller.DependencyKind;
import tinroad.overload.Controller.RequestClass;
import tinroad.overload.Controller.Settings;

/**
 * The calls of runs to the dependency. Decides when each call is made, how many are in flight at
 * once, and which runs continue without one. Protects the dependency: this server never has more
 * calls in flight than its quota, abandoned ones included, and fewer while calls are slow or fail.
 */
final class DependencyCalls {
    /** Share of this server's quota of concurrent calls that is used at most. */
    private static final double MAX_QUOTA_SHARE = 0.8;

    /** A call that takes this many times the calm baseline is slow. */
    private static final double SLOW_RATIO = 2;

    /**
     * Maximum rise of the calm baseline by one call, as a share of it, so that a slow phase is not
     * soon taken for calm.
     */
    private static final double MAX_BASELINE_RISE = 0.002;

    /**
     * Factor by which a slow call reduces the limit. Each quick call raises it by 1 / limit, so
     * that as many calls as the limit add one.
     */
    private static final double SLOW_CALL_FACTOR = 0.8;

    private final Settings settings;
    private final Actions actions;
    private final ControllerClock clock;
    private final CoreUsage cores;
    private final ConcurrencyLimit limit;
    private final RunTimeEstimator estimator;
    private final DrainPolicy draining;

    /** Paused runs whose call has not been made yet. */
    private final List<ActiveRequest> waiting = new ArrayList<>();

    /** Times at which the abandoned calls leave the dependency as well. */
    private final ArrayDeque<Double> lingeringUntilMillis = new ArrayDeque<>();

    private int inFlight;

    /** Latency of calls while calm; 0 until a call has ended. */
    private double calmCallMillis;

    /** Moving average of the latency of calls; 0 until a call has ended. */
    private double meanCallMillis;

    /**
     * Maximum number of calls in flight, set from their latency and failures; the quota is a second
     * bound.
     */
    private double callLimit = Double.MAX_VALUE;

    /** Call time used beyond the quota so far, in ms. */
    private double overdrawnMillis;

    DependencyCalls(
            Settings settings,
            Actions actions,
            ControllerClock clock,
            CoreUsage cores,
            ConcurrencyLimit limit,
            RunTimeEstimator estimator,
            DrainPolicy draining) {
        this.settings = settings;
        this.actions = actions;
        this.clock = clock;
        this.cores = cores;
        this.limit = limit;
        this.estimator = estimator;
        this.draining = draining;
    }

    /**
     * Advances the call time used beyond the quota, and drops abandoned calls that have left the
     * dependency.
     */
    void advance(double sinceLastEventMillis) {
        overdrawnMillis =
                Math.max(
                                0,
                                overdrawnMillis
                                        - sinceLastEventMillis
                                                * settings.dependency().concurrentCallQuota()
                                                * MAX_QUOTA_SHARE
                                                / 2)
                        + sinceLastEventMillis * (inFlight + lingeringUntilMillis.size());
        while (!lingeringUntilMillis.isEmpty()
                && lingeringUntilMillis.peek() <= clock.nowMillis()) {
            lingeringUntilMillis.remove();
        }
    }

    /** Returns the number of calls that were made and have not ended. */
    int inFlight() {
        return inFlight;
    }

    /** Returns the paused runs whose call has not been made yet. */
    List<ActiveRequest> waiting() {
        return Collections.unmodifiableList(waiting);
    }

    /** Adds a paused run that waits for its call to be made. */
    void enqueue(ActiveRequest request) {
        waiting.add(request);
    }

    /** Removes a run that no longer needs a call. */
    void dequeue(ActiveRequest request) {
        waiting.remove(request);
    }

    /**
     * Makes the calls that are allowed now. A run that cannot call in time, or has waited for a
     * tick, continues without its call if its class gives weight to a degraded answer.
     */
    void makeCalls(double nowMillis) {
        for (ActiveRequest request : List.copyOf(waiting)) {
            boolean canDegrade = request.spec.degradedWeightShare() > 0;
            double timeoutMillis = timeoutMillis(request, nowMillis);
            boolean inTime = timeoutMillis > 0 && (inFlight == 0 || meanCallMillis < timeoutMillis);
            if (inTime && mayCall(timeoutMillis)) {
                waiting.remove(request);
                request.callInFlight = true;
                inFlight++;
                actions.callDependency(request.id, timeoutMillis);
            } else if (canDegrade
                    && (!inTime
                            || nowMillis - request.pausedAtMillis
                                    >= OverloadController.TICK_MILLIS)) {
                skip(request);
            }
        }
    }

    private double timeoutMillis(ActiveRequest request, double nowMillis) {
        double timeoutMillis = draining.answerByMillis(request) - nowMillis;
        if (request.spec.degradedWeightShare() > 0) {
            double maxTimeoutMillis =
                    Math.max(
                            LearnedStatistics.ASSUMED_RUN_SHARE * request.spec.objectiveMillis(),
                            SLOW_RATIO * SLOW_RATIO * calmCallMillis);
            double timeToObjectiveMillis =
                    request.objectiveAtMillis - estimator.runMillis(request) / 2 - nowMillis;
            timeoutMillis =
                    Math.min(Math.min(timeoutMillis, timeToObjectiveMillis), maxTimeoutMillis);
        }
        return timeoutMillis;
    }

    /**
     * Whether a call may be made now. Where the quota is less than one call, calls are charged by
     * the time they take.
     */
    private boolean mayCall(double timeoutMillis) {
        double quota =
                settings.dependency().kind() == DependencyKind.SHARED
                        ? settings.dependency().concurrentCallQuota() * MAX_QUOTA_SHARE
                        : 0;
        boolean withinQuota =
                quota >= 1 ? inFlight + lingeringUntilMillis.size() + 1 <= quota : quota == 0;
        if (quota > 0 && quota < 1) {
            double reservedMillis =
                    (inFlight + 1) * (timeoutMillis + settings.dependency().abandonedCallMillis());
            withinQuota =
                    overdrawnMillis + reservedMillis
                                    <= quota * settings.dependency().quotaWindowMillis() / 2
                            || (inFlight == 0 && overdrawnMillis <= 0);
        }
        return withinQuota && inFlight + 1 <= callLimit;
    }

    /**
     * Notes that a call has ended. A call that was abandoned, by a timeout, a reset or the end of
     * its request, still occupies the dependency for a while, and counts until then.
     */
    void ended(ActiveRequest request, boolean abandoned) {
        request.callInFlight = false;
        inFlight--;
        if (abandoned) {
            lingeringUntilMillis.add(
                    clock.nowMillis() + settings.dependency().abandonedCallMillis());
        }
    }

    /**
     * Learns from a call that ended: fewer calls are allowed at once while they are slow or fail,
     * and more again while they are quick.
     */
    void learn(RequestClass requestClass, boolean succeeded, double elapsedMillis) {
        double raisedMillis =
                Math.min(
                        Smoothing.blend(calmCallMillis, elapsedMillis, Smoothing.CALM_WEIGHT),
                        calmCallMillis * (1 + MAX_BASELINE_RISE));
        calmCallMillis = calmCallMillis == 0 ? elapsedMillis : raisedMillis;
        meanCallMillis =
                meanCallMillis == 0
                        ? elapsedMillis
                        : meanCallMillis
                                + Smoothing.OUTCOME_WEIGHT * (elapsedMillis - meanCallMillis);
        boolean slow =
                !succeeded
                        || elapsedMillis
                                > Math.max(
                                        SLOW_RATIO * calmCallMillis,
                                        LearnedStatistics.ASSUMED_RUN_SHARE
                                                * requestClass.objectiveMillis());
        double maxCalls = Math.max(1, limit.survivable());
        callLimit = Math.min(callLimit, maxCalls);
        callLimit =
                slow
                        ? Math.max(1, callLimit * SLOW_CALL_FACTOR)
                        : Math.min(maxCalls, callLimit + 1 / callLimit);
    }

    /** Continues the run without its call, for a degraded answer. */
    void skip(ActiveRequest request) {
        waiting.remove(request);
        cores.resume(request);
        actions.skipDependency(request.id);
    }
}
