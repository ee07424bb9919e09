package tinroad.core;

import io.netty.buffer.ByteBuf;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Function;
import org.slf4j.Logger;
import tinroad.catalog.Catalog;
import tinroad.catalog.CatalogDelta;
import tinroad.config.Site;
import tinroad.overload.Controller;
import tinroad.overload.Controller.Gauges;
import tinroad.overload.Controller.Settings;
import tinroad.recovery.RecoveryPhaseTracker;
import tinroad.recovery.RestoredState;

/**
 * One gateway, whatever protocol its requests came by: puts the parts together that carry a request
 * from its arrival to its answer, and is what frontends, the engine link, the admin endpoint and
 * the node call. Decides nothing itself: that is the {@link Controller}'s. All methods are called
 * on the event loop, unless they say otherwise.
 */
public final class Gateway implements Engine.Listener {
    private final Clock clock;
    private final GatewayMetrics metrics;
    private final RequestTable requests;
    private final IdempotencyTable idempotency;
    private final ActiveCatalog activeCatalog;
    private final CatalogActivation catalogActivation;
    private final ControllerActions actions;
    private final ControllerDriver driver;
    private final RequestArrivals arrivals;
    private final RequestLifecycle lifecycle;
    private final DeadlineGuard guard;
    private final EngineRecovery engineRecovery;
    private final HealthStatus health;
    private final GracefulShutdown shutdown;
    private final WarmStart warmStart;

    /** Is notified of changes of the gateway's health. */
    @FunctionalInterface
    public interface HealthListener {
        /** The gateway takes work, or does not. */
        void health(boolean good);
    }

    /**
     * A gateway around the controller that {@code controllerFactory} makes, with the catalog of the
     * site's classes and tenants.
     */
    public Gateway(
            Site site,
            long seed,
            Clock clock,
            Timers timers,
            Engine engine,
            Function<Controller.Actions, Controller> controllerFactory,
            Logger log) {
        this(
                site,
                Catalog.of(
                        0,
                        0,
                        site.classNames(),
                        site.settings().classes(),
                        site.tenantNames(),
                        site.settings().tenants()),
                seed,
                clock,
                timers,
                engine,
                controllerFactory,
                log);
    }

    /**
     * A gateway around the controller that {@code controllerFactory} makes.
     *
     * @param catalog of the site's classes and tenants: their slots are their places in the site's
     *     lists
     * @param seed of all random choices of the controller
     * @param timers run tasks on the event loop
     * @param log gets the changes of the gateway's state
     */
    public Gateway(
            Site site,
            Catalog catalog,
            long seed,
            Clock clock,
            Timers timers,
            Engine engine,
            Function<Controller.Actions, Controller> controllerFactory,
            Logger log) {
        this.clock = clock;
        Settings settings = site.settings();
        actions = new ControllerActions(log);
        driver = new ControllerDriver(controllerFactory.apply(actions), clock, timers, engine, log);
        idempotency = new IdempotencyTable(settings.resultFreshMillis());
        metrics = new GatewayMetrics(site.classNames());
        requests = new RequestTable(clock);
        activeCatalog = new ActiveCatalog(site, catalog, clock.nowMillis());
        warmStart = new WarmStart(activeCatalog, driver, clock, settings.cores(), log);
        catalogActivation =
                new CatalogActivation(
                        activeCatalog, driver, requests, warmStart, timers, clock, log);
        shutdown =
                new GracefulShutdown(
                        settings.rules().drainGraceMillis(),
                        driver,
                        requests,
                        warmStart,
                        clock,
                        log);
        health = new HealthStatus(shutdown, log);
        lifecycle =
                new RequestLifecycle(
                        requests, idempotency, metrics, driver, warmStart, engine, clock, log);
        arrivals =
                new RequestArrivals(
                        settings.requestsCarryDeadline(),
                        clock,
                        activeCatalog,
                        requests,
                        idempotency,
                        metrics,
                        driver,
                        shutdown,
                        warmStart);
        guard = new DeadlineGuard(timers, clock, requests, lifecycle, idempotency, warmStart);
        engineRecovery =
                new EngineRecovery(
                        settings,
                        seed,
                        engine,
                        clock,
                        driver,
                        requests,
                        lifecycle,
                        guard,
                        catalogActivation,
                        warmStart,
                        shutdown,
                        log);
        actions.bind(driver, lifecycle, health);
    }

    // --- set up once, before the first request ---

    /** Takes the state of earlier incarnations; called before the engine is attached, or never. */
    public void restoreFrom(RestoredState earlier) {
        warmStart.restoreFrom(earlier);
        requests.restoreExecuted(earlier.executedIds(), clock.nowMillis());
        if (earlier.evacuated()) {
            health.evacuate();
        }
    }

    /** Adds a frontend; all are added before the first request. */
    public void addFrontend(Frontend frontend) {
        actions.addFrontend(frontend);
    }

    /** Sets who is notified of the health; called once, before any request. */
    public void onHealth(HealthListener listener) {
        health.setListener(listener);
    }

    /**
     * Sets who is notified of the slots, of classes and of tenants, that were removed and that no
     * request in flight refers to any more.
     */
    public void onSlotsFree(Consumer<int[]> classes, Consumer<int[]> tenants) {
        requests.onSlotsFree(classes, tenants);
    }

    // --- from the frontends ---

    /**
     * A request was read. The sink gets exactly one answer, perhaps within this call; the request's
     * body is used during the call only.
     */
    public void handle(IncomingRequest incoming, ResponseSink responseSink) {
        arrivals.handle(incoming, responseSink);
    }

    /**
     * The client of this request has disconnected. While the request is queued, it fails and leaves
     * the queue; what was sent to run can't be stopped, and is answered when it ends. Does nothing
     * where {@code responseSink} is not the one that the request came with.
     */
    public void cancel(String id, ResponseSink responseSink) {
        lifecycle.cancel(id, responseSink);
    }

    // --- from the engine ---

    @Override
    public void onAttached(boolean fresh, double startedMillisAgo) {
        engineRecovery.attached(fresh, startedMillisAgo);
    }

    @Override
    public void onDetached() {
        engineRecovery.detached();
    }

    @Override
    public void onCaughtUp() {
        engineRecovery.caughtUp();
    }

    @Override
    public void onRunEnded(
            String id, Engine.RunOutcome outcome, double tookMillis, ByteBuf result) {
        lifecycle.runEnded(id, outcome, tookMillis, result);
    }

    @Override
    public void onGauges(String tag, Gauges gauges) {
        driver.onGauges(tag, gauges);
    }

    // --- from the operators and the node ---

    /**
     * The shutdown notice: everything that was read is answered by {@code shutdownAtMillis}. A
     * second notice changes nothing.
     *
     * @param noticedAtMillis when the notice came, in Unix ms, which counts instead of the time of
     *     this call: what may still run depends on it
     */
    public void beginDraining(double noticedAtMillis, double shutdownAtMillis) {
        if (shutdown.begin(noticedAtMillis, shutdownAtMillis)) {
            health.update();
        }
    }

    /**
     * Another process has taken over: this one ends, and reports the gateway's health no longer.
     */
    public void markReplaced() {
        health.markReplaced();
    }

    /** Clients can connect to this process from now on. */
    public void markListening() {
        health.markListening();
    }

    /**
     * Whether this process serves, and goes on serving. Guards against a yes before clients can
     * connect to it: whoever gets that may end the process that served until then.
     */
    public boolean ready() {
        return health.isReady();
    }

    /**
     * Takes the gateway out of the service registry, until {@link #rejoin}: its health is bad. What
     * still arrives is served as before; the controller, for which draining has an end, is not
     * notified.
     */
    public void evacuate() {
        health.evacuate();
    }

    /** Ends an evacuation; false where the process is draining. */
    public boolean rejoin() {
        return health.rejoin();
    }

    // --- changes of classes and tenants ---

    /**
     * A later version of the catalog, with its difference from the version before: it comes in
     * force at one instant, a little later. {@code completion} gets whether it did; where the
     * controller failed it did not, and the catalog in force stays. Draining does not hinder it; at
     * the end of the process a version that is not in force yet is dropped.
     */
    public void applyChange(Catalog next, CatalogDelta delta, Consumer<Boolean> completion) {
        catalogActivation.apply(next, delta, completion);
    }

    /** A later version was rejected, for this reason: the catalog in force stays. */
    public void changeRejected(String reason) {
        catalogActivation.reject(reason);
    }

    /** So many later versions are known that {@link #applyChange} was not called for yet. */
    public void setUnappliedChanges(int versions) {
        catalogActivation.setUnappliedChanges(versions);
    }

    /** The catalog in force: all classes and tenants. */
    public Catalog catalog() {
        return activeCatalog.catalog();
    }

    /** Since when the catalog is in force, in Unix ms. */
    public double catalogSinceMillis() {
        return activeCatalog.sinceMillis();
    }

    /** How many later versions are known that are not in force yet. */
    public int pendingCatalogs() {
        return catalogActivation.pending();
    }

    /** The longest time, in ms, that the last change made other events wait. */
    public double longestSliceMillis() {
        return catalogActivation.longestSliceMillis();
    }

    /** Why a later version was rejected last; null where none was. */
    public String lastRejection() {
        return catalogActivation.lastRejection();
    }

    /** When a later version was rejected last, in Unix ms. */
    public double rejectedAtMillis() {
        return catalogActivation.rejectedAtMillis();
    }

    // --- state, read by others ---

    /** The time now, in Unix ms. */
    public double nowMillis() {
        return clock.nowMillis();
    }

    /**
     * A moment, in Unix ms, at which this process worked, and before which no event can have been
     * left unread; any thread may ask. Guards against a shutdown notice that came while the whole
     * process stalled: it is seen later than it came. The older of two moments, as the latest may
     * lie between the end of the stall and the notice.
     */
    public double lastSeenAliveMillis() {
        return guard.lastSeenAliveMillis();
    }

    /** The load level that every answer and health check carries; NaN for none. */
    public double loadLevel() {
        return health.loadLevel();
    }

    /** What health checks report. */
    public boolean healthy() {
        return health.isHealthy();
    }

    /** Whether operators evacuated the gateway. */
    public boolean evacuated() {
        return health.isEvacuated();
    }

    /** Whether every request that was read has its answer. */
    public boolean allAnswered() {
        return inFlight() == 0;
    }

    /** How many requests were read and have no answer yet. */
    public int inFlight() {
        return requests.unanswered();
    }

    /** The requests in flight, which tests hold the counts of the tables to. */
    RequestTable requestTable() {
        return requests;
    }

    /** The retained keys and results; for the same tests. */
    IdempotencyTable idempotencyTable() {
        return idempotency;
    }

    /** Counts of answers and runs since the process started. */
    public GatewayMetrics metrics() {
        return metrics;
    }

    /** How far the recovery of this incarnation has come. */
    public RecoveryPhaseTracker recoveryPhase() {
        return warmStart.recoveryPhase();
    }

    /** Where the state of earlier incarnations is from. */
    public RestoredState restoredState() {
        return warmStart.restoredState();
    }

    /** The values of earlier incarnations that this one started with, by name. */
    public Map<String, RestoredState.RestoredValue> restoredValues() {
        return warmStart.restoredValues();
    }

    /** What this incarnation has learned, by name; empty before the engine was attached. */
    public Map<String, Controller.Estimate> learnedEstimates() {
        return warmStart.learnedEstimates();
    }

    /** Ids that were or may have been executed, with their deadlines in Unix ms. */
    public Map<String, Double> executedIds() {
        return requests.executedIds();
    }
}
