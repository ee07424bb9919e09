package tinroad.overload;

import tinroad.overload.Controller.Request;
import tinroad.overload.Controller.RequestClass;
import tinroad.overload.Controller.Tenant;

/** One request from its arrival until its final answer is out and its run, if any, has ended. */
final class ActiveRequest {
    /** How far the request has come. */
    enum State {
        /** Waits for a run. */
        QUEUED,
        /** A duplicate that waits for the result of the request it repeats. */
        JOINED,
        RUNNING,
        /** Its run is paused for a call to the dependency. */
        CALLING
    }

    final String id;

    /** The class under which the request arrived, whatever has been committed since. */
    final RequestClass spec;

    final ClassStatistics statistics;
    final int tenantSlot;

    /** The tenant's quota and share as they were at the arrival; null for none. */
    final Tenant tenant;

    final int caller;
    final double memoryKb;
    final double arrivedAtMillis;
    final double deadlineAtMillis;

    /** The latest time at which an answer meets the latency objective. */
    final double objectiveAtMillis;

    /**
     * Priority that the client assigned, 0 to 1. {@link RequestPriority} decides the order in the
     * queue.
     */
    final double priority;

    /** Whether the client marked the request as a retry. */
    final boolean retry;

    /** Work that the client announced for the request; 0 if it announced none. */
    final double workMillis;

    State state = State.QUEUED;

    /** Whether the final answer is out or the client has disconnected. */
    boolean answered;

    /** Whether a run of the request was ever started. */
    boolean started;

    boolean keyRetained;
    boolean callInFlight;

    /**
     * Core time at which the run began, moved forward by the core time that passed while it was
     * paused.
     */
    double startedAtCoreMillis;

    double pausedAtMillis;
    double pausedAtCoreMillis;

    /** Total time that the run has been paused for calls so far. */
    double pausedMillis;

    /**
     * @param requestClass the class of the request at its arrival
     * @param carriesDeadline whether the deadline that the request carries is the client's own
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
