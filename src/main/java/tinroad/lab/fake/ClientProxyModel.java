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
 * The requests of one client proxy: where each try goes, what came of it, whether there is another.
 * Knows no socket.
 */
public final class ClientProxyModel {
    /** What becomes of a try on its way. */
    public interface TryListener {
        /** It was written whole. */
        void sent();

        /**
         * A whole answer; {@code served} is the engine's result, or null; {@code stayAway} in ms.
         */
        void answered(Try.Outcome end, String status, String served, double stayAway, boolean last);

        /**
         * The connection is gone, with or without it having been written; the other side closed it
         * at this time.
         */
        void lost(boolean wasSent, double at);
    }

    /** What brings a try to its gateway. */
    @FunctionalInterface
    public interface TryTransport {
        /** Sends it; false where there is no connection for it, and nobody is told. */
        boolean send(PlannedRequest asked, Try t, RequestClass kind, TryListener told);
    }

    /** A request while somebody waits for it. */
    private static final class Open {
        private final PlannedRequest asked;
        private final RunHistory.RequestRecord fate;
        private final BitSet gateways = new BitSet();
        private final double until;
        private Try now;

        Open(PlannedRequest asked, RunHistory.RequestRecord fate, double until) {
            this.asked = asked;
            this.fate = fate;
            this.until = until;
        }
    }

    private final LabContext world;
    private final Script script;
    private final int number;
    private final GatewaySelector choosing;
    private final RetryPolicy repeating;
    private final UniformRandomProvider ids;
    private final TryTransport carrier;
    private final boolean unaware;
    private int waiting;

    /** Proxy {@code number}, whose tries {@code carrier} brings on. */
    public ClientProxyModel(LabContext world, int number, TryTransport carrier) {
        this.world = world;
        this.number = number;
        this.carrier = carrier;
        script = world.plan.script();
        UniformRandomProvider random = Draw.stream(world.plan.seed(), "proxy " + number);
        double heed = script.callers().heedingShare();
        boolean heeds = isAmong(heed);
        unaware = isAmong(script.callers().unawareShare());
        choosing =
                new GatewaySelector(script.callers().choice(), script.fleet().gateways(), random);
        repeating = new RetryPolicy(script.callers(), heeds, random);
        ids = Draw.stream(world.plan.seed(), "ids " + number);
    }

    /** Whether this proxy is among this share of them, spread over their numbers. */
    private boolean isAmong(double share) {
        return Math.floor((number + 1) * share + 0.5) > Math.floor(number * share + 0.5);
    }

    /** The roster's news reached this proxy. */
    public void listed(int gateway, boolean takesWork) {
        if (!unaware) {
            choosing.listed(gateway, takesWork);
        }
    }

    /** A health check ended. */
    public void checked(int gateway, boolean good) {
        if (!unaware) {
            choosing.checked(gateway, good);
        }
    }

    /** How many requests somebody waits for. */
    public int waiting() {
        return waiting;
    }

    /** A request comes to this proxy. */
    public void submit(PlannedRequest asked) {
        RequestClass kind = script.classes().get(asked.kind());
        waiting++;
        attempt(
                new Open(
                        asked,
                        world.ledger.requests.get(asked.number()),
                        asked.at() + script.callers().totalTimeoutFactor() * kind.deadline()),
                1);
    }

    private void attempt(Open o, int tryNumber) {
        double nowMillis = world.now();
        int gateway = choosing.next(nowMillis, o.gateways, o.asked.subject());
        if (gateway < 0 && !o.gateways.isEmpty()) {
            // All were asked: from the top of the list again.
            o.gateways.clear();
            gateway = choosing.next(nowMillis, o.gateways, o.asked.subject());
        }
        if (gateway < 0) {
            double at = repeating.wait(nowMillis, o.until, choosing.freeAt());
            if (at == RetryPolicy.NEVER) {
                finish(o, o.now == null ? Try.Outcome.UNSENT : o.now.end);
            } else {
                world.agenda.at(at, () -> attempt(o, tryNumber));
            }
            return;
        }
        o.gateways.set(gateway);
        send(o, tryNumber, gateway);
    }

    private void send(Open o, int tryNumber, int gateway) {
        RequestClass kind = script.classes().get(o.asked.kind());
        double nowMillis = world.now();
        Try t =
                new Try(
                        String.format(Locale.ROOT, "%016x", ids.nextLong()),
                        o.asked.number(),
                        tryNumber,
                        number,
                        gateway,
                        kind.free(),
                        kind.free() ? kind.name() + " " + o.asked.subject() : null,
                        nowMillis + kind.deadline());
        o.now = t;
        o.fate.tries = tryNumber;
        t.incarnation = world.life(gateway);
        world.byId.put(t.id, t);
        world.ledger.tries.add(t);
        choosing.open(gateway, 1);
        world.agenda.at(
                Math.min(o.until, nowMillis + script.callers().tryTimeoutShare() * kind.deadline()),
                () -> ended(o, t, Try.Outcome.GIVEN_UP, 0, false));
        if (!carrier.send(o.asked, t, kind, told(o, t))) {
            ended(o, t, Try.Outcome.UNSENT, 0, false);
        }
    }

    private TryListener told(Open o, Try t) {
        return new TryListener() {
            @Override
            public void sent() {
                t.sentAt = world.now();
                t.addStep(t.sentAt, "proxy " + number, "sent");
            }

            @Override
            public void answered(
                    Try.Outcome end, String status, String served, double stayAway, boolean last) {
                t.answers++;
                if (t.answers == 1) {
                    t.answeredAt = world.now();
                    t.answer = end;
                    t.served = served;
                    t.addStep(t.answeredAt, "proxy " + number, "answered " + status);
                }
                ended(o, t, t.answer, stayAway, last);
            }

            @Override
            public void lost(boolean wasSent, double at) {
                t.brokenAt = at;
                t.addStep(
                        t.brokenAt,
                        "proxy " + number,
                        wasSent ? "connection lost" : "no connection");
                boolean crossed = wasSent && t.brokenAt - t.sentAt <= HistoryChecker.CROSSING;
                ended(
                        o,
                        t,
                        !wasSent
                                ? Try.Outcome.UNSENT
                                : crossed ? Try.Outcome.CROSSED : Try.Outcome.BROKEN,
                        0,
                        false);
            }
        };
    }

    /** A try ends for its caller, who may have given it up before. */
    private void ended(Open o, Try t, Try.Outcome end, double stayAway, boolean last) {
        if (t.end != null) {
            return;
        }
        t.end = end;
        choosing.open(t.gateway, -1);
        double nowMillis = world.now();
        if (stayAway > 0 && repeating.heeds()) {
            choosing.avoidUntil(t.gateway, nowMillis + stayAway);
        }
        boolean unproven = world.mutant == LabContext.Mutant.CALLER_REPEATS_UNPROVEN;
        double next =
                repeating.after(
                        end,
                        t.free || unproven,
                        t.number,
                        nowMillis,
                        o.until,
                        choosing.left(nowMillis, o.gateways),
                        last);
        if (next == RetryPolicy.NEVER) {
            finish(o, end);
        } else {
            world.agenda.at(next, () -> attempt(o, t.number + 1));
        }
    }

    private void finish(Open o, Try.Outcome end) {
        o.fate.end = end;
        o.fate.endedAt = world.now();
        waiting--;
    }
}
