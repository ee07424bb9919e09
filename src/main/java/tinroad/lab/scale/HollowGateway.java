package tinroad.lab.scale;

import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.function.DoubleConsumer;
import tinroad.config.ConfigException;
import tinroad.config.GatewayConfig;
import tinroad.core.Clock;
import tinroad.core.Engine;
import tinroad.discovery.LoadReporter;
import tinroad.engine.EngineLink;
import tinroad.fleet.MemberUpdate;
import tinroad.gossip.UdpTransport;
import tinroad.overload.Controller;
import tinroad.recovery.ConfigReloadBackoff;

/**
 * A hollow gateway: a gateway's control side, made of the same classes as in {@code serve}. It has
 * membership with its UDP transport, load reports to the service registry, settings that are read
 * and applied, and, where its engine is away, reconnection attempts and configuration reloads. It
 * has no overload controller, no front end for clients and no engine.
 */
final class HollowGateway {
    private final HollowSpec spec;
    private final int number;
    private final EventLoop loop;
    private final Clock clock;
    private final UdpTransport transport;
    private final NetworkEmulator network;
    private final ConfigReloadBackoff reloadBackoff;
    private final LoadReporter loadReporter;
    private final EngineLink engineLink;

    /** The configuration in force, stored as in a real gateway. */
    private volatile GatewayConfig config;

    private volatile double startMillis = Double.NaN;

    /** Creates the gateway and reads its settings; blocks while it reads. */
    HollowGateway(HollowSpec spec, int number, EventLoop loop, Clock clock) throws ConfigException {
        this.spec = spec;
        this.number = number;
        this.loop = loop;
        this.clock = clock;
        config = GatewayConfig.read(Path.of(spec.config()));
        network =
                new NetworkEmulator(
                        spec.zones(),
                        number,
                        spec.loss(),
                        spec.delay(),
                        spec.regionDelay(),
                        spec.seed());
        transport =
                new UdpTransport(
                        loop,
                        new InetSocketAddress(spec.zones().host(number), 0),
                        List.of(spec.key()),
                        clock::nowMillis);
        loadReporter = new LoadReporter(loop, config.roster(), name(), spec.seed());
        reloadBackoff = new ConfigReloadBackoff(name(), spec.seed());
        engineLink =
                spec.isEngineAway(number)
                        ? new EngineLink(
                                loop,
                                config.engine(),
                                config.site().gaugeNames(),
                                name(),
                                spec.seed())
                        : null;
    }

    static String name(int number) {
        return String.format("h%05d", number);
    }

    private String name() {
        return name(number);
    }

    int number() {
        return number;
    }

    /**
     * Opens the sockets and starts to take part in the fleet, as a gateway does once it listens.
     *
     * @param startedAtMillis when the start of this gateway began
     */
    void start(double startedAtMillis) {
        loop.execute(
                () -> {
                    loadReporter.start();
                    loadReporter.report(true);
                    if (engineLink != null) {
                        engineLink.start(new NoOpEngineListener());
                    }
                    transport
                            .start(
                                    name(),
                                    spec.zones().zoneName(number),
                                    (long) clock.nowMillis(),
                                    spec.seeds(),
                                    spec.seed() + number,
                                    network)
                            .addListener(
                                    bound ->
                                            startMillis =
                                                    bound.isSuccess()
                                                            ? clock.nowMillis() - startedAtMillis
                                                            : Double.NaN);
                });
    }

    /**
     * Reloads the settings if the reload backoff says that it is time. Called four times a second,
     * as in a real gateway, and not on the event loop.
     */
    void reloadIfDue() {
        if (reloadBackoff.due(
                clock.nowMillis(), engineLink == null || engineLink.engineReachable())) {
            reload(appliedAtMillis -> {});
        }
    }

    /**
     * Reads the settings again, as on SIGHUP, and applies them on the event loop. Not called on the
     * event loop.
     *
     * @param onInForce called on the event loop with the time when they came in force
     */
    void reload(DoubleConsumer onInForce) {
        try {
            GatewayConfig next = GatewayConfig.read(Path.of(spec.config()));
            loop.execute(
                    () -> {
                        apply(next);
                        onInForce.accept(clock.nowMillis());
                    });
        } catch (ConfigException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Applies the part of the settings that takes effect in a gateway's control side. */
    private void apply(GatewayConfig next) {
        config = next;
        loadReporter.switchEndpoint(next.roster());
        if (engineLink != null) {
            engineLink.switchEndpoint(next.engine());
        }
    }

    /** Stops all communication for good, so that the others detect a dead member. */
    void fallSilent() {
        network.silence();
        loadReporter.stopReporting();
    }

    /** Whether this gateway considers the member dead or departed. */
    boolean knowsTerminated(String name) {
        MemberUpdate update =
                transport.membership() == null ? null : transport.membership().member(name);
        return update != null && update.status().isTerminal();
    }

    /** How many other members this gateway considers present. */
    int presentMemberCount() {
        return transport.membership() == null ? 0 : transport.membership().presentMembers().size();
    }

    /** Entries of the membership table that the periodic work has visited so far. */
    long visitedEntries() {
        return transport.membership() == null ? 0 : transport.membership().visitedEntries();
    }

    /** Membership updates in the piggyback queue. */
    int piggybackQueueSize() {
        return transport.membership() == null ? 0 : transport.membership().piggybackQueueSize();
    }

    NetworkEmulator network() {
        return network;
    }

    EventLoop loop() {
        return loop;
    }

    double startMillis() {
        return startMillis;
    }

    /** Entries of the settings in force: tenants and classes. */
    int settingsEntries() {
        return config.site().tenantNames().size() + config.site().classNames().size();
    }

    /** Ignores all events: the engine that it listens to never attaches. */
    private static final class NoOpEngineListener implements Engine.Listener {
        @Override
        public void onAttached(boolean fresh, double startedMillisAgo) {}

        @Override
        public void onCaughtUp() {}

        @Override
        public void onDetached() {}

        @Override
        public void onRunEnded(
                String id, Engine.RunOutcome outcome, double tookMillis, ByteBuf result) {}

        @Override
        public void onGauges(String tag, Controller.Gauges gauges) {}
    }
}
