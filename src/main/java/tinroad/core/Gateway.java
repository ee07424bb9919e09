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
 * A gateway, independent of the protocol of its requests. It combines the parts that carry a
 * request from its arrival to its answer, and is the object that frontends, the engine link, the
 * admin endpoint and the node call. It makes no decisions itself; those are the {@link
 * Controller}'s. All methods must be called on the event loop unless they state otherwise.
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
        /** Called when the gateway begins or stops accepting work. */
        void healthChanged(boolean healthy);
    }

    /**
     * Creates a gateway with the controller that {@code controllerFactory} makes, and with a
     * catalog of the site's classes and tenants.
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
     * Creates a gateway with the controller that {@code controllerFactory} makes.
     *
     * @param catalog the site's classes and tenants; their slots are their positions in the site's
     *     lists
     * @param seed the seed of all random choices of the controller
     * @param timers runs tasks on the event loop
     * @param log receives the changes of the gateway's state
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
        idempotency = new IdempotencyTable(settings.resultReplayMillis());
        metrics = new GatewayMetrics(site.classNames());
        requests = new RequestTable(clock);
        activeCatalog = new ActiveCatalog(site, catalog, clock.nowMillis());
        warmStart = new WarmStart(activeCatalog, driver, clock, settings.cores(), log);
        catalogActivation =
                new CatalogActivation(
                        activeCatalog, driver, requests, warmStart, timers, clock, log);
        shutdown =
                new GracefulShutdown(
                        settings.operatingLimits().drainGraceMillis(),
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

    // --- setup, once, before the first request ---

    /**
     * Restores the state of earlier incarnations. It is called before the engine is attached, or
     * never.
     */
    public void restoreFrom(RestoredState earlier) {
        warmStart.restoreFrom(earlier);
        requests.restoreExecuted(earlier.executedIds(), clock.nowMillis());
        if (earlier.evacuated()) {
            health.evacuate();
        }
    }

    /**
     * Sets the claims on runs of keyed requests that all processes of this gateway share. It is
     * called before the first request, or never if there is no other process.
     */
    public void shareRunClaims(RunClaims claims) {
        idempotency.shareClaims(claims);
    }

    /** Adds a frontend. All frontends are added before the first request. */
    public void addFrontend(Frontend frontend) {
        actions.addFrontend(frontend);
    }

    /** Sets the listener that is notified of the health. It is called once, before any request. */
    public void onHealth(HealthListener listener) {
        health.setListener(listener);
    }

    /** Sets what is called once this process is able to serve, whether it is evacuated or not. */
    public void onAbleToServe(Runnable listener) {
        health.setAbleToServeListener(listener);
    }

    /**
     * Sets the consumers that are notified of slots, of classes and of tenants, that were removed
     * and that no request in flight refers to any more.
     */
    public void onSlotsFree(Consumer<int[]> classes, Consumer<int[]> tenants) {
        requests.onSlotsFree(classes, tenants);
    }

    // --- from the frontends ---

    /**
     * Handles a request that was read. The sink receives exactly one answer, perhaps within this
     * call; the request's body is used during the call only.
     */
    public void handle(IncomingRequest incoming, ResponseSink responseSink) {
        arrivals.handle(incoming, responseSink);
    }

    /**
     * Handles the disconnection of a request's client. A request that is still queued fails and
     * leaves the queue; a request that was sent to run can't be stopped, and is answered when its
     * run ends. Nothing happens if {@code responseSink} is not the one that the request came with.
     */
    public void cancel(String id, ResponseSink responseSink) {
        lifecycle.cancel(id, responseSink);
    }

    /**
     * Returns whether any class is keyed. If so, a request whose fields were not read may be a
     * further attempt of one that ran.
     */
    public boolean hasKeyedClass() {
        return activeCatalog.hasKeyedClass();
    }

    // --- from the engine ---

    @Override
    public void onAttached(boolean newProcess, double startedMillisAgo) {
        engineRecovery.attached(newProcess, startedMillisAgo);
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
     * Begins draining on a shutdown notice: everything that was read is answered by {@code
     * shutdownAtMillis}. A second notice changes nothing.
     *
     * @param noticedAtMillis when the notice came, in Unix ms. It counts instead of the time of
     *     this call, because it determines what may still run
     */
    public void beginDraining(double noticedAtMillis, double shutdownAtMillis) {
        if (shutdown.begin(noticedAtMillis, shutdownAtMillis)) {
            health.update();
        }
    }

    /**
     * Records that another process has taken over. This process is about to end, and no longer
     * reports the gateway's health.
     */
    public void markReplaced() {
        health.markReplaced();
    }

    /** Sets whether an older process of this gateway may still run. */
    public void setTakingOver(boolean takingOver) {
        health.setTakingOver(takingOver);
    }

    /** Records that clients can connect to this process from now on. */
    public void markListening() {
        health.markListening();
    }

    /**
     * Returns whether this process serves, and will go on serving. It is false until clients can
     * connect to this process, because a caller that gets true may end the process that served
     * until then.
     */
    public boolean ready() {
        return health.isReady();
    }

    /**
     * Takes the gateway out of the service registry until {@link #rejoin}, by reporting bad health.
     * Requests that still arrive are served as before. The controller is not notified, because
     * draining, as the controller knows it, has an end.
     */
    public void evacuate() {
        health.evacuate();
    }

    /** Returns whether {@link #rejoin} would end an evacuation: the gateway is not draining. */
    public boolean canRejoin() {
        return health.canRejoin();
    }

    /** Ends an evacuation; returns false if the gateway is draining. */
    public boolean rejoin() {
        return health.rejoin();
    }

    // --- changes of classes and tenants ---

    /**
     * Applies a later version of the catalog, given with its difference from the version before. It
     * comes into force at a single instant, a little later. {@code completion} receives whether it
     * did; if the controller failed, it did not, and the catalog in force stays. Draining does not
     * prevent a change. A version that is not in force when the process ends is dropped.
     */
    public void applyChange(Catalog next, CatalogDelta delta, Consumer<Boolean> completion) {
        catalogActivation.apply(next, delta, completion);
    }

    /** Records that a later version was rejected, and why. The catalog in force stays. */
    public void changeRejected(String reason) {
        catalogActivation.reject(reason);
    }

    /**
     * Sets the number of later versions that are known and that {@link #applyChange} was not called
     * for yet.
     */
    public void setUnappliedChanges(int versions) {
        catalogActivation.setUnappliedChanges(versions);
    }

    /** Returns the catalog in force, with all classes and tenants. */
    public Catalog catalog() {
        return activeCatalog.catalog();
    }

    /** Returns when the catalog came into force, in Unix ms. */
    public double catalogSinceMillis() {
        return activeCatalog.activatedAtMillis();
    }

    /** Returns how many later versions are known that are not in force yet. */
    public int pendingCatalogs() {
        return catalogActivation.pendingVersions();
    }

    /** Returns the longest time, in ms, that the last change made other events wait. */
    public double longestSliceMillis() {
        return catalogActivation.longestSliceMillis();
    }

    /** Returns why a later version was last rejected, or null if none was. */
    public String lastRejection() {
        return catalogActivation.lastRejectionReason();
    }

    /** Returns when a later version was last rejected, in Unix ms. */
    public double rejectedAtMillis() {
        return catalogActivation.rejectedAtMillis();
    }

    // --- state ---

    /** Returns the current time, in Unix ms. */
    public double nowMillis() {
        return clock.nowMillis();
    }

    /**
     * Returns a time, in Unix ms, at which this process was working and before which no event can
     * have been left unread. Any thread may call this. It bounds when a shutdown notice came,
     * because a notice that comes while the whole process is stalled is seen later than it came.
     * The result is the older of the last two such times, as the latest may lie between the end of
     * the stall and the notice.
     */
    public double lastSeenAliveMillis() {
        return guard.lastSeenAliveMillis();
    }

    /** Returns the load level that every answer and health check carries; NaN for none. */
    public double loadLevel() {
        return health.loadLevel();
    }

    /** Returns the health that health checks report. */
    public boolean healthy() {
        return health.isHealthy();
    }

    /** Returns whether operators evacuated the gateway. */
    public boolean evacuated() {
        return health.isEvacuated();
    }

    /** Returns whether every request that was read has been answered. */
    public boolean allAnswered() {
        return inFlight() == 0;
    }

    /** Returns how many requests were read and have no answer yet. */
    public int inFlight() {
        return requests.unanswered();
    }

    /** Returns whether a keyed request was sent to run and its run has not ended. */
    public boolean hasKeyedRun() {
        return requests.all().stream()
                .anyMatch(
                        request ->
                                request.idempotencyKey != null
                                        && request.progress == Progress.SENT);
    }

    /** Returns the table of the requests in flight, so that tests can check its counts. */
    RequestTable requestTable() {
        return requests;
    }

    /** Returns the table of the retained keys and results, for the same tests. */
    IdempotencyTable idempotencyTable() {
        return idempotency;
    }

    /** Returns the counts of answers and runs since the process started. */
    public GatewayMetrics metrics() {
        return metrics;
    }

    /** Returns how far the recovery of this incarnation has come. */
    public RecoveryPhaseTracker recoveryPhase() {
        return warmStart.recoveryPhase();
    }

    /** Returns the state of earlier incarnations and its origin. */
    public RestoredState restoredState() {
        return warmStart.restoredState();
    }

    /** Returns the values of earlier incarnations that this one started with, by name. */
    public Map<String, RestoredState.RestoredValue> restoredValues() {
        return warmStart.restoredValues();
    }

    /** Returns what this incarnation has learned, by name; empty before the engine was attached. */
    public Map<String, Controller.Estimate> learnedEstimates() {
        return warmStart.learnedEstimates();
    }

    /** Returns the ids that were or may have been executed, with their deadlines in Unix ms. */
    public Map<String, Double> executedIds() {
        return requests.executedIds();
    }
}
