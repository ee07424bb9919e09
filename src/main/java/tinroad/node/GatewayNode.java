package tinroad.node;

import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import tinroad.admin.AdminServer;
import tinroad.catalog.Catalog;
import tinroad.changelog.ChangeLogFollower;
import tinroad.changelog.ChangeLogStore;
import tinroad.changelog.LogPosition;
import tinroad.config.ConfigDiff;
import tinroad.config.ConfigException;
import tinroad.config.ConfigSource;
import tinroad.config.GatewayConfig;
import tinroad.core.Clock;
import tinroad.core.Gateway;
import tinroad.discovery.LoadReporter;
import tinroad.engine.EngineLink;
import tinroad.fastcgi.FastCgiFrontend;
import tinroad.gossip.UdpTransport;
import tinroad.log.LogKeyValues;
import tinroad.operator.CatalogSettings;
import tinroad.operator.FleetSettings;
import tinroad.operator.StateSettings;
import tinroad.overload.OverloadController;
import tinroad.recovery.ConfigReloadBackoff;
import tinroad.recovery.RestoredState;

/** The parts of one gateway put together on one event loop, from its start to its leave. */
public final class GatewayNode implements AutoCloseable {
    /**
     * The last part of the time to leave, in ms at least: for the last answers to be taken and the
     * process to end.
     */
    private static final double EXIT_MARGIN = 200;

    /** The same as a part of that time. */
    private static final double EXIT_PART = 0.1;

    /**
     * Part of the grace for which a notice may have been on its way from the system to the thread
     * that hears it.
     */
    private static final double UNHEARD_PART = 0.1;

    /**
     * Neither is more than this, in ms: what a process may be late does not grow with what it is
     * given.
     */
    private static final double MOST_LATE = 500;

    /** So long before that no new connection is taken, and empty ones are closed. */
    private static final double CLOSING = 250;

    private static final long POLL_MS = 10;

    /** Period of the look for another process, in ms. */
    private static final long SHARE_MS = 250;

    private static final Logger LOG = LoggerFactory.getLogger("server");

    private enum Begun {
        NEITHER,
        LISTENING,
        LEAVING
    }

    private final GatewayConfig config;
    private final Clock clock = Clock.anchored();
    private final MultiThreadIoEventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final EngineLink engine;
    private final Gateway gateway;
    private final FastCgiFrontend front;
    private final LoadReporter roster;
    private final ListenerHandover succession;
    private final ConfigReloadBackoff rereads;

    /** What lasts, or null where nothing does. */
    private final StatePersistence remembering;

    private final double saveEvery;
    private final CatalogSettings catalogSettings;
    private final Catalog first;

    /** Who follows the change log, or null where there is none. */
    private final ChangeLogFollower follower;

    /**
     * Made with the first settings that come later: a gateway that never hears of any has no thread
     * for them.
     */
    private CatalogUpdater updates;

    private final FleetSettings fleetSettings;

    /** What speaks with the other gateways, or null where nothing does. */
    private final UdpTransport fleet;

    private boolean shared;

    /** What came first: the listener, or the notice to leave. */
    private final AtomicReference<Begun> begun = new AtomicReference<>(Begun.NEITHER);

    /** Where engine and roster are, by the configuration that was read last. */
    private volatile InetSocketAddress engineAt;

    private volatile InetSocketAddress rosterAt;
    private final CountDownLatch serving = new CountDownLatch(1);
    private final CountDownLatch ended = new CountDownLatch(1);

    /**
     * A gateway that shares {@code directory}, or null, with other processes under the same name.
     * Reads what lasted, and blocks for it.
     */
    public GatewayNode(
            GatewayConfig config,
            String directory,
            StateSettings state,
            FleetSettings fleetSettings) {
        this(config, directory, state, fleetSettings, CatalogSettings.DEFAULT);
    }

    /** The same, with classes and tenants that change as {@code catalogSettings} say. */
    public GatewayNode(
            GatewayConfig config,
            String directory,
            StateSettings state,
            FleetSettings fleetSettings,
            CatalogSettings catalogSettings) {
        this.config = config;
        remembering =
                state.enabled()
                        ? StatePersistence.open(state, config.name(), clock.nowMillis())
                        : null;
        saveEvery = state.savePeriodMillis();
        engineAt = config.engine();
        rosterAt = config.roster();
        succession = new ListenerHandover(directory, config.name());
        engine =
                new EngineLink(
                        loop,
                        config.engine(),
                        config.site().gaugeNames(),
                        config.name(),
                        config.seed());
        this.catalogSettings = catalogSettings;
        follower = follower(catalogSettings);
        Catalog read =
                Catalog.of(
                        0,
                        0,
                        config.site().classNames(),
                        config.site().settings().classes(),
                        config.site().tenantNames(),
                        config.site().settings().tenants());
        first = follower == null ? read : follower.locate(read);
        gateway =
                new Gateway(
                        config.site(),
                        first,
                        config.seed(),
                        clock,
                        this::after,
                        engine,
                        OverloadController::new,
                        LoggerFactory.getLogger("gateway"));
        front = new FastCgiFrontend(clock, gateway, config.sockets(), config.memoryMb());
        rereads = new ConfigReloadBackoff(config.name(), config.seed());
        roster = new LoadReporter(loop, config.roster(), config.name(), config.seed());
        gateway.addFrontend(front);
        this.fleetSettings = fleetSettings;
        fleet =
                fleetSettings.enabled()
                        ? new UdpTransport(
                                loop,
                                fleetSettings.listen(),
                                fleetSettings.keys(),
                                clock::nowMillis)
                        : null;
        gateway.onHealth(this::health);
        if (remembering != null) {
            gateway.restoreFrom(remembering.memory());
            after(saveEvery, this::save);
        }
    }

    /**
     * Who follows the change log, from no earlier on than what lasted tells; null where there is
     * none.
     */
    private ChangeLogFollower follower(CatalogSettings set) {
        if (set.log() == null) {
            return null;
        }
        RestoredState memory = remembering == null ? RestoredState.NONE : remembering.memory();
        return new ChangeLogFollower(
                new ChangeLogStore(set.log(), ChangeLogStore.DEFAULT_KEPT_CHANGES),
                "change log " + set.log(),
                memory.catalogEpoch() > 0
                        ? new LogPosition(memory.catalogEpoch(), memory.catalogNumber())
                        : null);
    }

    private void save() {
        // First: guards the saves to come against one that fails.
        after(saveEvery, this::save);
        remembering.save(gateway);
    }

    private void health(boolean good) {
        roster.report(good);
        if (good) {
            serving.countDown();
        }
    }

    private void after(double ms, Runnable task) {
        loop.schedule(task, (long) (ms * 1e6), TimeUnit.NANOSECONDS);
    }

    /** Has the virtual machine see its work before any caller does; blocks until then. */
    public void warmUpJit() throws InterruptedException {
        LOG.debug("rehearsing");
        loop.submit(() -> new JitWarmup(config.site()).play()).await();
    }

    /**
     * Listens, and begins to connect to the engine; returns the address that it listens on, or null
     * where the notice to leave came first: then nothing ever listens.
     */
    public InetSocketAddress start() throws IOException, InterruptedException {
        if (config.control() != null) {
            listening(
                    new AdminServer(
                                    gateway,
                                    () -> Optional.ofNullable(fleet).map(UdpTransport::membership))
                            .listen(loop, config.control()),
                    config.control());
        }
        if (follower != null) {
            updates().follow(catalogSettings.pollMillis());
        }
        // Guards the requests that come while a new version starts: until it takes work, all go to
        // the old one.
        boolean beside =
                FastCgiFrontend.isAddressTaken(config.listen(), false)
                        && !FastCgiFrontend.isAddressTaken(config.listen(), true);
        if (beside) {
            LogKeyValues.with(LOG.atInfo(), "listen", config.listen())
                    .log(
                            "another process listens on {}: beside it once the engine is there",
                            config.listen());
            share(true);
            connect();
            serving.await();
        }
        // On the loop, as the drain is: whichever comes first, the other sees it whole.
        Future<ChannelFuture> listen =
                loop.submit(
                                () ->
                                        begun.compareAndSet(Begun.NEITHER, Begun.LISTENING)
                                                ? front.listen(loop, config.listen())
                                                : null)
                        .await();
        if (listen.getNow() == null) {
            return null;
        }
        ChannelFuture bound = listening(listen.getNow(), config.listen());
        succession.take();
        loop.execute(gateway::markListening);
        LogKeyValues.with(
                        LogKeyValues.with(LOG.atInfo(), "listen", bound.channel().localAddress()),
                        "member",
                        config.name())
                .log("listening on {} as {}", bound.channel().localAddress(), config.name());
        if (!beside) {
            connect();
        }
        return (InetSocketAddress) bound.channel().localAddress();
    }

    private void connect() {
        loop.execute(
                () -> {
                    roster.start();
                    engine.start(gateway);
                    if (fleet != null) {
                        join();
                    }
                });
    }

    /**
     * Its life in the fleet is the one that its state counts, or, without state, the time of its
     * start.
     */
    private void join() {
        long life =
                remembering != null && remembering.memory().incarnation() > 0
                        ? remembering.memory().incarnation()
                        : (long) clock.nowMillis();
        fleet.start(config.name(), fleetSettings.zone(), life, fleetSettings.seeds(), config.seed())
                .addListener(
                        bound -> {
                            if (!bound.isSuccess()) {
                                LOG.warn(
                                        "can't hear the fleet on {}, goes on alone: {}",
                                        fleetSettings.listen(),
                                        bound.cause().getMessage());
                            }
                        });
    }

    private static ChannelFuture listening(ChannelFuture bound, InetSocketAddress address)
            throws IOException, InterruptedException {
        if (!bound.await().isSuccess()) {
            throw new IOException("can't listen on " + address + ": " + bound.cause().getMessage());
        }
        return bound;
    }

    /**
     * Reads the configuration again and goes on with its addresses of engine and roster, and with
     * its classes and tenants where these are to count at once; all else in it counts at the next
     * start. Blocks while it reads.
     */
    public void reload(ConfigSource source) throws ConfigException {
        goOnWith(reread(source, true));
    }

    private CatalogUpdater.Reread reread(ConfigSource source, boolean asked)
            throws ConfigException {
        return catalogSettings.inPlace() ? updates().apply(source, asked) : updates().read(source);
    }

    private synchronized CatalogUpdater updates() {
        if (updates == null) {
            updates = new CatalogUpdater(gateway, first, loop, follower);
        }
        return updates;
    }

    private void goOnWith(CatalogUpdater.Reread reread) {
        GatewayConfig next = reread.config();
        List<String> later = new ArrayList<>(ConfigDiff.between(config, next));
        if (reread.later() > 0) {
            later.add("settings.classes and settings.orgs: " + reread.later() + " differ");
        }
        if (!later.isEmpty()) {
            LOG.info("counts at the next start: {}", String.join(", ", later));
        }
        engineAt = next.engine();
        rosterAt = next.roster();
        loop.execute(
                () -> {
                    LogKeyValues.with(
                                    LogKeyValues.with(LOG.atInfo(), "engine", next.engine()),
                                    "roster",
                                    next.roster())
                            .log(
                                    "configuration read again: engine {}, roster {}",
                                    next.engine(),
                                    next.roster());
                    engine.switchEndpoint(next.engine());
                    roster.switchEndpoint(next.roster());
                });
    }

    /**
     * Leaves: answers all that was read, then ends. Blocks its caller, the thread that the notice
     * comes on. A process that was replaced leaves at once, and quietly: the gateway itself stays.
     */
    public void shutDownGracefully() {
        double noticedAt = Math.min(clock.nowMillis(), gateway.lastSeenAliveMillis());
        if (begun.compareAndSet(Begun.NEITHER, Begun.LEAVING)) {
            // Guards against a wait for the rehearsal, or for the engine: nobody has asked for
            // anything yet.
            LOG.info("told to leave before it listened");
            ended.countDown();
            return;
        }
        boolean replaced = succession.passedOn();
        loop.execute(
                () -> {
                    if (replaced) {
                        LOG.info("replaced by another process");
                        gateway.markReplaced();
                        roster.stopReporting();
                        front.closeGracefully();
                        endOnceEmpty();
                    }
                    drain(noticedAt);
                });
        try {
            ended.await((long) config.stopMillis(), TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        keep();
    }

    private void drain(double noticedAt) {
        double leaveAt =
                noticedAt
                        + Math.max(
                                0,
                                config.stopMillis()
                                        - Math.max(
                                                EXIT_MARGIN,
                                                Math.min(
                                                        MOST_LATE,
                                                        EXIT_PART * config.stopMillis())));
        // Guards the grace against a notice that was heard late, as where the process gets little
        // of a core.
        double grace = config.site().settings().rules().drainGraceMillis();
        gateway.beginDraining(noticedAt - Math.min(MOST_LATE, UNHEARD_PART * grace), leaveAt);
        if (fleet != null) {
            fleet.leave();
        }
        double left = leaveAt - clock.nowMillis();
        after(Math.max(0, left - CLOSING), front::closeGracefully);
        after(Math.max(0, left), this::endOnceEmpty);
    }

    private void endOnceEmpty() {
        if (gateway.allAnswered() && front.connections() == 0) {
            LOG.info("drained");
            if (remembering != null) {
                remembering.save(gateway);
            }
            ended.countDown();
        } else {
            after(POLL_MS, this::endOnceEmpty);
        }
    }

    /**
     * Blocks until the end. Meanwhile it looks whether another process shares what this gateway may
     * hold, and, while the engine is gone, what the configuration says by now.
     */
    public void awaitEnd(ConfigSource source) throws InterruptedException {
        do {
            try {
                watch(source);
            } catch (RuntimeException e) {
                // Guards the process: with this thread it would end, whatever it owes.
                LOG.error("watch failed", e);
            }
        } while (!ended.await(SHARE_MS, TimeUnit.MILLISECONDS));
    }

    private void watch(ConfigSource source) {
        share(succession.shared());
        if (rereads.due(clock.nowMillis(), engine.engineReachable()) && source.changed()) {
            try {
                CatalogUpdater.Reread next = reread(source, false);
                boolean moved =
                        !(next.config().engine().equals(engineAt)
                                && next.config().roster().equals(rosterAt));
                if (moved || next.taken()) {
                    LOG.info("engine gone: the configuration has changed unheard");
                    goOnWith(next);
                }
            } catch (ConfigException e) {
                // Told by whoever is told to read it; unasked, the gateway goes on with what it
                // has.
            }
        }
    }

    private void share(boolean withAnother) {
        if (withAnother != shared) {
            shared = withAnother;
            LOG.info(
                    withAnother
                            ? "half of the connections: another process shares the limits"
                            : "all connections: alone again");
            loop.execute(() -> front.shareDescriptors(withAnother));
        }
    }

    /** What waits to be saved is saved. */
    private void keep() {
        if (remembering != null) {
            remembering.close();
        }
    }

    private synchronized void stopUpdates() {
        if (updates != null) {
            updates.close();
        }
    }

    @Override
    public void close() {
        keep();
        stopUpdates();
        succession.close();
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }
}
