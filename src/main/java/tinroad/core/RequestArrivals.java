package tinroad.core;

import tinroad.catalog.Catalog;
import tinroad.overload.Controller;
import tinroad.overload.Controller.Idempotency;
import tinroad.overload.Controller.RequestClass;

/**
 * Validates each request that a frontend has read, and passes it to the overload controller. A
 * request that can't be accepted is answered here and never enters the request table. All methods
 * must be called on the event loop.
 */
final class RequestArrivals {
    private final boolean requestsCarryDeadline;
    private final Clock clock;
    private final ActiveCatalog catalog;
    private final RequestTable requests;
    private final IdempotencyTable idempotency;
    private final GatewayMetrics metrics;
    private final ControllerDriver driver;
    private final GracefulShutdown shutdown;
    private final WarmStart warmStart;

    RequestArrivals(
            boolean requestsCarryDeadline,
            Clock clock,
            ActiveCatalog catalog,
            RequestTable requests,
            IdempotencyTable idempotency,
            GatewayMetrics metrics,
            ControllerDriver driver,
            GracefulShutdown shutdown,
            WarmStart warmStart) {
        this.requestsCarryDeadline = requestsCarryDeadline;
        this.clock = clock;
        this.catalog = catalog;
        this.requests = requests;
        this.idempotency = idempotency;
        this.metrics = metrics;
        this.driver = driver;
        this.shutdown = shutdown;
        this.warmStart = warmStart;
    }

    void handle(IncomingRequest incoming, ResponseSink responseSink) {
        double nowMillis = clock.nowMillis();
        Catalog.ClassEntry classEntry = catalog.classEntry(incoming.className());
        if (classEntry == null) {
            // An invalid answer promises that nothing ran. That would be wrong if another attempt
            // ran before the class was removed.
            responseSink.respond(
                    idempotency.isRunSubmitted(incoming.idempotencyKey(), nowMillis)
                            ? Response.failed(Progress.SENT)
                            : Response.invalid());
            return;
        }
        int tenantSlot = catalog.tenantSlot(incoming.tenantName());
        boolean keyed = isKeyed(incoming, classEntry.spec(), nowMillis);
        if (!isValid(incoming, tenantSlot, keyed, nowMillis)) {
            respondWithoutEntry(classEntry, responseSink, Response.invalid());
            return;
        }
        // A client's clock may run ahead: an age is never negative, and a deadline is never later
        // than the class's.
        double ageMillis = Math.max(0, nowMillis - incoming.arrivedAtMillis());
        double deadlineAtMillis =
                nowMillis - ageMillis + timeoutMillis(incoming, classEntry.spec());
        ActiveRequest request =
                new ActiveRequest(
                        incoming, classEntry, tenantSlot, deadlineAtMillis, keyed, responseSink);
        request.duplicateOf = idempotency.findOriginal(request, nowMillis);
        if (IdempotencyTable.conflicts(request, request.duplicateOf)) {
            respondWithoutEntry(classEntry, responseSink, Response.invalid());
        } else if (!canAccept(request, keyed, nowMillis)) {
            respondWithoutEntry(
                    classEntry,
                    responseSink,
                    request.mayHaveRun()
                            ? Response.failed(Progress.SENT)
                            : Response.rejected(0, false));
        } else {
            accept(incoming, request, nowMillis, ageMillis);
        }
    }

    /**
     * Returns whether the request counts as keyed: its class is keyed, or was when the request ran.
     */
    private boolean isKeyed(IncomingRequest incoming, RequestClass requestClass, double nowMillis) {
        return requestClass.idempotency() == Idempotency.IDEMPOTENT_WITH_KEY
                || idempotency.isRunSubmitted(incoming.idempotencyKey(), nowMillis);
    }

    private boolean isValid(
            IncomingRequest incoming, int tenantSlot, boolean keyed, double nowMillis) {
        // Without its key it is unknown whether a keyed request ran. It is not run on a guess, as
        // the harm could not be undone.
        return tenantSlot >= 0
                && !(Math.abs(nowMillis - incoming.arrivedAtMillis())
                        > catalog.maxArrivalOffsetMillis())
                && !requests.isKnown(incoming.id())
                && !(keyed && incoming.idempotencyKey() == null);
    }

    private boolean carriesDeadline(IncomingRequest incoming) {
        return requestsCarryDeadline && !Double.isNaN(incoming.clientTimeoutMillis());
    }

    private double timeoutMillis(IncomingRequest incoming, RequestClass requestClass) {
        return carriesDeadline(incoming)
                ? Math.min(incoming.clientTimeoutMillis(), requestClass.deadlineMillis())
                : requestClass.deadlineMillis();
    }

    /**
     * Returns whether the controller is notified of the request. It is not if the deadline passed
     * before the request was read, which would distort the controller's averages, if the
     * idempotency table has no capacity for the request's key, or if another process of the gateway
     * may have run it.
     */
    private boolean canAccept(ActiveRequest request, boolean keyed, double nowMillis) {
        return driver.isStarted()
                && !request.unknownWhetherRun
                && !(nowMillis >= request.deadlineAtMillis)
                && !(keyed && request.duplicateOf == null && idempotency.isFull());
    }

    private void accept(
            IncomingRequest incoming, ActiveRequest request, double nowMillis, double ageMillis) {
        catalog.recordClassName(request.classEntry);
        requests.add(request);
        String duplicateOf = request.duplicateOf == null ? null : request.duplicateOf.requestId;
        double reportedAgeMillis = shutdown.reportedAgeMillis(nowMillis, ageMillis);
        driver.dispatch(
                () ->
                        driver.controller()
                                .requestArrived(
                                        nowMillis,
                                        new Controller.Request(
                                                request.id,
                                                request.classEntry.slot(),
                                                request.tenantSlot,
                                                incoming.caller(),
                                                incoming.memoryKb(),
                                                carriesDeadline(incoming)
                                                        ? request.deadlineAtMillis
                                                        : 0,
                                                reportedAgeMillis,
                                                incoming.priority(),
                                                0,
                                                incoming.resultKey(),
                                                duplicateOf,
                                                incoming.retry(),
                                                request.requestClass().idempotency()
                                                        != Idempotency.IDEMPOTENT)));
        request.copyBody();
        warmStart
                .recoveryPhase()
                .requestArrived(
                        !request.answered
                                || request.progress != Progress.NOT_SENT
                                || request.duplicateOf != null);
    }

    /** Answers a request that never enters the request table. */
    private void respondWithoutEntry(
            Catalog.ClassEntry classEntry, ResponseSink responseSink, Response response) {
        metrics.countResponse(classEntry.slot(), classEntry.name(), response.kind());
        responseSink.respond(response);
    }
}
