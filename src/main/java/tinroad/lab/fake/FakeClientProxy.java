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

/** A client proxy over sockets: its connections, tries and health checks. */
public final class FakeClientProxy {
    private static final double CHECK_TIMEOUT_MILLIS = 1000;
    private static final double IDLE_SWEEP_PERIOD_MILLIS = 500;
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int OK = 200;
    private static final int MAX_REQUESTS_PER_CONNECTION = 32;

    private final LabContext context;
    private final Script script;
    private final int number;
    private final ClientProxyModel proxy;
    private final InetSocketAddress from;
    private final InetSocketAddress checksFrom;
    private final List<InetSocketAddress> gateways;
    private final List<List<Connection>> pools = new ArrayList<>();
    private final Connection[] checkConnections;

    /** Creates proxy {@code number}, which connects from these addresses to the gateways. */
    public FakeClientProxy(
            LabContext context,
            int number,
            InetSocketAddress from,
            InetSocketAddress checksFrom,
            List<InetSocketAddress> gateways) {
        this.context = context;
        this.number = number;
        this.from = from;
        this.checksFrom = checksFrom;
        this.gateways = gateways;
        script = context.schedule.script();
        proxy = new ClientProxyModel(context, number, this::send);
        checkConnections = new Connection[gateways.size()];
        gateways.forEach(g -> pools.add(new ArrayList<>()));
    }

    /** Starts the health checks and the closing of idle connections. */
    public void begin() {
        UniformRandomProvider random = Draw.stream(context.schedule.seed(), "checks " + number);
        for (int g = 0;
                g < checkConnections.length && script.callers().healthCheckPeriodMillis() > 0;
                g++) {
            int gateway = g;
            context.events.at(
                    context.now()
                            + random.nextDouble() * script.callers().healthCheckPeriodMillis(),
                    () -> check(gateway));
        }
        sweep();
    }

    /** The model that decides about its requests. */
    public ClientProxyModel proxy() {
        return proxy;
    }

    // --- requests ---

    private boolean send(
            PlannedRequest request,
            Try t,
            RequestClass requestClass,
            ClientProxyModel.TryListener listener) {
        Connection connection = connection(t.gateway);
        if (connection == null) {
            return false;
        }
        connection.send(
                fields(request, t, requestClass),
                Bodies.of(request),
                new Connection.ResponseListener() {
                    @Override
                    public void sent() {
                        listener.sent();
                        context.engine(t.gateway).readRequest(request);
                    }

                    @Override
                    public void answered(Wire.Response response) {
                        Try.Outcome end =
                                switch (response.status()) {
                                    case OK -> Try.Outcome.SERVED;
                                    case SERVICE_UNAVAILABLE, TOO_MANY_REQUESTS ->
                                            Try.Outcome.REFUSED;
                                    default -> Try.Outcome.FAILED;
                                };
                        listener.answered(
                                end,
                                Integer.toString(response.status()),
                                end == Try.Outcome.SERVED ? response.body() : null,
                                response.stayAwayMillis(),
                                response.noRetry());
                    }

                    @Override
                    public void lost(boolean wasSent, double at) {
                        listener.lost(wasSent, at);
                    }
                },
                context.now());
        return true;
    }

    private Map<String, String> fields(PlannedRequest request, Try t, RequestClass requestClass) {
        Map<String, String> fields = new LinkedHashMap<>();
        fields.put("REQUEST_METHOD", "POST");
        fields.put("SCRIPT_NAME", "/v1/" + requestClass.name());
        fields.put("HTTP_REQ_ID", t.id);
        fields.put("HTTP_REQ_TIME", Long.toString(context.unixMillis(context.now())));
        fields.put("HTTP_REQ_FROM", Integer.toString(number));
        fields.put("HTTP_REQ_OWNER", "m" + request.member());
        fields.put("HTTP_REQ_KB", String.format(Locale.ROOT, "%.1f", request.memoryKb()));
        fields.put(
                "HTTP_REQ_RANK",
                String.format(Locale.ROOT, "%.4f", Math.min(0.9999, request.rank())));
        if (requestClass.free()) {
            fields.put("HTTP_REQ_KEY", String.format(Locale.ROOT, "%016x", request.subject()));
        }
        return fields;
    }

    // --- connections ---

    private Connection connection(int gateway) {
        List<Connection> pool = pools.get(gateway);
        Connection leastLoaded = null;
        for (Connection c : pool) {
            leastLoaded =
                    leastLoaded == null || c.openRequests() < leastLoaded.openRequests()
                            ? c
                            : leastLoaded;
        }
        boolean full =
                leastLoaded == null || leastLoaded.openRequests() >= script.callers().streams();
        if (full && pool.size() < script.callers().connections()) {
            leastLoaded = open(gateway, from, pool::remove);
            pool.add(leastLoaded);
        }
        return leastLoaded == null || leastLoaded.openRequests() >= MAX_REQUESTS_PER_CONNECTION
                ? null
                : leastLoaded;
    }

    private Connection open(
            int gateway, InetSocketAddress source, java.util.function.Consumer<Connection> onEnd) {
        context.connections(gateway, 1);
        context.engine(gateway).addOverhead(script.engine().handshake());
        return new Connection(
                context,
                source,
                gateways.get(gateway),
                c -> {
                    context.connections(gateway, -1);
                    onEnd.accept(c);
                });
    }

    private void sweep() {
        context.events.at(context.now() + IDLE_SWEEP_PERIOD_MILLIS, this::sweep);
        double sinceMillis = context.now() - script.callers().idleTimeoutMillis();
        pools.forEach(
                pool ->
                        List.copyOf(pool).stream()
                                .filter(c -> c.isIdleSince(sinceMillis))
                                .forEach(Connection::close));
    }

    // --- health checks ---

    private void check(int gateway) {
        context.events.at(
                context.now() + script.callers().healthCheckPeriodMillis(), () -> check(gateway));
        if (checkConnections[gateway] == null) {
            checkConnections[gateway] =
                    open(gateway, checksFrom, c -> checkConnections[gateway] = null);
        }
        Connection connection = checkConnections[gateway];
        boolean[] concluded = new boolean[1];
        context.events.at(
                context.now() + CHECK_TIMEOUT_MILLIS,
                () -> {
                    if (!concluded[0]) {
                        concluded[0] = true;
                        proxy.checked(gateway, false);
                        connection.close();
                    }
                });
        connection.send(
                Map.of("REQUEST_METHOD", "GET", "SCRIPT_NAME", "/healthz"),
                new byte[0],
                new Connection.ResponseListener() {
                    @Override
                    public void sent() {
                        context.history.count(RunHistory.Counter.CHECKS, gateway, context.now());
                        context.engine(gateway).addOverhead(script.engine().check());
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
                        if (!concluded[0]) {
                            concluded[0] = true;
                            proxy.checked(gateway, good);
                        }
                    }
                },
                context.now());
    }
}
