package tinroad.lab.fake;

import java.util.BitSet;
import java.util.Locale;
import org.apache.commons.rng.UniformRandomProvider;
import tinroad.lab.schedule.Draw;
import tinroad.lab.schedule.PlannedRequest;
import tinroad.lab.script.Script;
import tinroad.lab.script.Script.RequestClass;
import tinroad.lab.verification.HistoryChecker;
import tinroad.lab.verification.RunHistory;
import tinroad.lab.verification.Try;

/**
 * The requests of one client proxy: chooses the gateway of each try, records its outcome and
 * decides whether to try again. Independent of sockets.
 */
public final class ClientProxyModel {
    /** Is notified of what happens to a try. */
    public interface TryListener {
        /** The request was written whole. */
        void sent();

        /**
         * A complete response arrived.
         *
         * @param served the engine's result, or null
         * @param stayAwayMillis how long the gateway asks not to be chosen, or 0
         * @param noRetry whether the response asks that the request not be tried again
         */
        void answered(
                Try.Outcome end,
                String status,
                String served,
                double stayAwayMillis,
                boolean noRetry);

        /**
         * The connection is gone.
         *
         * @param wasSent whether the request had been written
         * @param at when the other side closed the connection
         */
        void lost(boolean wasSent, double at);
    }

    /** Sends tries to their gateways. */
    @FunctionalInterface
    public interface TryTransport {
        /**
         * Sends a try. Returns false where no connection is available for it; the listener is not
         * notified then.
         */
        boolean send(
                PlannedRequest request, Try t, RequestClass requestClass, TryListener listener);
    }

    /** A request whose caller still waits for it. */
    private static final class PendingRequest {
        private final PlannedRequest request;
        private final RunHistory.RequestRecord record;
        private final BitSet triedGateways = new BitSet();
        private final double deadlineMillis;
        private Try currentTry;

        PendingRequest(
                PlannedRequest request, RunHistory.RequestRecord record, double deadlineMillis) {
            this.request = request;
            this.record = record;
            this.deadlineMillis = deadlineMillis;
        }
    }

    private final LabContext context;
    private final Script script;
    private final int number;
    private final GatewaySelector selector;
    private final RetryPolicy retryPolicy;
    private final UniformRandomProvider ids;
    private final TryTransport transport;

    /** Whether this proxy ignores the registry and its health checks. */
    private final boolean unaware;

    private int waiting;

    /** Creates proxy {@code number}, whose tries {@code transport} sends. */
    public ClientProxyModel(LabContext context, int number, TryTransport transport) {
        this.context = context;
        this.number = number;
        this.transport = transport;
        script = context.schedule.script();
        UniformRandomProvider random = Draw.stream(context.schedule.seed(), "proxy " + number);
        double heedingShare = script.callers().heedingShare();
        boolean heedsAdvice = isInShare(heedingShare);
        unaware = isInShare(script.callers().unawareShare());
        selector =
                new GatewaySelector(script.callers().choice(), script.fleet().gateways(), random);
        retryPolicy = new RetryPolicy(script.callers(), heedsAdvice, random);
        ids = Draw.stream(context.schedule.seed(), "ids " + number);
    }

    /**
     * Whether this proxy belongs to this share of all proxies, spread evenly over their numbers.
     */
    private boolean isInShare(double share) {
        return Math.floor((number + 1) * share + 0.5) > Math.floor(number * share + 0.5);
    }

    /** An update of the registry reached this proxy. */
    public void listed(int gateway, boolean takesWork) {
        if (!unaware) {
            selector.listed(gateway, takesWork);
        }
    }

    /** A health check ended. */
    public void checked(int gateway, boolean good) {
        if (!unaware) {
            selector.checked(gateway, good);
        }
    }

    /** Number of requests whose callers still wait. */
    public int waiting() {
        return waiting;
    }

    /** Accepts a request of a caller. */
    public void submit(PlannedRequest request) {
        RequestClass requestClass = script.classes().get(request.kind());
        waiting++;
        startTry(
                new PendingRequest(
                        request,
                        context.history.requests.get(request.number()),
                        request.at()
                                + script.callers().totalTimeoutFactor() * requestClass.deadline()),
                1);
    }

    private void startTry(PendingRequest pending, int tryNumber) {
        double nowMillis = context.now();
        int gateway = selector.next(nowMillis, pending.triedGateways, pending.request.subject());
        if (gateway < 0 && !pending.triedGateways.isEmpty()) {
            // Every available gateway was tried: all may be chosen again.
            pending.triedGateways.clear();
            gateway = selector.next(nowMillis, pending.triedGateways, pending.request.subject());
        }
        if (gateway < 0) {
            double at =
                    retryPolicy.nextSearchMillis(
                            nowMillis, pending.deadlineMillis, selector.nextAvailableMillis());
            if (at == RetryPolicy.NEVER) {
                finish(
                        pending,
                        pending.currentTry == null ? Try.Outcome.UNSENT : pending.currentTry.end);
            } else {
                context.events.at(at, () -> startTry(pending, tryNumber));
            }
            return;
        }
        pending.triedGateways.set(gateway);
        send(pending, tryNumber, gateway);
    }

    private void send(PendingRequest pending, int tryNumber, int gateway) {
        RequestClass requestClass = script.classes().get(pending.request.kind());
        double nowMillis = context.now();
        Try t =
                new Try(
                        String.format(Locale.ROOT, "%016x", ids.nextLong()),
                        pending.request.number(),
                        tryNumber,
                        number,
                        gateway,
                        requestClass.free(),
                        requestClass.free()
                                ? requestClass.name() + " " + pending.request.subject()
                                : null,
                        nowMillis + requestClass.deadline());
        pending.currentTry = t;
        pending.record.tries = tryNumber;
        t.incarnation = context.incarnation(gateway);
        context.triesById.put(t.id, t);
        context.history.tries.add(t);
        selector.addOpenTries(gateway, 1);
        context.events.at(
                Math.min(
                        pending.deadlineMillis,
                        nowMillis + script.callers().tryTimeoutShare() * requestClass.deadline()),
                () -> endTry(pending, t, Try.Outcome.GIVEN_UP, 0, false));
        if (!transport.send(pending.request, t, requestClass, listener(pending, t))) {
            endTry(pending, t, Try.Outcome.UNSENT, 0, false);
        }
    }

    private TryListener listener(PendingRequest pending, Try t) {
        return new TryListener() {
            @Override
            public void sent() {
                t.sentAt = context.now();
                t.addStep(t.sentAt, "proxy " + number, "sent");
            }

            @Override
            public void answered(
                    Try.Outcome end,
                    String status,
                    String served,
                    double stayAwayMillis,
                    boolean noRetry) {
                t.answers++;
                if (t.answers == 1) {
                    t.answeredAt = context.now();
                    t.answer = end;
                    t.served = served;
                    t.addStep(t.answeredAt, "proxy " + number, "answered " + status);
                }
                endTry(pending, t, t.answer, stayAwayMillis, noRetry);
            }

            @Override
            public void lost(boolean wasSent, double at) {
                t.brokenAt = at;
                t.addStep(
                        t.brokenAt,
                        "proxy " + number,
                        wasSent ? "connection lost" : "no connection");
                boolean crossed = wasSent && t.brokenAt - t.sentAt <= HistoryChecker.CROSSING;
                endTry(
                        pending,
                        t,
                        !wasSent
                                ? Try.Outcome.UNSENT
                                : crossed ? Try.Outcome.CROSSED : Try.Outcome.BROKEN,
                        0,
                        false);
            }
        };
    }

    /** Ends a try. Does nothing where it has ended before, as after a timeout of the caller. */
    private void endTry(
            PendingRequest pending,
            Try t,
            Try.Outcome end,
            double stayAwayMillis,
            boolean noRetry) {
        if (t.end != null) {
            return;
        }
        t.end = end;
        selector.addOpenTries(t.gateway, -1);
        double nowMillis = context.now();
        if (stayAwayMillis > 0 && retryPolicy.heedsAdvice()) {
            selector.avoidUntil(t.gateway, nowMillis + stayAwayMillis);
        }
        boolean retriesUnproven = context.mutant == LabContext.Mutant.CALLER_REPEATS_UNPROVEN;
        double next =
                retryPolicy.nextTryMillis(
                        end,
                        t.free || retriesUnproven,
                        t.number,
                        nowMillis,
                        pending.deadlineMillis,
                        selector.hasAvailable(nowMillis, pending.triedGateways),
                        noRetry);
        if (next == RetryPolicy.NEVER) {
            finish(pending, end);
        } else {
            context.events.at(next, () -> startTry(pending, t.number + 1));
        }
    }

    private void finish(PendingRequest pending, Try.Outcome end) {
        pending.record.end = end;
        pending.record.endedAt = context.now();
        waiting--;
    }
}
