package tinroad.overload;

import tinroad.overload.ActiveRequest.State;
import tinroad.overload.Controller.Actions;
import tinroad.overload.Controller.Idempotency;
import tinroad.overload.Controller.Request;
import tinroad.overload.Controller.RequestClass;
import tinroad.overload.Controller.Settings;

/**
 * The memory that requests, runs and retained idempotency keys use, in KB, against the server's
 * own. Guards against running out of it. Without a known size everything fits.
 */
final class MemoryBudget {
    /** Part of the memory that may be used; the rest is for what arrives meanwhile. */
    private static final double MAX_USED_SHARE = 0.92;

    /** The same for a further run, and for keys retained without need. */
    private static final double MAX_USED_SHARE_FOR_RUNS = 0.85;

    private final Settings settings;
    private final Actions actions;
    private final ExpiringSet retainedKeys = new ExpiringSet();
    private double usedKb;

    MemoryBudget(Settings settings, Actions actions) {
        this.settings = settings;
        this.actions = actions;
    }

    void requestArrived(ActiveRequest request) {
        usedKb += request.memoryKb;
    }

    /** There is room for what a request of this class needs beside its own body. */
    boolean fits(RequestClass requestClass) {
        double keyKb =
                requestClass.idempotency() == Idempotency.IDEMPOTENT_WITH_KEY
                        ? settings.keyKb()
                        : 0;
        return usedKb + keyKb <= capacityKb(MAX_USED_SHARE);
    }

    double usedKb() {
        return usedKb;
    }

    /** Keys that are retained and not expired yet. */
    int retainedKeys() {
        return retainedKeys.activeSize();
    }

    boolean exceeded() {
        return usedKb > capacityKb(MAX_USED_SHARE);
    }

    /** A server that runs nothing may use the arrivals' reserve for one run. */
    boolean fitsRun(ActiveRequest request, int running) {
        double share = running == 0 ? MAX_USED_SHARE : MAX_USED_SHARE_FOR_RUNS;
        return usedKb + request.memoryKb * (settings.runMemoryFactor() - 1) <= capacityKb(share);
    }

    void runStarted(ActiveRequest request) {
        usedKb += request.memoryKb * (settings.runMemoryFactor() - 1);
    }

    /** The request is over; to be called before its state changes, which shows whether it ran. */
    void requestEnded(ActiveRequest request) {
        usedKb -=
                request.memoryKb
                        * (request.state == State.QUEUED || request.state == State.JOINED
                                ? 1
                                : settings.runMemoryFactor());
    }

    /**
     * Retains the request's idempotency key where duplicates have to be known, or where its result
     * may be replayed and there is room.
     */
    void retainKey(
            ActiveRequest active, RequestClass requestClass, Request request, double nowMillis) {
        double spanMillis = 0;
        if (requestClass.idempotency() == Idempotency.IDEMPOTENT_WITH_KEY) {
            spanMillis = requestClass.keyWindowMillis() + settings.clockStepMillis();
        } else if (requestClass.idempotency() == Idempotency.IDEMPOTENT
                && settings.resultFreshMillis() > 0
                && request.resultKey() != null
                && usedKb + settings.keyKb() <= capacityKb(MAX_USED_SHARE_FOR_RUNS)) {
            spanMillis = active.deadlineAtMillis - nowMillis + settings.resultFreshMillis();
        }
        if (spanMillis > 0) {
            actions.retainKey(active.id, spanMillis);
            active.keyRetained = true;
            retainedKeys.put(active.id, nowMillis + spanMillis + settings.clockStepMillis());
            usedKb += settings.keyKb();
        }
    }

    /** Releases the key of a request that is over and never ran. */
    void releaseKey(ActiveRequest request) {
        if (!request.started && request.keyRetained && retainedKeys.remove(request.id)) {
            actions.releaseKey(request.id);
            usedKb -= settings.keyKb();
        }
    }

    void expireKeys(double nowMillis) {
        usedKb -= retainedKeys.expire(nowMillis) * settings.keyKb();
    }

    private double capacityKb(double share) {
        return settings.memoryKb() > 0 ? settings.memoryKb() * share : Double.MAX_VALUE;
    }
}
