package tinroad.simulation;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.helpers.NOPLogger;
import tinroad.config.Site;
import tinroad.core.Gateway;
import tinroad.core.IncomingRequest;
import tinroad.discovery.LoadReporter;
import tinroad.lab.fake.ClientProxyModel;
import tinroad.lab.schedule.Draw;
import tinroad.lab.script.Script;
import tinroad.lab.verification.RunHistory;
import tinroad.overload.Controller.Estimate;
import tinroad.overload.OverloadController;
import tinroad.recovery.JitteredInterval;
import tinroad.recovery.StateRestorer;
import tinroad.state.Snapshot;
import tinroad.state.SnapshotReadResult;
import tinroad.state.SnapshotSelector;

/**
 * Models one gateway over all of its incarnations, with the program's own components on virtual
 * time.
 */
final class ModelGateway {
    /** Settings of the stored state, as in lab/operator/state.conf. */
    private static final double SAVE_PERIOD_MILLIS = 500;

    private static final double MAX_STATE_AGE_MILLIS = 600_000;
    private static final double HALF_LIFE_MILLIS = 300_000;

    /** Part of the shutdown grace period that is reserved for the end of the process. */
    private static final double EXIT_MARGIN_MILLIS = 200;

    private final FleetModel model;
    private final int number;
    private final ModelEngine engine;
    private final Site warmSite;
    private final Site coldSite;
    private final Set<ClientProxyModel.TryListener> openRequests = new LinkedHashSet<>();
    private Gateway gateway;
    private StateRestorer stateRestorer;

    /** The last saved snapshot, or null. */
    private Snapshot storedSnapshot;

    /** The snapshot that was stored at the last restart that retained the state, or null. */
    private Snapshot olderSnapshot;

    private RunHistory.GatewayIncarnation incarnation;
    private boolean lastReportedHealthy;
    private boolean leaving;

    ModelGateway(FleetModel model, int number, ModelEngine engine, Site warmSite, Site coldSite) {
        this.model = model;
        this.number = number;
        this.engine = engine;
        this.warmSite = warmSite;
        this.coldSite = coldSite;
    }

    /** Retains, loses or replaces the stored snapshot while the process is down. */
    void applyRetention(Script.StateRetention retention) {
        switch (retention) {
            case KEEP -> olderSnapshot = storedSnapshot;
            case LOSE -> storedSnapshot = null;
            case OLD -> storedSnapshot = olderSnapshot;
        }
    }

    /**
     * Starts a new incarnation, which listens at once. Its number comes from outside the stored
     * state, as from a fence, so that an outdated snapshot is recognized.
     */
    void start(boolean justStarted) {
        incarnation = model.history().addIncarnation(number);
        model.context().lives(number, incarnation.number);
        long seed =
                Draw.stream(model.schedule().seed(), "gateway " + number + " " + incarnation.number)
                        .nextLong();
        RunHistory.GatewayIncarnation ownIncarnation = incarnation;
        lastReportedHealthy = false;
        leaving = false;
        gateway =
                new Gateway(
                        justStarted ? coldSite : warmSite,
                        seed,
                        () -> FleetModel.LOAD_START_UNIX_MILLIS + model.nowMillis(),
                        (ms, task) ->
                                model.runAt(
                                        model.nowMillis() + ms,
                                        () -> {
                                            // The timers of a process end with the process.
                                            if (incarnation == ownIncarnation && gateway != null) {
                                                task.run();
                                            }
                                        }),
                        engine,
                        OverloadController::new,
                        NOPLogger.NOP_LOGGER);
        if (model.restoresState()) {
            double unixMillis = FleetModel.LOAD_START_UNIX_MILLIS + model.nowMillis();
            SnapshotSelector.Decision decision =
                    SnapshotSelector.select(
                            storedSnapshot == null
                                    ? List.of()
                                    : List.of(
                                            new SnapshotSelector.Candidate(
                                                    "state",
                                                    new SnapshotReadResult.Usable(storedSnapshot))),
                            "g" + number,
                            unixMillis,
                            MAX_STATE_AGE_MILLIS,
                            incarnation.number,
                            incarnation.number);
            stateRestorer =
                    new StateRestorer(
                            "g" + number,
                            decision,
                            incarnation.number + 1,
                            MAX_STATE_AGE_MILLIS,
                            HALF_LIFE_MILLIS);
            gateway.restoreFrom(stateRestorer);
            savePeriodically(ownIncarnation);
        }
        gateway.onHealth(
                healthy -> {
                    lastReportedHealthy = healthy;
                    model.reportHealth(number, healthy);
                });
        gateway.markListening();
        engine.attach(gateway);
        reportPeriodically(ownIncarnation, LoadReporter.reportInterval("g" + number, seed));
    }

    private void savePeriodically(RunHistory.GatewayIncarnation ownIncarnation) {
        if (incarnation == ownIncarnation && gateway != null) {
            Map<String, Estimate> values = gateway.learnedEstimates();
            if (!values.isEmpty()) {
                storedSnapshot =
                        stateRestorer.toSnapshot(
                                gateway.nowMillis(),
                                values,
                                gateway.executedIds(),
                                gateway.evacuated(),
                                gateway.catalog().epoch(),
                                gateway.catalog().number());
            }
            model.runAt(
                    model.nowMillis() + SAVE_PERIOD_MILLIS, () -> savePeriodically(ownIncarnation));
        }
    }

    private void reportPeriodically(
            RunHistory.GatewayIncarnation ownIncarnation, JitteredInterval interval) {
        if (incarnation == ownIncarnation && gateway != null) {
            model.reportHealth(number, lastReportedHealthy);
            model.runAt(
                    model.nowMillis() + interval.nextMillis(),
                    () -> reportPeriodically(ownIncarnation, interval));
        }
    }

    RunHistory.GatewayIncarnation incarnation() {
        return incarnation;
    }

    /**
     * Marks that this incarnation is about to end by a kill or a shutdown notice. Returns false if
     * the gateway is not running or is already marked.
     */
    boolean beginLeaving() {
        boolean firstTime = gateway != null && !leaving;
        leaving |= firstTime;
        return firstTime;
    }

    boolean isListening() {
        return gateway != null;
    }

    /** Whether a request has not been answered yet. */
    boolean hasOpenRequests() {
        return !openRequests.isEmpty();
    }

    boolean healthy() {
        return gateway != null && gateway.healthy();
    }

    void handle(IncomingRequest in, ClientProxyModel.TryListener listener) {
        if (gateway == null) {
            listener.lost(true, model.nowMillis());
            return;
        }
        openRequests.add(listener);
        RunHistory.GatewayIncarnation ownIncarnation = incarnation;
        gateway.handle(
                in,
                response -> {
                    if (incarnation == ownIncarnation && openRequests.remove(listener)) {
                        model.sendResponse(response, listener);
                    }
                });
    }

    void sendShutdownNotice(double graceMillis) {
        incarnation.noticedAt = model.nowMillis();
        double noticedAt = FleetModel.LOAD_START_UNIX_MILLIS + model.nowMillis();
        gateway.beginDraining(noticedAt, noticedAt + graceMillis - EXIT_MARGIN_MILLIS);
    }

    /** Ends the process; callers that wait for a response lose their connection. */
    void terminate() {
        incarnation.endedAt = model.nowMillis();
        incarnation.exit = 0;
        gateway = null;
        engine.attach(null);
        List<ClientProxyModel.TryListener> lostListeners = List.copyOf(openRequests);
        openRequests.clear();
        lostListeners.forEach(listener -> listener.lost(true, model.nowMillis()));
    }
}
