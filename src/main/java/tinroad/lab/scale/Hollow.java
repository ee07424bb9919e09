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
 * A gateway's control side, made of the classes that {@code serve} has: membership and its carrier,
 * reports to the roster, the settings read and applied, and, where its engine is gone, reconnects
 * and readings again. It has no module, front or engine.
 */
final class Hollow {
    private final HollowSpec spec;
    private final int number;
    private final EventLoop loop;
    private final Clock clock;
    private final UdpTransport carrier;
    private final ZoneWire wire;
    private final ConfigReloadBackoff rereads;
    private final LoadReporter roster;
    private final EngineLink engine;

    /** What the gateway was told, held as a real one holds it. */
    private volatile GatewayConfig config;

    private volatile double startMs = Double.NaN;

    /** Reads its settings; blocks for it. */
    Hollow(HollowSpec spec, int number, EventLoop loop, Clock clock) throws ConfigException {
        this.spec = spec;
        this.number = number;
        this.loop = loop;
        this.clock = clock;
        config = GatewayConfig.read(Path.of(spec.config()));
        wire =
                new ZoneWire(
                        spec.zones(),
                        number,
                        spec.loss(),
                        spec.delay(),
                        spec.regionDelay(),
                        spec.seed());
        carrier =
                new UdpTransport(
                        loop,
                        new InetSocketAddress(spec.zones().host(number), 0),
                        List.of(spec.key()),
                        clock::nowMillis);
        roster = new LoadReporter(loop, config.roster(), name(), spec.seed());
        rereads = new ConfigReloadBackoff(name(), spec.seed());
        engine =
                spec.engineAway(number)
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
     * Opens its sockets and begins, as a gateway does once it listens; {@code begunAt} is when it
     * was told to.
     */
    void start(double begunAt) {
        loop.execute(
                () -> {
                    roster.start();
                    roster.report(true);
                    if (engine != null) {
                        engine.start(new Nobody());
                    }
                    carrier.start(
                                    name(),
                                    spec.zones().name(number),
                                    (long) clock.nowMillis(),
                                    spec.seeds(),
                                    spec.seed() + number,
                                    wire)
                            .addListener(
                                    bound ->
                                            startMs =
                                                    bound.isSuccess()
                                                            ? clock.nowMillis() - begunAt
                                                            : Double.NaN);
                });
    }

    /** Looks whether to read its settings again, as it does four times a second; off the loop. */
    void watch() {
        if (rereads.due(clock.nowMillis(), engine == null || engine.engineReachable())) {
            reread(took -> {});
        }
    }

    /**
     * Reads its settings again, as on SIGHUP, off the loop, and applies them on it; {@code inForce}
     * hears when, on the loop.
     */
    void reread(DoubleConsumer inForce) {
        try {
            GatewayConfig next = GatewayConfig.read(Path.of(spec.config()));
            loop.execute(
                    () -> {
                        apply(next);
                        inForce.accept(clock.nowMillis());
                    });
        } catch (ConfigException e) {
            throw new IllegalStateException(e);
        }
    }

    /** What of the settings comes in force in a gateway's control side. */
    private void apply(GatewayConfig next) {
        config = next;
        roster.switchEndpoint(next.roster());
        if (engine != null) {
            engine.switchEndpoint(next.engine());
        }
    }

    /** It falls silent for good. */
    void die() {
        wire.mute();
        roster.stopReporting();
    }

    boolean holdsDead(String name) {
        MemberUpdate claim =
                carrier.membership() == null ? null : carrier.membership().member(name);
        return claim != null && claim.status().isTerminal();
    }

    /** How many others it holds to be there. */
    int known() {
        return carrier.membership() == null ? 0 : carrier.membership().presentMembers().size();
    }

    long walked() {
        return carrier.membership() == null ? 0 : carrier.membership().visitedEntries();
    }

    /** Claims that it still tells on. */
    int riding() {
        return carrier.membership() == null ? 0 : carrier.membership().piggybackQueueSize();
    }

    ZoneWire wire() {
        return wire;
    }

    EventLoop loop() {
        return loop;
    }

    double startMs() {
        return startMs;
    }

    /** Bytes of settings and names that it holds, by count: tenants and routes. */
    int entries() {
        return config.site().tenantNames().size() + config.site().classNames().size();
    }

    /** Listens to an engine that never comes. */
    private static final class Nobody implements Engine.Listener {
        @Override
        public void onAttached(boolean fresh, double startedAgo) {}

        @Override
        public void onCaughtUp() {}

        @Override
        public void onDetached() {}

        @Override
        public void onRunEnded(String id, Engine.RunOutcome end, double took, ByteBuf result) {}

        @Override
        public void onGauges(String tag, Controller.Gauges gauges) {}
    }
}
