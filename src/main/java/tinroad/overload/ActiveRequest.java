package tinroad.overload;

import tinroad.overload.Controller.Request;
import tinroad.overload.Controller.RequestClass;
import tinroad.overload.Controller.Tenant;

/** One request from its arrival until its final answer is out and its run, if any, has ended. */
final class ActiveRequest {
    /** How far it has come. */
    enum State {
        /** Waits for a run. */
        QUEUED,
        /** Duplicate request that waits for the result of the one it repeats. */
        JOINED,
        RUNNING,
        /** Its run is paused for a call to the dependency. */
        CALLING
    }

    final String id;

    /** The class it arrived under, whatever has been committed since. */
    final RequestClass spec;

    final ClassStatistics statistics;
    final int tenantSlot;

    /** The tenant's quota as it was at the arrival; null: none. */
    final Tenant tenant;

    final int caller;
    final double memoryKb;
    final double arrivedAtMillis;
    final double deadlineAtMillis;

    /** When its answer would meet the latency objective at the latest. */
    final double objectiveAtMillis;

    /**
     * Priority that the client gave it, 0 to 1; the order in the queue is {@link
     * RequestPriority}'s.
     */
    final double priority;

    /** The client marked it as a retry. */
    final boolean retry;

    /** Work that the client announced for it; 0: not announced. */
    final double workMillis;

    State state = State.QUEUED;

    /** The final answer is out, or the client has gone. */
    boolean answered;

    /** Its run was started at some time. */
    boolean started;

    boolean keyRetained;
    boolean callInFlight;

    /** Core time when its run began, moved on by the core time of its pauses. */
    double startedAtCoreMillis;

    double pausedAtMillis;
    double pausedAtCoreMillis;

    /** How long its run has been paused for calls so far. */
    double pausedMillis;

    /**
     * @param requestClass its class at the arrival
     * @param carriesDeadline whether the deadline that the request names is the client's own
     * @param spentMillis what earlier attempts have spent of the client's timeout
     */
    ActiveRequest(
            Request request,
            RequestClass requestClass,
            ClassStatistics statistics,
            Tenant tenant,
            double nowMillis,
            boolean carriesDeadline,
            double spentMillis) {
        id = request.id();
        spec = requestClass;
        this.statistics = statistics;
        tenantSlot = request.tenantSlot();
        this.tenant = tenant;
        caller = request.caller();
        memoryKb = request.memoryKb();
        arrivedAtMillis = nowMillis - request.ageMillis();
        deadlineAtMillis =
                carriesDeadline && request.deadlineAtMillis() > 0
                        ? request.deadlineAtMillis()
                        : arrivedAtMillis + requestClass.deadlineMillis();
        double objectiveMillis =
                Math.min(
                        requestClass.deadlineMillis(),
                        requestClass.objectiveMillis()
                                + requestClass.objectivePerWork() * request.workMillis());
        objectiveAtMillis =
                Math.min(deadlineAtMillis, arrivedAtMillis + objectiveMillis - spentMillis);
        priority = request.priority();
        retry = request.retry();
        workMillis = request.workMillis();
    }

    boolean isQueued() {
        return state == State.QUEUED;
    }

    boolean isRunning() {
        return state == State.RUNNING;
    }
}
