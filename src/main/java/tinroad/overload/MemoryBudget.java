package tinroad.overload;

import tinroad.overload.ActiveRequest.State;
import tinroad.overload.Controller.Actions;
import tinroad.overload.Controller.Idempotency;
import tinroad.overload.Controller.Request;
import tinroad.overload.Controller.RequestClass;
import tinroad.overload.Controller.Settings;

/**
 * Tracks the memory, in KB, that requests, runs and retained idempotency keys use, and compares it
 * with the memory of the server, so that the server does not run out of it. Where the size of the
 * memory is unknown, everything fits.
 */
final class MemoryBudget {
    /** Share of the memory that may be used; the rest is a reserve for what arrives meanwhile. */
    private static final double MAX_USED_SHARE = 0.92;

    /**
     * Share of the memory up to which a further run may start, or a key may be retained that need
     * not be.
     */
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

    /** Whether there is memory for what a request of this class needs besides its own body. */
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

    /** Number of keys that are retained and have not expired. */
    int retainedKeys() {
        return retainedKeys.activeSize();
    }

    boolean exceeded() {
        return usedKb > capacityKb(MAX_USED_SHARE);
    }

    /**
     * Whether the run of this request fits into memory. A server that runs nothing may use the
     * reserve for arrivals for one run.
     */
    boolean fitsRun(ActiveRequest request, int running) {
        double share = running == 0 ? MAX_USED_SHARE : MAX_USED_SHARE_FOR_RUNS;
        return usedKb + request.memoryKb * (settings.runMemoryFactor() - 1) <= capacityKb(share);
    }

    void runStarted(ActiveRequest request) {
        usedKb += request.memoryKb * (settings.runMemoryFactor() - 1);
    }

    /**
     * Releases the memory of a request that is over. Must be called before the state of the request
     * changes, because the state shows whether it ran.
     */
    void requestEnded(ActiveRequest request) {
        usedKb -=
                request.memoryKb
                        * (request.state == State.QUEUED || request.state == State.JOINED
                                ? 1
                                : settings.runMemoryFactor());
    }

    /**
     * Retains the request's idempotency key where duplicates have to be recognized, or where its
     * result may be replayed and memory allows it.
     */
    void retainKey(
            ActiveRequest active, RequestClass requestClass, Request request, double nowMillis) {
        double retentionMillis = 0;
        if (requestClass.idempotency() == Idempotency.IDEMPOTENT_WITH_KEY) {
            retentionMillis = requestClass.keyRetentionMillis() + settings.clockStepMillis();
        } else if (requestClass.idempotency() == Idempotency.IDEMPOTENT
                && settings.resultReplayMillis() > 0
                && request.resultKey() != null
                && usedKb + settings.keyKb() <= capacityKb(MAX_USED_SHARE_FOR_RUNS)) {
            retentionMillis = active.deadlineAtMillis - nowMillis + settings.resultReplayMillis();
        }
        if (retentionMillis > 0) {
            actions.retainKey(active.id, retentionMillis);
            active.keyRetained = true;
            retainedKeys.put(active.id, nowMillis + retentionMillis + settings.clockStepMillis());
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
