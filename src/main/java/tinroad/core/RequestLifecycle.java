package tinroad.core;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import org.slf4j.Logger;
import tinroad.overload.Controller.Outcome;
import tinroad.overload.Controller.RequestClass;

/**
 * What happens to a request after its arrival: its run, its answer, the answers to its duplicates,
 * its end. Decides nothing beyond what keeps the rules: one answer to each request, no second run.
 * Owned by the event loop.
 */
final class RequestLifecycle {
    private final RequestTable requests;
    private final IdempotencyTable idempotency;
    private final GatewayMetrics metrics;
    private final ControllerDriver driver;
    private final WarmStart warmStart;
    private final Engine engine;
    private final Clock clock;
    private final Logger log;

    RequestLifecycle(
            RequestTable requests,
            IdempotencyTable idempotency,
            GatewayMetrics metrics,
            ControllerDriver driver,
            WarmStart warmStart,
            Engine engine,
            Clock clock,
            Logger log) {
        this.requests = requests;
        this.idempotency = idempotency;
        this.metrics = metrics;
        this.driver = driver;
        this.warmStart = warmStart;
        this.engine = engine;
        this.clock = clock;
        this.log = log;
    }

    // --- answers ---

    /** Answers the request with this id; does nothing where it is not in flight. */
    void respond(String id, Response response) {
        ActiveRequest request = requests.find(id);
        if (request != null) {
            respond(request, response);
        }
    }

    void fail(String id) {
        ActiveRequest request = requests.find(id);
        if (request != null) {
            respond(request, Response.failed(request.progress));
        }
    }

    /**
     * The one place where answers leave. Guards the rule of exactly one answer: a late or second
     * one is dropped here; and the promise of a rejection: what was sent to run fails instead.
     */
    void respond(ActiveRequest request, Response response) {
        if (request.answered) {
            return;
        }
        request.answered = true;
        request.dropBody();
        if (request.progress == Progress.NOT_SENT) {
            requests.remove(request);
            complete(request, null);
            if (requests.removeAwaitingLink(request)) {
                notifyIgnored(request.id);
            }
        }
        Response sent =
                response.kind() == Response.Kind.REJECTED && request.mayHaveRun()
                        ? Response.failed(request.progress)
                        : response;
        metrics.countResponse(request.classEntry.slot(), request.className(), sent.kind());
        request.responseSink.respond(sent);
    }

    /** The client has disconnected, so far as its frontend knows. */
    void cancel(String id, ResponseSink responseSink) {
        ActiveRequest request = requests.find(id);
        // Guards the request of another client under the same id.
        if (request == null
                || request.responseSink != responseSink
                || request.progress != Progress.NOT_SENT) {
            return;
        }
        boolean awaitedLink = requests.isAwaitingLink(request);
        respond(request, Response.failed(Progress.NOT_SENT));
        if (!awaitedLink) {
            driver.dispatch(() -> driver.controller().cancelled(clock.nowMillis(), id));
        }
    }

    // --- duplicates ---

    void retainKey(String id, double durationMillis) {
        ActiveRequest request = requests.find(id);
        if (request != null) {
            idempotency.retain(request, clock.nowMillis() + durationMillis, clock.nowMillis());
        }
    }

    void releaseKey(String id) {
        idempotency.release(id);
    }

    /** Answers a duplicate with the result of its original, now or once that is there. */
    void replayResult(String id) {
        ActiveRequest request = requests.find(id);
        if (request == null || request.duplicateOf == null) {
            return;
        }
        request.replayRequestedAtMillis = clock.nowMillis();
        if (!request.duplicateOf.completed()) {
            request.duplicateOf.addWaitingDuplicate(request);
        } else {
            byte[] result = request.duplicateOf.result();
            respondToDuplicate(request, result == null ? null : Unpooled.wrappedBuffer(result));
        }
    }

    /** A request is over; its duplicates that wait are answered alike. No result: null. */
    private void complete(ActiveRequest request, ByteBuf result) {
        for (ActiveRequest duplicate : idempotency.complete(request, result, clock.nowMillis())) {
            respondToDuplicate(duplicate, result);
        }
    }

    private void respondToDuplicate(ActiveRequest duplicate, ByteBuf result) {
        respond(
                duplicate,
                result == null
                        ? Response.failed(Progress.NOT_SENT)
                        : Response.served(result.duplicate()));
        driver.dispatch(
                () ->
                        driver.controller()
                                .completed(
                                        clock.nowMillis(),
                                        duplicate.id,
                                        clock.nowMillis() - duplicate.replayRequestedAtMillis,
                                        result == null ? Outcome.FAILED : Outcome.OK));
    }

    // --- runs ---

    /** The controller wants this request run. */
    void run(String id) {
        ActiveRequest request = requests.find(id);
        if (request == null || request.answered) {
            // Its answer has left: it must not run, and the controller gets its capacity back.
            notifyIgnored(id);
        } else if (request.progress == Progress.NOT_SENT && !requests.isAwaitingLink(request)) {
            submit(request);
        }
    }

    /** Sends a request to the engine, or queues it until the link is back. */
    void submit(ActiveRequest request) {
        RequestClass requestClass = request.requestClass();
        if (!idempotency.claimRun(
                request,
                requestClass.keyWindowMillis(),
                requestClass.deadlineMillis(),
                clock.nowMillis())) {
            // Guards the rule of one run where the controller does not: another attempt of it has
            // run, or is about to.
            failUnsent(request);
            return;
        }
        try {
            request.progress = engine.run(request.id, request.className(), request.body);
        } catch (RuntimeException | OutOfMemoryError e) {
            // Guards the request, and its capacity in the controller, against a command that can't
            // even be written: nothing has left.
            log.error("run command not written: {}", e.toString());
            idempotency.revokeRun(request);
            failUnsent(request);
            return;
        }
        if (request.progress == Progress.NOT_SENT) {
            idempotency.revokeRun(request);
            requests.addAwaitingLink(request);
        } else {
            metrics.countRun();
        }
    }

    private void failUnsent(ActiveRequest request) {
        respond(request, Response.failed(Progress.NOT_SENT));
        notifyIgnored(request.id);
    }

    /** The engine has reported the end of a run; {@code result} is valid during the call only. */
    void runEnded(String id, Engine.RunOutcome outcome, double tookMillis, ByteBuf result) {
        ActiveRequest request = requests.find(id);
        // Guards against an event that comes twice, or for what was never sent.
        if (request == null || request.progress != Progress.SENT) {
            return;
        }
        boolean done = outcome == Engine.RunOutcome.DONE;
        // What the engine did not carry out never ran.
        request.progress = outcome == Engine.RunOutcome.REJECTED ? Progress.NOT_SENT : Progress.RAN;
        complete(request, done ? result : null);
        respond(request, done ? Response.served(result) : Response.failed(request.progress));
        requests.remove(request);
        if (done) {
            warmStart
                    .recoveryPhase()
                    .runCompleted(
                            clock.nowMillis(),
                            tookMillis,
                            ActiveCatalog.expectedRunMillis(request.requestClass()));
        }
        // Guards a client's id against others that name it first, with what the engine does not
        // know.
        if (outcome != Engine.RunOutcome.REJECTED) {
            requests.markExecuted(request);
        }
        driver.dispatch(
                () ->
                        driver.controller()
                                .completed(clock.nowMillis(), id, tookMillis, outcomeOf(outcome)));
    }

    private static Outcome outcomeOf(Engine.RunOutcome outcome) {
        return switch (outcome) {
            case DONE -> Outcome.OK;
            case CRASHED -> Outcome.FAILED;
            case ABORTED -> Outcome.CANCELED;
            case STALE, REJECTED -> Outcome.IGNORED;
        };
    }

    /**
     * Gives up on a run whose command may have been lost with its link: no event will report its
     * end, and its capacity must not stay taken.
     */
    void abandonLostRun(ActiveRequest request) {
        if (requests.remove(request)) {
            requests.markExecuted(request);
            complete(request, null);
            notifyIgnored(request.id);
        }
    }

    private void notifyIgnored(String id) {
        driver.dispatch(
                () -> driver.controller().completed(clock.nowMillis(), id, 0, Outcome.IGNORED));
    }
}
