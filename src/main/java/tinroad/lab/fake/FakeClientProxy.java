package tinroad.lab.fake;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import tinroad.lab.schedule.Draw;
import tinroad.lab.schedule.PlannedRequest;
import tinroad.lab.script.Script;
import tinroad.lab.script.Script.RequestClass;
import tinroad.lab.verification.RunHistory;
import tinroad.lab.verification.Try;

/** One client proxy: its connections, its tries, its health checks. */
public final class FakeClientProxy {
    private static final double CHECK_PATIENCE = 1000;
    private static final double SWEEP_MS = 500;
    private static final int REFUSED = 503;
    private static final int TOO_MANY = 429;
    private static final int OK = 200;

    private final LabContext world;
    private final Script script;
    private final int number;
    private final ClientProxyModel proxy;
    private final InetSocketAddress from;
    private final InetSocketAddress checksFrom;
    private final List<InetSocketAddress> gateways;
    private final List<List<Connection>> pools = new ArrayList<>();
    private final Connection[] checks;

    /** Proxy {@code number}, which connects from these addresses to those of the gateways. */
    public FakeClientProxy(
            LabContext world,
            int number,
            InetSocketAddress from,
            InetSocketAddress checksFrom,
            List<InetSocketAddress> gateways) {
        this.world = world;
        this.number = number;
        this.from = from;
        this.checksFrom = checksFrom;
        this.gateways = gateways;
        script = world.plan.script();
        proxy = new ClientProxyModel(world, number, this::send);
        checks = new Connection[gateways.size()];
        gateways.forEach(g -> pools.add(new ArrayList<>()));
    }

    /** Begins to check, and to close what is idle. */
    public void begin() {
        UniformRandomProvider random = Draw.stream(world.plan.seed(), "checks " + number);
        for (int g = 0; g < checks.length && script.callers().healthCheckPeriodMillis() > 0; g++) {
            int gateway = g;
            world.agenda.at(
                    world.now() + random.nextDouble() * script.callers().healthCheckPeriodMillis(),
                    () -> check(gateway));
        }
        sweep();
    }

    /** What decides of its requests. */
    public ClientProxyModel proxy() {
        return proxy;
    }

    // --- requests ---

    private boolean send(
            PlannedRequest asked, Try t, RequestClass kind, ClientProxyModel.TryListener told) {
        Connection connection = connection(t.gateway);
        if (connection == null) {
            return false;
        }
        connection.send(
                fields(asked, t, kind),
                Bodies.of(asked),
                new Connection.Waiter() {
                    @Override
                    public void sent() {
                        told.sent();
                        world.engine(t.gateway).read(asked);
                    }

                    @Override
                    public void answered(Wire.Response response) {
                        Try.Outcome end =
                                switch (response.status()) {
                                    case OK -> Try.Outcome.SERVED;
                                    case REFUSED, TOO_MANY -> Try.Outcome.REFUSED;
                                    default -> Try.Outcome.FAILED;
                                };
                        told.answered(
                                end,
                                Integer.toString(response.status()),
                                end == Try.Outcome.SERVED ? response.body() : null,
                                response.stayAway(),
                                response.last());
                    }

                    @Override
                    public void lost(boolean wasSent, double at) {
                        told.lost(wasSent, at);
                    }
                },
                world.now());
        return true;
    }

    private Map<String, String> fields(PlannedRequest asked, Try t, RequestClass kind) {
        Map<String, String> fields = new LinkedHashMap<>();
        fields.put("REQUEST_METHOD", "POST");
        fields.put("SCRIPT_NAME", "/v1/" + kind.name());
        fields.put("HTTP_REQ_ID", t.id);
        fields.put("HTTP_REQ_TIME", Long.toString(world.unix(world.now())));
        fields.put("HTTP_REQ_FROM", Integer.toString(number));
        fields.put("HTTP_REQ_OWNER", "m" + asked.member());
        fields.put("HTTP_REQ_KB", String.format(Locale.ROOT, "%.1f", asked.memoryKb()));
        fields.put(
                "HTTP_REQ_RANK",
                String.format(Locale.ROOT, "%.4f", Math.min(0.9999, asked.rank())));
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

    private Connection open(
            int gateway, InetSocketAddress source, java.util.function.Consumer<Connection> onEnd) {
        world.connections(gateway, 1);
        world.engine(gateway).takeIn(script.engine().handshake());
        return new Connection(
                world,
                source,
                gateways.get(gateway),
                c -> {
                    world.connections(gateway, -1);
                    onEnd.accept(c);
                });
    }

    private void sweep() {
        world.agenda.at(world.now() + SWEEP_MS, this::sweep);
        double then = world.now() - script.callers().idleTimeoutMillis();
        pools.forEach(
                pool ->
                        List.copyOf(pool).stream()
                                .filter(c -> c.idleSince(then))
                                .forEach(Connection::close));
    }

    // --- health checks ---

    private void check(int gateway) {
        world.agenda.at(
                world.now() + script.callers().healthCheckPeriodMillis(), () -> check(gateway));
        if (checks[gateway] == null) {
            checks[gateway] = open(gateway, checksFrom, c -> checks[gateway] = null);
        }
        Connection connection = checks[gateway];
        boolean[] over = new boolean[1];
        world.agenda.at(
                world.now() + CHECK_PATIENCE,
                () -> {
                    if (!over[0]) {
                        over[0] = true;
                        proxy.checked(gateway, false);
                        connection.close();
                    }
                });
        connection.send(
                Map.of("REQUEST_METHOD", "GET", "SCRIPT_NAME", "/healthz"),
                new byte[0],
                new Connection.Waiter() {
                    @Override
                    public void sent() {
                        world.ledger.count(RunHistory.Counter.CHECKS, gateway, world.now());
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
                            proxy.checked(gateway, good);
                        }
                    }
                },
                world.now());
    }
}
