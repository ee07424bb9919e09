package tinroad.core;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import org.slf4j.Logger;
import tinroad.overload.Controller.Outcome;
import tinroad.overload.Controller.RequestClass;

/**
 * Handles a request after its arrival: its run, its answer, the answers to its duplicates, and its
 * end. It decides nothing beyond what enforces the rules of one answer to each request and no
 * second run. All methods must be called on the event loop.
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

    /** Answers the request with this id; does nothing if it is not in flight. */
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
     * Answers a request; every answer leaves here. This enforces the rule of exactly one answer, as
     * a late or second one is dropped. It also enforces the promise of a rejection that nothing
     * ran, as a request that was sent to run fails instead.
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
                response.kind() == Response.Kind.REJECTED && mayHaveRun(request)
                        ? Response.failed(request.progress)
                        : response;
        metrics.countResponse(request.classEntry.slot(), request.className(), sent.kind());
        request.responseSink.respond(sent);
    }

    private boolean mayHaveRun(ActiveRequest request) {
        return request.mayHaveRun() || idempotency.mayBeRunByPeer(request, clock.nowMillis());
    }

    /** Cancels a request whose client has disconnected, as far as its frontend knows. */
    void cancel(String id, ResponseSink responseSink) {
        ActiveRequest request = requests.find(id);
        // Another client may have sent a request under the same id.
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

    /** Answers a duplicate with the result of its original, now or once there is one. */
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

    /**
     * Completes a request and answers its waiting duplicates alike; {@code result} is null if there
     * is none.
     */
    private void complete(ActiveRequest request, ByteBuf result) {
        for (ActiveRequest duplicate : idempotency.complete(request, result, clock.nowMillis())) {
            respondToDuplicate(duplicate, result);
        }
    }

    /** Answers the duplicates of runs of other processes that have ended. */
    void answerDuplicatesOfPeerRuns() {
        for (IdempotencyTable.PeerRunEnd end : idempotency.endedPeerRuns(clock.nowMillis())) {
            end.duplicates().forEach(duplicate -> respondToDuplicate(duplicate, end.result()));
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

    /** Runs a request, as the controller requested. */
    void run(String id) {
        ActiveRequest request = requests.find(id);
        if (request == null || request.answered) {
            // The request has been answered: it must not run, and the controller gets its capacity
            // back.
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
                requestClass.keyRetentionMillis(),
                requestClass.deadlineMillis(),
                clock.nowMillis())) {
            // Another attempt of the request has run, or is about to, here or in another process.
            // This enforces the rule of one run where the controller does not.
            failUnsent(request);
            return;
        }
        try {
            request.progress = engine.run(request.id, request.className(), request.body);
        } catch (RuntimeException | OutOfMemoryError e) {
            // The command could not even be written, so nothing was sent. The request is answered,
            // and the controller gets its capacity back.
            log.error("run command not written: {}", e.toString());
            idempotency.revokeClaim(request);
            failUnsent(request);
            return;
        }
        if (request.progress == Progress.NOT_SENT) {
            idempotency.revokeClaim(request);
            requests.addAwaitingLink(request);
        } else {
            metrics.countRun();
        }
    }

    private void failUnsent(ActiveRequest request) {
        respond(request, Response.failed(Progress.NOT_SENT));
        notifyIgnored(request.id);
    }

    /**
     * Handles the end of a run that the engine has reported; {@code result} is valid during the
     * call only.
     */
    void runEnded(String id, Engine.RunOutcome outcome, double tookMillis, ByteBuf result) {
        ActiveRequest request = requests.find(id);
        // The event may come twice, or for a run that was never sent.
        if (request == null || request.progress != Progress.SENT) {
            return;
        }
        boolean done = outcome == Engine.RunOutcome.DONE;
        // A run that the engine did not carry out never ran.
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
        // A rejected run does not use up its id. Otherwise another client could block an id by
        // using it first, in a request that the engine does not know.
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
     * Gives up on a run whose command may have been lost with its link. No event will report its
     * end, and its capacity must not stay occupied.
     */
    void abandonLostRun(ActiveRequest request) {
        if (requests.remove(request)) {
            requests.markExecuted(request);
            complete(request, null);
            notifyIgnored(request.id);
        }
    }

    /**
     * Notifies the controller that a request has ended without a run that counts, which releases
     * its capacity.
     */
    private void notifyIgnored(String id) {
        driver.dispatch(
                () -> driver.controller().completed(clock.nowMillis(), id, 0, Outcome.IGNORED));
    }
}
