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
 * The calls of runs to the dependency: when each is made, how many at once, and which runs go on
 * without. Guards the dependency: this server never has more calls in flight than its quota, those
 * abandoned ones included, and fewer while calls are slow or fail.
 */
final class DependencyCalls {
    /** Part of this server's quota of concurrent calls that is ever used. */
    private static final double MAX_QUOTA_SHARE = 0.8;

    /** A call this many times slower than the calm baseline is slow. */
    private static final double SLOW_RATIO = 2;

    /**
     * How far one call may raise the calm baseline, in parts of it, so that a slow spell is not
     * soon taken for calm.
     */
    private static final double MAX_BASELINE_RISE = 0.002;

    /** What a slow call leaves of the limit; a quick one adds a whole one for all of them. */
    private static final double SLOW_CALL_FACTOR = 0.8;

    private final Settings settings;
    private final Actions actions;
    private final ControllerClock clock;
    private final CoreUsage cores;
    private final ConcurrencyLimit limit;
    private final RunTimeEstimator estimator;
    private final DrainPolicy draining;

    /** Paused runs whose call is not made yet. */
    private final List<ActiveRequest> waiting = new ArrayList<>();

    /** When each abandoned call has left the dependency, too. */
    private final ArrayDeque<Double> lingeringUntilMillis = new ArrayDeque<>();

    private int inFlight;

    /** Latency of calls while calm; 0: none has ended yet. */
    private double calmCallMillis;

    /** Moving average of the latency of calls; 0: none has ended yet. */
    private double callMillis;

    /** Calls in flight at most, by their latency and failures; the quota is a second bound. */
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

    /** Time passes. */
    void advance(double passedMillis) {
        overdrawnMillis =
                Math.max(
                                0,
                                overdrawnMillis
                                        - passedMillis
                                                * settings.dependency().concurrentCallQuota()
                                                * MAX_QUOTA_SHARE
                                                / 2)
                        + passedMillis * (inFlight + lingeringUntilMillis.size());
        while (!lingeringUntilMillis.isEmpty()
                && lingeringUntilMillis.peek() <= clock.nowMillis()) {
            lingeringUntilMillis.remove();
        }
    }

    /** Calls that were made and have not ended. */
    int inFlight() {
        return inFlight;
    }

    /** Paused runs whose call is not made yet. */
    List<ActiveRequest> waiting() {
        return Collections.unmodifiableList(waiting);
    }

    /** A paused run wants a call. */
    void enqueue(ActiveRequest request) {
        waiting.add(request);
    }

    /** It needs none any more. */
    void dequeue(ActiveRequest request) {
        waiting.remove(request);
    }

    /**
     * Makes the calls that are allowed now. A run that cannot call in time, or has waited for a
     * tick, goes on without its call, where its class gives a degraded answer a weight.
     */
    void makeCalls(double nowMillis) {
        for (ActiveRequest request : List.copyOf(waiting)) {
            boolean canDegrade = request.spec.degradedWeightShare() > 0;
            double timeoutMillis = timeoutMillis(request, nowMillis);
            boolean inTime = timeoutMillis > 0 && (inFlight == 0 || callMillis < timeoutMillis);
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
            double mostMillis =
                    Math.max(
                            LearnedStatistics.FIRST_RUN_SHARE * request.spec.objectiveMillis(),
                            SLOW_RATIO * SLOW_RATIO * calmCallMillis);
            double inTimeMillis =
                    request.objectiveAtMillis - estimator.runMillis(request) / 2 - nowMillis;
            timeoutMillis = Math.min(Math.min(timeoutMillis, inTimeMillis), mostMillis);
        }
        return timeoutMillis;
    }

    /** Where the quota is less than one call, calls are paid for by the time they take. */
    private boolean mayCall(double timeoutMillis) {
        double quota =
                settings.dependency().kind() == DependencyKind.SHARED
                        ? settings.dependency().concurrentCallQuota() * MAX_QUOTA_SHARE
                        : 0;
        boolean withinQuota =
                quota >= 1 ? inFlight + lingeringUntilMillis.size() + 1 <= quota : quota == 0;
        if (quota > 0 && quota < 1) {
            double reservedMillis =
                    (inFlight + 1) * (timeoutMillis + settings.dependency().lingerMillis());
            withinQuota =
                    overdrawnMillis + reservedMillis
                                    <= quota * settings.dependency().quotaWindowMillis() / 2
                            || (inFlight == 0 && overdrawnMillis <= 0);
        }
        return withinQuota && inFlight + 1 <= callLimit;
    }

    /**
     * A call has ended. One that was abandoned, by a timeout, a reset or the end of its request, is
     * in the dependency for a while yet, and counts.
     */
    void ended(ActiveRequest request, boolean abandoned) {
        request.callInFlight = false;
        inFlight--;
        if (abandoned) {
            lingeringUntilMillis.add(clock.nowMillis() + settings.dependency().lingerMillis());
        }
    }

    /** Fewer calls at once while they are slow or fail, more again while they are quick. */
    void learn(RequestClass requestClass, boolean succeeded, double elapsedMillis) {
        double raisedMillis =
                Math.min(
                        Smoothing.blend(calmCallMillis, elapsedMillis, Smoothing.CALM_WEIGHT),
                        calmCallMillis * (1 + MAX_BASELINE_RISE));
        calmCallMillis = calmCallMillis == 0 ? elapsedMillis : raisedMillis;
        callMillis =
                callMillis == 0
                        ? elapsedMillis
                        : callMillis + Smoothing.OUTCOME_WEIGHT * (elapsedMillis - callMillis);
        boolean slow =
                !succeeded
                        || elapsedMillis
                                > Math.max(
                                        SLOW_RATIO * calmCallMillis,
                                        LearnedStatistics.FIRST_RUN_SHARE
                                                * requestClass.objectiveMillis());
        double most = Math.max(1, limit.survivable());
        callLimit = Math.min(callLimit, most);
        callLimit =
                slow
                        ? Math.max(1, callLimit * SLOW_CALL_FACTOR)
                        : Math.min(most, callLimit + 1 / callLimit);
    }

    /** The run goes on without its call, for a poorer answer. */
    void skip(ActiveRequest request) {
        waiting.remove(request);
        cores.resume(request);
        actions.skipDependency(request.id);
    }
}
