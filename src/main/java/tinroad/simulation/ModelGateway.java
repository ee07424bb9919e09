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

/** One gateway of the model, life after life: the program's own parts on the model's time. */
final class ModelGateway {
    /** Of what lasts, in ms: as in lab/operator/state.conf. */
    private static final double SAVES = 500;

    private static final double OLDEST = 600_000;
    private static final double HALF_LIFE = 300_000;

    /** What the process keeps of its time to leave for its end, in ms. */
    private static final double EXIT_MARGIN = 200;

    private final FleetModel model;
    private final int number;
    private final ModelEngine engine;
    private final Site warm;
    private final Site cold;
    private final Set<ClientProxyModel.TryListener> open = new LinkedHashSet<>();
    private Gateway gateway;
    private StateRestorer remembrance;

    /** What is in the folder of state, and what was kept of it the time before. */
    private Snapshot folder;

    private Snapshot older;
    private RunHistory.GatewayIncarnation life;
    private boolean good;
    private boolean leaving;

    ModelGateway(FleetModel model, int number, ModelEngine engine, Site warm, Site cold) {
        this.model = model;
        this.number = number;
        this.engine = engine;
        this.warm = warm;
        this.cold = cold;
    }

    /** What became of the folder while the process was gone. */
    void folder(Script.StateRetention what) {
        switch (what) {
            case KEEP -> older = folder;
            case LOSE -> folder = null;
            case OLD -> folder = older;
        }
    }

    /** Another life begins, and listens at once. */
    void begin(boolean justStarted) {
        life = model.ledger().addIncarnation(number);
        model.world().lives(number, life.number);
        long seed =
                Draw.stream(model.plan().seed(), "gateway " + number + " " + life.number)
                        .nextLong();
        RunHistory.GatewayIncarnation mine = life;
        good = false;
        leaving = false;
        gateway =
                new Gateway(
                        justStarted ? cold : warm,
                        seed,
                        () -> FleetModel.ZERO + model.now(),
                        (ms, task) ->
                                model.at(
                                        model.now() + ms,
                                        () -> {
                                            // The timers of a process end with it.
                                            if (life == mine && gateway != null) {
                                                task.run();
                                            }
                                        }),
                        engine,
                        OverloadController::new,
                        NOPLogger.NOP_LOGGER);
        if (model.remembers()) {
            double unix = FleetModel.ZERO + model.now();
            // The number of a life is told from elsewhere, as by a fence: an older folder is then
            // known for what it is.
            SnapshotSelector.Decision d =
                    SnapshotSelector.select(
                            folder == null
                                    ? List.of()
                                    : List.of(
                                            new SnapshotSelector.Candidate(
                                                    "state",
                                                    new SnapshotReadResult.Usable(folder))),
                            "g" + number,
                            unix,
                            OLDEST,
                            life.number,
                            life.number);
            remembrance = new StateRestorer("g" + number, d, life.number + 1, OLDEST, HALF_LIFE);
            gateway.restoreFrom(remembrance);
            save(mine);
        }
        gateway.onHealth(
                healthy -> {
                    good = healthy;
                    model.reports(number, healthy);
                });
        gateway.markListening();
        engine.attach(gateway);
        report(mine, LoadReporter.reportInterval("g" + number, seed));
    }

    private void save(RunHistory.GatewayIncarnation mine) {
        if (life == mine && gateway != null) {
            Map<String, Estimate> values = gateway.learnedEstimates();
            if (!values.isEmpty()) {
                folder =
                        remembrance.toSnapshot(
                                gateway.nowMillis(),
                                values,
                                gateway.executedIds(),
                                gateway.evacuated(),
                                gateway.catalog().epoch(),
                                gateway.catalog().number());
            }
            model.at(model.now() + SAVES, () -> save(mine));
        }
    }

    private void report(RunHistory.GatewayIncarnation mine, JitteredInterval pace) {
        if (life == mine && gateway != null) {
            model.reports(number, good);
            model.at(model.now() + pace.nextMillis(), () -> report(mine, pace));
        }
    }

    RunHistory.GatewayIncarnation life() {
        return life;
    }

    /**
     * It is told to leave, or killed, and another life is to come; false where that is so already.
     */
    boolean leaves() {
        boolean first = gateway != null && !leaving;
        leaving |= first;
        return first;
    }

    boolean listens() {
        return gateway != null;
    }

    /** Whether a caller waits for an answer. */
    boolean owes() {
        return !open.isEmpty();
    }

    boolean healthy() {
        return gateway != null && gateway.healthy();
    }

    void request(IncomingRequest in, ClientProxyModel.TryListener told) {
        if (gateway == null) {
            told.lost(true, model.now());
            return;
        }
        open.add(told);
        RunHistory.GatewayIncarnation mine = life;
        gateway.handle(
                in,
                answer -> {
                    if (life == mine && open.remove(told)) {
                        model.answer(answer, told);
                    }
                });
    }

    void notice(double stop) {
        life.noticedAt = model.now();
        double noticedAt = FleetModel.ZERO + model.now();
        gateway.beginDraining(noticedAt, noticedAt + stop - EXIT_MARGIN);
    }

    /** The process ends: whoever waited for it loses its connection. */
    void end() {
        life.endedAt = model.now();
        life.exit = 0;
        gateway = null;
        engine.attach(null);
        List<ClientProxyModel.TryListener> lost = List.copyOf(open);
        open.clear();
        lost.forEach(told -> told.lost(true, model.now()));
    }
}
