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
import tinroad.handover.HandoverClaims;
import tinroad.handover.ProcessStart;
import tinroad.log.LogKeyValues;
import tinroad.operator.CatalogSettings;
import tinroad.operator.FleetSettings;
import tinroad.operator.StateSettings;
import tinroad.overload.Controller.Idempotency;
import tinroad.overload.OverloadController;
import tinroad.recovery.RestoredState;

/**
 * A complete gateway: assembles the parts on one event loop and runs them from start to graceful
 * shutdown.
 *
 * <p>The event loop owns all state of the parts. The caller's threads only block and hand work to
 * the loop: one starts the node and waits for its end, one delivers the shutdown notice, and one
 * requests reloads. {@link CatalogUpdater} adds a thread of its own, the catalog thread.
 */
public final class GatewayNode implements AutoCloseable {
    /**
     * Period at which {@link #awaitEnd} checks whether another process shares the address, and
     * whether the configuration must be read again.
     */
    private static final long PERIODIC_CHECK_MILLIS = 250;

    private static final Logger LOG = LoggerFactory.getLogger("server");

    private enum Phase {
        STARTING,
        LISTENING,
        SHUTTING_DOWN
    }

    private final GatewayConfig config;
    private final Clock clock = Clock.anchored();
    private final MultiThreadIoEventLoopGroup eventLoopGroup =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop eventLoop = eventLoopGroup.next();
    private final Timers timers = new LoopTimers(eventLoop);
    private final EngineLink engine;
    private final Gateway gateway;
    private final FastCgiFrontend frontend;
    private final LoadReporter reporter;
    private final ListenerHandover handover;

    /** Null if no class is keyed. */
    private final HandoverClaims claims;

    private final StatePersistence persistence;
    private final double savePeriodMillis;
    private final FleetSettings fleetSettings;

    /** Null if the gateway is not a member of a fleet. */
    private final UdpTransport gossip;

    private final boolean followsChangeLog;
    private final ConfigReloader reloader;
    private final NodeShutdown shutdown;
    private final SharedEvacuation evacuation;

    /**
     * Decides the race between opening the listener and a shutdown notice: whichever comes first
     * prevents the other.
     */
    private final AtomicReference<Phase> phase = new AtomicReference<>(Phase.STARTING);

    private final CountDownLatch ableToServe = new CountDownLatch(1);

    /**
     * Whether another process shares the connection limits; accessed only on the thread that starts
     * the node and waits for its end.
     */
    private boolean limitsShared;

    /** Whether an older process may still run; accessed on the same thread. */
    private boolean takingOver;

    /**
     * Creates a gateway with {@link CatalogSettings#DEFAULT}; otherwise the same as the other
     * constructor.
     */
    public GatewayNode(
            GatewayConfig config,
            String directory,
            StateSettings stateSettings,
            FleetSettings fleetSettings) {
        this(
                config,
                directory,
                System.currentTimeMillis(),
                stateSettings,
                fleetSettings,
                CatalogSettings.DEFAULT);
    }

    /**
     * Assembles the parts and reads the stored state; blocks while it reads.
     *
     * @param directory directory in which the processes of one gateway find each other; null or
     *     empty if there is none
     * @param processStartMillis when this process started, in Unix ms
     */
    public GatewayNode(
            GatewayConfig config,
            String directory,
            long processStartMillis,
            StateSettings stateSettings,
            FleetSettings fleetSettings,
            CatalogSettings catalogSettings) {
        this.config = config;
        this.fleetSettings = fleetSettings;
        Site site = config.site();
        persistence =
                stateSettings.enabled()
                        ? StatePersistence.open(stateSettings, config.name(), clock.nowMillis())
                        : StatePersistence.DISABLED;
        savePeriodMillis = stateSettings.savePeriodMillis();
        handover = new ListenerHandover(directory, config.name());
        engine =
                new EngineLink(
                        eventLoop,
                        config.engine(),
                        site.gaugeNames(),
                        config.name(),
                        config.seed());
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
        reporter = new LoadReporter(eventLoop, config.roster(), config.name(), config.seed());
        gateway.addFrontend(frontend);
        claims = hasKeyedClass(site) ? openClaims(directory, processStartMillis) : null;
        if (claims != null) {
            gateway.shareRunClaims(claims);
        }
        gossip = fleetSettings.enabled() ? newGossip() : null;
        reloader =
                new ConfigReloader(
                        config,
                        clock,
                        catalogSettings,
                        eventLoop,
                        engine,
                        reporter,
                        () -> new CatalogUpdater(gateway, startCatalog, eventLoop, follower));
        shutdown =
                new NodeShutdown(
                        config, clock, eventLoop, gateway, frontend, reporter, gossip, persistence);
        gateway.onHealth(reporter::report);
        gateway.onAbleToServe(ableToServe::countDown);
        evacuation = new SharedEvacuation(directory, config.name(), eventLoop, gateway);
        if (stateSettings.enabled()) {
            gateway.restoreFrom(persistence.restoredState());
            timers.after(savePeriodMillis, this::save);
        }
    }

    private static boolean hasKeyedClass(Site site) {
        return site.settings().classes().stream()
                .anyMatch(
                        requestClass ->
                                requestClass.idempotency() == Idempotency.IDEMPOTENT_WITH_KEY);
    }

    private HandoverClaims openClaims(String directory, long processStartMillis) {
        return HandoverClaims.open(
                directory,
                config.name(),
                new ProcessStart(processStartMillis, mayShareAddressWithAnotherProcess()));
    }

    private boolean mayShareAddressWithAnotherProcess() {
        try {
            return anotherProcessSharesAddress();
        } catch (IOException e) {
            LOG.warn("can't tell whether another process listens: {}", e.toString());
            return true;
        }
    }

    /**
     * Creates the follower of the change log, which continues at the position in the restored
     * state; null if no change log is followed.
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
                eventLoop, fleetSettings.listen(), fleetSettings.keys(), clock::nowMillis);
    }

    private void save() {
        // Schedules the next save before this one, so that later saves happen even if this one
        // fails.
        timers.after(savePeriodMillis, this::save);
        persistence.save(gateway);
    }

    /**
     * Sends synthetic requests through the hot paths, so that the JIT compiler compiles them before
     * any client connects; blocks meanwhile.
     *
     * @throws InterruptedException if the caller is interrupted meanwhile
     */
    public void warmUpJit() throws InterruptedException {
        LOG.debug("JIT warm-up started");
        // The result is ignored: after a failed warm-up only the first requests are slower, so the
        // gateway starts anyway.
        Future<Integer> unused = eventLoop.submit(() -> new JitWarmup(config.site()).run()).await();
    }

    /**
     * Opens the listener and starts connecting to the engine; blocks until the gateway listens. If
     * another process already listens on the address, this one connects first and listens only once
     * the engine is reachable and it is able to serve.
     *
     * @return the address that the gateway listens on; empty if the shutdown notice came first, in
     *     which case it never listens
     * @throws IOException if it can't listen on an address
     * @throws InterruptedException if the caller is interrupted meanwhile
     */
    public Optional<InetSocketAddress> start() throws IOException, InterruptedException {
        if (config.control() != null) {
            AdminServer adminServer =
                    new AdminServer(
                            gateway,
                            evacuation,
                            () -> Optional.ofNullable(gossip).map(UdpTransport::membership));
            awaitBound(adminServer.listen(eventLoop, config.control()), config.control());
        }
        if (followsChangeLog) {
            reloader.followChangeLog();
        }
        boolean sharesAddress = anotherProcessSharesAddress();
        evacuation.check();
        if (sharesAddress) {
            setTakingOver(true);
            LogKeyValues.with(LOG.atInfo(), "listen", config.listen())
                    .log(
                            "another process listens on {}: listening beside it once the engine is"
                                    + " reachable",
                            config.listen());
            shareLimits(true);
            connect();
            do {
                evacuation.check();
            } while (!ableToServe.await(PERIODIC_CHECK_MILLIS, TimeUnit.MILLISECONDS));
        }
        Optional<InetSocketAddress> bound = listen();
        if (bound.isPresent() && !sharesAddress) {
            connect();
        }
        return bound;
    }

    /**
     * Whether another process listens on the address and shares it (SO_REUSEPORT). While a new
     * version of the program starts, all requests must go to the old process until the new one
     * admits requests.
     */
    private boolean anotherProcessSharesAddress() throws IOException {
        return FastCgiFrontend.isAddressTaken(config.listen(), false)
                && !FastCgiFrontend.isAddressTaken(config.listen(), true);
    }

    @SuppressWarnings("FutureReturnValueIgnored") // False positive: both futures are awaited here.
    private Optional<InetSocketAddress> listen() throws IOException, InterruptedException {
        // Runs on the event loop, as the shutdown does, so that whichever of the two comes second
        // sees everything that the first one did.
        Future<ChannelFuture> listen =
                eventLoop
                        .submit(
                                () ->
                                        phase.compareAndSet(Phase.STARTING, Phase.LISTENING)
                                                ? frontend.listen(eventLoop, config.listen())
                                                : null)
                        .await();
        if (listen.getNow() == null) {
            return Optional.empty();
        }
        ChannelFuture bound = listen.getNow();
        awaitBound(bound, config.listen());
        handover.recordListening();
        eventLoop.execute(gateway::markListening);
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
        eventLoop.execute(
                () -> {
                    reporter.start();
                    engine.start(gateway);
                    if (gossip != null) {
                        joinFleet();
                    }
                });
    }

    /**
     * Joins the fleet with the incarnation from the stored state, or, without stored state, with
     * the start time as the incarnation.
     */
    private void joinFleet() {
        long restoredIncarnation = persistence.restoredState().incarnation();
        long incarnation = restoredIncarnation > 0 ? restoredIncarnation : (long) clock.nowMillis();
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
     * Reads the configuration again and applies the addresses of the engine and the service
     * registry, and the classes and tenants if they are set to change in place; everything else
     * takes effect at the next start. Blocks while it reads; may be called on any thread.
     *
     * @throws ConfigException if it is invalid; the configuration in force then stays
     */
    public void reload(ConfigSource source) throws ConfigException {
        reloader.reload(source);
    }

    /**
     * Shuts the gateway down gracefully: answers every request that was read, then ends. Blocks its
     * caller, the thread on which the notice arrives, until then, but no longer than until the
     * process would be killed anyway. A process that was replaced ends as soon as it has no request
     * and no connection left, and the gateway stays in the service registry.
     */
    public void shutDownGracefully() {
        double noticedAtMillis = shutdown.noticedAtMillis();
        if (phase.compareAndSet(Phase.STARTING, Phase.SHUTTING_DOWN)) {
            // No client has sent anything yet, so there is no need to wait for the warm-up or the
            // engine.
            shutdown.endBeforeListening();
            return;
        }
        shutdown.begin(noticedAtMillis, handover.isReplaced());
        shutdown.awaitEndOrKill();
        persistence.close();
    }

    /**
     * Blocks until the gateway has ended. Meanwhile it checks whether another process shares the
     * connection limits, and, while the engine is unreachable, whether the configuration has
     * changed.
     *
     * @throws InterruptedException if the caller is interrupted meanwhile
     */
    public void awaitEnd(ConfigSource source) throws InterruptedException {
        do {
            try {
                shareLimits(handover.isShared());
                evacuation.check();
                if (takingOver && handover.isKnownAsOldest()) {
                    setTakingOver(false);
                }
                if (claims != null && handover.isKnownAsOldest()) {
                    claims.recordPredecessorsEnded(clock.nowMillis());
                }
                reloader.reloadWhileEngineIsUnreachable(source);
            } catch (RuntimeException e) {
                // The process would end together with this thread, even with requests in flight.
                LOG.error("periodic check failed", e);
            }
        } while (!shutdown.awaitEnd(PERIODIC_CHECK_MILLIS));
    }

    private void setTakingOver(boolean value) {
        takingOver = value;
        eventLoop.execute(() -> gateway.setTakingOver(value));
    }

    private void shareLimits(boolean shared) {
        if (shared != limitsShared) {
            limitsShared = shared;
            LOG.info(
                    shared
                            ? "connection limits halved: another process shares them"
                            : "connection limits restored: no other process");
            eventLoop.execute(() -> frontend.shareLimits(shared));
        }
    }

    @Override
    public void close() {
        persistence.close();
        reloader.close();
        evacuation.close();
        handover.close();
        if (claims != null) {
            claims.close();
        }
        // The future is not needed: the process ends, and nothing waits for the event loop's
        // thread.
        Future<?> unused = eventLoopGroup.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }
}
