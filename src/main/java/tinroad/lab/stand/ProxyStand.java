package tinroad.lab.stand;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import tinroad.lab.plan.Asked;
import tinroad.lab.plan.Draw;
import tinroad.lab.script.Script;
import tinroad.lab.script.Script.Kind;
import tinroad.lab.truth.Ledger;
import tinroad.lab.truth.Try;

/** One client proxy: its connections, its tries, its health checks. */
public final class ProxyStand {
    private static final double CHECK_PATIENCE = 1000;
    private static final double SWEEP_MS = 500;
    private static final int REFUSED = 503;
    private static final int TOO_MANY = 429;
    private static final int OK = 200;

    /** A request while somebody waits for it. */
    private static final class Open {
        private final Asked asked;
        private final Ledger.Fate fate;
        private final BitSet gateways = new BitSet();
        private final double until;
        private Try now;

        Open(Asked asked, Ledger.Fate fate, double until) {
            this.asked = asked;
            this.fate = fate;
            this.until = until;
        }
    }

    private final World world;
    private final Script script;
    private final int number;
    private final Choosing choosing;
    private final Repeating repeating;
    private final UniformRandomProvider ids;
    private final InetSocketAddress from;
    private final InetSocketAddress checksFrom;
    private final List<InetSocketAddress> gateways;
    private final List<List<Connection>> pools = new ArrayList<>();
    private final Connection[] checks;
    private int waiting;

    /** Proxy {@code number}, which connects from these addresses to those of the gateways. */
    public ProxyStand(World world, int number, InetSocketAddress from, InetSocketAddress checksFrom,
            List<InetSocketAddress> gateways) {
        this.world = world;
        this.number = number;
        this.from = from;
        this.checksFrom = checksFrom;
        this.gateways = gateways;
        script = world.plan.script();
        UniformRandomProvider random = Draw.stream(world.plan.seed(), "proxy " + number);
        // Of the proxies, spread over their numbers, this share heeds.
        double heed = script.callers().heed();
        boolean heeds = Math.floor((number + 1) * heed + 0.5) > Math.floor(number * heed + 0.5);
        choosing = new Choosing(script.callers().choice(), gateways.size(), random);
        repeating = new Repeating(script.callers(), heeds, random);
        ids = Draw.stream(world.plan.seed(), "ids " + number);
        checks = new Connection[gateways.size()];
        gateways.forEach(g -> pools.add(new ArrayList<>()));
    }

    /** Begins to check, and to close what is idle. */
    public void begin() {
        UniformRandomProvider random = Draw.stream(world.plan.seed(), "checks " + number);
        for (int g = 0; g < checks.length && script.callers().checks() > 0; g++) {
            int gateway = g;
            world.agenda.at(world.now() + random.nextDouble() * script.callers().checks(), () -> check(gateway));
        }
        sweep();
    }

    /** The roster's news reached this proxy. */
    public void listed(int gateway, boolean takesWork) {
        choosing.listed(gateway, takesWork);
    }

    /** How many requests somebody waits for. */
    public int waiting() {
        return waiting;
    }

    // --- requests ---

    /** A request comes to this proxy. */
    public void ask(Asked asked) {
        Kind kind = script.classes().get(asked.kind());
        waiting++;
        attempt(new Open(asked, world.ledger.fates.get(asked.number()), asked.at() + script.callers().inAll() * kind.deadline()), 1);
    }

    private void attempt(Open o, int tryNumber) {
        double now = world.now();
        int gateway = choosing.next(now, o.gateways, o.asked.subject());
        if (gateway < 0 && !o.gateways.isEmpty()) {
            // All were asked: from the top of the list again.
            o.gateways.clear();
            gateway = choosing.next(now, o.gateways, o.asked.subject());
        }
        if (gateway < 0) {
            double at = repeating.wait(now, o.until, choosing.freeAt());
            if (at == Repeating.NEVER) {
                finish(o, o.now == null ? Try.End.UNSENT : o.now.end);
            } else {
                world.agenda.at(at, () -> attempt(o, tryNumber));
            }
            return;
        }
        o.gateways.set(gateway);
        send(o, tryNumber, gateway);
    }

    private void send(Open o, int tryNumber, int gateway) {
        Kind kind = script.classes().get(o.asked.kind());
        double now = world.now();
        Try t = new Try(String.format(Locale.ROOT, "%016x", ids.nextLong()), o.asked.number(), tryNumber, number, gateway, kind.free(),
                kind.free() ? kind.name() + " " + o.asked.subject() : null, now + kind.deadline());
        o.now = t;
        o.fate.tries = tryNumber;
        t.life = world.life(gateway);
        world.byId.put(t.id, t);
        world.ledger.tries.add(t);
        choosing.open(gateway, 1);
        Connection connection = connection(gateway);
        if (connection == null) {
            ended(o, t, Try.End.UNSENT, null);
            return;
        }
        world.agenda.at(Math.min(o.until, now + script.callers().patience() * kind.deadline()), () -> ended(o, t, Try.End.GIVEN_UP, null));
        connection.send(fields(o.asked, t, kind), Bodies.of(o.asked), new Connection.Waiter() {
            @Override
            public void sent() {
                t.sentAt = world.now();
                t.step(t.sentAt, "proxy " + number, "sent");
                world.engine(gateway).read(o.asked);
            }

            @Override
            public void answered(Wire.Response response) {
                t.answers++;
                if (t.answers == 1) {
                    t.answeredAt = world.now();
                    t.answer = switch (response.status()) {
                        case OK -> Try.End.SERVED;
                        case REFUSED, TOO_MANY -> Try.End.REFUSED;
                        default -> Try.End.FAILED;
                    };
                    t.served = t.answer == Try.End.SERVED ? response.body() : null;
                    t.step(t.answeredAt, "proxy " + number, "answered " + response.status());
                }
                ended(o, t, t.answer, response);
            }

            @Override
            public void lost(boolean wasSent, double at) {
                t.brokenAt = at;
                t.step(t.brokenAt, "proxy " + number, wasSent ? "connection lost" : "no connection");
                boolean crossed = wasSent && t.brokenAt - t.sentAt <= tinroad.lab.truth.Rules.CROSSING;
                ended(o, t, !wasSent ? Try.End.UNSENT : crossed ? Try.End.CROSSED : Try.End.BROKEN, null);
            }
        }, now);
    }

    /** A try ends for its caller, who may have given it up before. */
    private void ended(Open o, Try t, Try.End end, Wire.Response response) {
        if (t.end != null) {
            return;
        }
        t.end = end;
        choosing.open(t.gateway, -1);
        double now = world.now();
        if (response != null && response.stayAway() > 0 && repeating.heeds()) {
            choosing.stayAway(t.gateway, now + response.stayAway());
        }
        boolean unproven = world.mutant == World.Mutant.CALLER_REPEATS_UNPROVEN;
        double next = repeating.after(end, t.free || unproven, t.number, now, o.until,
                choosing.left(now, o.gateways), response != null && response.last());
        if (next == Repeating.NEVER) {
            finish(o, end);
        } else {
            world.agenda.at(next, () -> attempt(o, t.number + 1));
        }
    }

    private void finish(Open o, Try.End end) {
        o.fate.end = end;
        o.fate.endedAt = world.now();
        waiting--;
    }

    private Map<String, String> fields(Asked asked, Try t, Kind kind) {
        Map<String, String> fields = new LinkedHashMap<>();
        fields.put("REQUEST_METHOD", "POST");
        fields.put("SCRIPT_NAME", "/v1/" + kind.name());
        fields.put("HTTP_REQ_ID", t.id);
        fields.put("HTTP_REQ_TIME", Long.toString(world.unix(world.now())));
        fields.put("HTTP_REQ_FROM", Integer.toString(number));
        fields.put("HTTP_REQ_OWNER", "m" + asked.member());
        fields.put("HTTP_REQ_KB", String.format(Locale.ROOT, "%.1f", asked.memoryKb()));
        fields.put("HTTP_REQ_RANK", String.format(Locale.ROOT, "%.4f", Math.min(0.9999, asked.rank())));
        if (kind.free()) {
            fields.put("HTTP_REQ_KEY", String.format(Locale.ROOT, "%016x", asked.subject()));
        }
        return fields;
    }

    // --- connections ---

    private Connection connection(int gateway) {
        List<Connection> pool = pools.get(gateway);
        Connection least = null;
        for (Connection c : pool) {
            least = least == null || c.open() < least.open() ? c : least;
        }
        boolean full = least == null || least.open() >= script.callers().streams();
        if (full && pool.size() < script.callers().connections()) {
            least = open(gateway, from, pool::remove);
            pool.add(least);
        }
        return least == null || least.open() >= 32 ? null : least;
    }

    private Connection open(int gateway, InetSocketAddress source, java.util.function.Consumer<Connection> onEnd) {
        world.connections(gateway, 1);
        world.engine(gateway).takeIn(script.engine().handshake());
        return new Connection(world, source, gateways.get(gateway), c -> {
            world.connections(gateway, -1);
            onEnd.accept(c);
        });
    }

    private void sweep() {
        world.agenda.at(world.now() + SWEEP_MS, this::sweep);
        double then = world.now() - script.callers().idle();
        pools.forEach(pool -> List.copyOf(pool).stream().filter(c -> c.idleSince(then)).forEach(Connection::close));
    }

    // --- health checks ---

    private void check(int gateway) {
        world.agenda.at(world.now() + script.callers().checks(), () -> check(gateway));
        if (checks[gateway] == null) {
            checks[gateway] = open(gateway, checksFrom, c -> checks[gateway] = null);
        }
        Connection connection = checks[gateway];
        boolean[] over = new boolean[1];
        world.agenda.at(world.now() + CHECK_PATIENCE, () -> {
            if (!over[0]) {
                over[0] = true;
                choosing.checked(gateway, false);
                connection.close();
            }
        });
        connection.send(Map.of("REQUEST_METHOD", "GET", "SCRIPT_NAME", "/healthz"), new byte[0], new Connection.Waiter() {
            @Override
            public void sent() {
                world.ledger.count(Ledger.Count.CHECKS, gateway, world.now());
                world.engine(gateway).takeIn(script.engine().check());
            }

            @Override
            public void answered(Wire.Response response) {
                conclude(response.status() == OK);
            }

            @Override
            public void lost(boolean wasSent, double at) {
                conclude(false);
            }

            private void conclude(boolean good) {
                if (!over[0]) {
                    over[0] = true;
                    choosing.checked(gateway, good);
                }
            }
        }, world.now());
    }
}
