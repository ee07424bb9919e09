package tinroad.node;

import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.InetSocketAddress;
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
import tinroad.config.ConfigException;
import tinroad.config.ConfigSource;
import tinroad.config.GatewayConfig;
import tinroad.config.Site;
import tinroad.core.Clock;
import tinroad.core.Gateway;
import tinroad.core.Timers;
import tinroad.discovery.LoadReporter;
import tinroad.engine.EngineLink;
import tinroad.fastcgi.FastCgiFrontend;
import tinroad.gossip.UdpTransport;
import tinroad.log.LogKeyValues;
import tinroad.operator.CatalogSettings;
import tinroad.operator.FleetSettings;
import tinroad.operator.StateSettings;
import tinroad.overload.OverloadController;
import tinroad.recovery.RestoredState;

/**
 * The parts of one gateway put together on one event loop, from start to graceful shutdown.
 *
 * <p>That event loop owns all state of the parts. Beside it run the caller's threads, which only
 * block and hand work to the loop: one starts the node and waits for its end, one brings the
 * shutdown notice, one requests reloads; and the catalog thread of {@link CatalogUpdater}.
 */
public final class GatewayNode implements AutoCloseable {
    /** How often it is checked whether another process shares the address, in ms. */
    private static final long WATCH_PERIOD_MILLIS = 250;

    private static final Logger LOG = LoggerFactory.getLogger("server");

    private enum Phase {
        STARTING,
        LISTENING,
        SHUTTING_DOWN
    }

    private final GatewayConfig config;
    private final Clock clock = Clock.anchored();
    private final MultiThreadIoEventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final Timers timers = new LoopTimers(loop);
    private final EngineLink engine;
    private final Gateway gateway;
    private final FastCgiFrontend frontend;
    private final LoadReporter reporter;
    private final ListenerHandover handover;
    private final StatePersistence persistence;
    private final double savePeriodMillis;
    private final FleetSettings fleetSettings;

    /** Null where the gateway is not a member of a fleet. */
    private final UdpTransport gossip;

    private final boolean followsChangeLog;
    private final ConfigReloader reloader;
    private final NodeShutdown shutdown;

    /** Decides between listener and shutdown notice: whichever comes first keeps the other out. */
    private final AtomicReference<Phase> phase = new AtomicReference<>(Phase.STARTING);

    private final CountDownLatch healthy = new CountDownLatch(1);

    /** Whether another process shares the connection limits; on the thread that waits. */
    private boolean limitsShared;

    /**
     * A gateway whose catalog changes as by {@link CatalogSettings#DEFAULT}; see the other
     * constructor.
     */
    public GatewayNode(
            GatewayConfig config,
            String directory,
            StateSettings state,
            FleetSettings fleetSettings) {
        this(config, directory, state, fleetSettings, CatalogSettings.DEFAULT);
    }

    /**
     * Puts the parts together and reads the stored state, which blocks.
     *
     * @param directory where processes of the same gateway find each other; null or empty if there
     *     is none
     */
    public GatewayNode(
            GatewayConfig config,
            String directory,
            StateSettings state,
            FleetSettings fleetSettings,
            CatalogSettings catalogSettings) {
        this.config = config;
        this.fleetSettings = fleetSettings;
        Site site = config.site();
        persistence =
                state.enabled()
                        ? StatePersistence.open(state, config.name(), clock.nowMillis())
                        : StatePersistence.DISABLED;
        savePeriodMillis = state.savePeriodMillis();
        handover = new ListenerHandover(directory, config.name());
        engine =
                new EngineLink(
                        loop, config.engine(), site.gaugeNames(), config.name(), config.seed());
        ChangeLogFollower follower = newFollower(catalogSettings, persistence.restoredState());
        followsChangeLog = follower != null;
        Catalog startCatalog = startCatalog(site, follower);
        gateway =
                new Gateway(
                        site,
                        startCatalog,
                        config.seed(),
                        clock,
                        timers,
                        engine,
                        OverloadController::new,
                        LoggerFactory.getLogger("gateway"));
        frontend = new FastCgiFrontend(clock, gateway, config.sockets(), config.memoryMb());
        reporter = new LoadReporter(loop, config.roster(), config.name(), config.seed());
        gateway.addFrontend(frontend);
        gossip = fleetSettings.enabled() ? newGossip() : null;
        reloader =
                new ConfigReloader(
                        config,
                        clock,
                        catalogSettings,
                        loop,
                        engine,
                        reporter,
                        () -> new CatalogUpdater(gateway, startCatalog, loop, follower));
        shutdown =
                new NodeShutdown(
                        config, clock, loop, gateway, frontend, reporter, gossip, persistence);
        gateway.onHealth(this::onHealth);
        if (state.enabled()) {
            gateway.restoreFrom(persistence.restoredState());
            timers.after(savePeriodMillis, this::save);
        }
    }

    /**
     * The follower of the change log, from the stored state's position on; null where no log is
     * followed.
     */
    private static ChangeLogFollower newFollower(CatalogSettings settings, RestoredState restored) {
        if (settings.log() == null) {
            return null;
        }
        return new ChangeLogFollower(
                new ChangeLogStore(settings.log(), ChangeLogStore.DEFAULT_KEPT_CHANGES),
                "change log " + settings.log(),
                restored.catalogEpoch() > 0
                        ? new LogPosition(restored.catalogEpoch(), restored.catalogNumber())
                        : null);
    }

    private static Catalog startCatalog(Site site, ChangeLogFollower follower) {
        Catalog configured =
                Catalog.of(
                        0,
                        0,
                        site.classNames(),
                        site.settings().classes(),
                        site.tenantNames(),
                        site.settings().tenants());
        return follower == null ? configured : follower.locate(configured);
    }

    private UdpTransport newGossip() {
        return new UdpTransport(
                loop, fleetSettings.listen(), fleetSettings.keys(), clock::nowMillis);
    }

    private void save() {
        // First: guards the snapshots to come against one that fails.
        timers.after(savePeriodMillis, this::save);
        persistence.save(gateway);
    }

    private void onHealth(boolean good) {
        reporter.report(good);
        if (good) {
            healthy.countDown();
        }
    }

    /**
     * Has the JIT compiler see the hot paths before any client does; blocks until then.
     *
     * @throws InterruptedException if the caller is interrupted meanwhile
     */
    public void warmUpJit() throws InterruptedException {
        LOG.debug("JIT warm-up started");
        // A failed warm-up costs nothing but the first requests' time: the gateway starts anyway.
        Future<Integer> unused = loop.submit(() -> new JitWarmup(config.site()).play()).await();
    }

    /**
     * Listens, and begins to connect to the engine; blocks until it listens. Where another process
     * already listens on the address, that is once the engine is reachable and health is good.
     *
     * @return the address that it listens on; empty if the shutdown notice came first: then it
     *     never listens
     * @throws IOException if it can't listen on an address
     * @throws InterruptedException if the caller is interrupted meanwhile
     */
    public Optional<InetSocketAddress> start() throws IOException, InterruptedException {
        if (config.control() != null) {
            AdminServer admin =
                    new AdminServer(
                            gateway,
                            () -> Optional.ofNullable(gossip).map(UdpTransport::membership));
            awaitBound(admin.listen(loop, config.control()), config.control());
        }
        if (followsChangeLog) {
            reloader.followChangeLog();
        }
        boolean besideAnother = isServedByAnotherProcess();
        if (besideAnother) {
            LogKeyValues.with(LOG.atInfo(), "listen", config.listen())
                    .log(
                            "another process listens on {}: listening beside it once the engine is"
                                    + " reachable",
                            config.listen());
            shareLimits(true);
            connect();
            healthy.await();
        }
        Optional<InetSocketAddress> bound = listen();
        if (bound.isPresent() && !besideAnother) {
            connect();
        }
        return bound;
    }

    /**
     * Whether another process listens that lets this one listen beside it. Guards the requests that
     * come while a new version starts: until it admits requests, all go to the old one.
     */
    private boolean isServedByAnotherProcess() throws IOException {
        return FastCgiFrontend.isAddressTaken(config.listen(), false)
                && !FastCgiFrontend.isAddressTaken(config.listen(), true);
    }

    @SuppressWarnings("FutureReturnValueIgnored") // Wrong: both futures are awaited here.
    private Optional<InetSocketAddress> listen() throws IOException, InterruptedException {
        // On the loop, as the shutdown is: whichever comes first, the other sees all of it.
        Future<ChannelFuture> listen =
                loop.submit(
                                () ->
                                        phase.compareAndSet(Phase.STARTING, Phase.LISTENING)
                                                ? frontend.listen(loop, config.listen())
                                                : null)
                        .await();
        if (listen.getNow() == null) {
            return Optional.empty();
        }
        ChannelFuture bound = listen.getNow();
        awaitBound(bound, config.listen());
        handover.recordListening();
        loop.execute(gateway::markListening);
        InetSocketAddress address = (InetSocketAddress) bound.channel().localAddress();
        LogKeyValues.with(
                        LogKeyValues.with(LOG.atInfo(), "listen", address), "member", config.name())
                .log("listening on {} as {}", address, config.name());
        return Optional.of(address);
    }

    private static void awaitBound(ChannelFuture bound, InetSocketAddress address)
            throws IOException, InterruptedException {
        if (!bound.await().isSuccess()) {
            throw new IOException("can't listen on " + address + ": " + bound.cause().getMessage());
        }
    }

    private void connect() {
        loop.execute(
                () -> {
                    reporter.start();
                    engine.start(gateway);
                    if (gossip != null) {
                        joinFleet();
                    }
                });
    }

    /** The incarnation is the stored state's, or, without state, the time of the start. */
    private void joinFleet() {
        long stored = persistence.restoredState().incarnation();
        long incarnation = stored > 0 ? stored : (long) clock.nowMillis();
        ChannelFuture unused =
                gossip.start(
                                config.name(),
                                fleetSettings.zone(),
                                incarnation,
                                fleetSettings.seeds(),
                                config.seed())
                        .addListener(
                                bound -> {
                                    if (!bound.isSuccess()) {
                                        LOG.warn(
                                                "can't open the gossip socket on {}, continuing"
                                                        + " alone: {}",
                                                fleetSettings.listen(),
                                                bound.cause().getMessage());
                                    }
                                });
    }

    /**
     * Reads the configuration again and applies its addresses of engine and service registry, and
     * its classes and tenants where these are to change in place; everything else in it applies at
     * the next start. Blocks while it reads; any thread.
     *
     * @throws ConfigException if it is invalid: then the one in force stays
     */
    public void reload(ConfigSource source) throws ConfigException {
        reloader.reload(source);
    }

    /**
     * Graceful shutdown: answers every request that was read, then ends. Blocks its caller, the
     * thread that the notice arrives on, until then, at most until the process is killed anyway. A
     * process that was replaced ends as soon as it is empty, and the gateway stays in the service
     * registry.
     */
    public void shutDownGracefully() {
        double noticedAtMillis = shutdown.noticedAtMillis();
        if (phase.compareAndSet(Phase.STARTING, Phase.SHUTTING_DOWN)) {
            // Guards against a wait for the warm-up, or for the engine: no client has sent
            // anything yet.
            shutdown.endBeforeListening();
            return;
        }
        shutdown.begin(noticedAtMillis, handover.isReplaced());
        shutdown.awaitEndOrKill();
        persistence.close();
    }

    /**
     * Blocks until the end. Meanwhile it checks whether another process shares the connection
     * limits, and, while the engine is unreachable, whether the configuration has changed.
     *
     * @throws InterruptedException if the caller is interrupted meanwhile
     */
    public void awaitEnd(ConfigSource source) throws InterruptedException {
        do {
            try {
                shareLimits(handover.isShared());
                reloader.reloadWhileEngineIsUnreachable(source);
            } catch (RuntimeException e) {
                // Guards the process: with this thread it would end, whatever is still in flight.
                LOG.error("periodic check failed", e);
            }
        } while (!shutdown.awaitEnd(WATCH_PERIOD_MILLIS));
    }

    private void shareLimits(boolean withAnother) {
        if (withAnother != limitsShared) {
            limitsShared = withAnother;
            LOG.info(
                    withAnother
                            ? "connection limits halved: another process shares them"
                            : "connection limits restored: no other process");
            loop.execute(() -> frontend.shareDescriptors(withAnother));
        }
    }

    @Override
    public void close() {
        persistence.close();
        reloader.close();
        handover.close();
        // Knowingly dropped: the process ends, and nothing waits for the loop's thread.
        Future<?> unused = group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }
}
