package tinroad.simulation;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import tinroad.core.Engine;
import tinroad.core.Progress;
import tinroad.lab.fake.CoreModel;
import tinroad.lab.fake.FakeEngine;
import tinroad.lab.schedule.PlannedRequest;
import tinroad.lab.script.Script;
import tinroad.lab.verification.RunHistory;
import tinroad.lab.verification.Try;
import tinroad.overload.Controller.Gauges;

/**
 * Models an engine: simulated cores that a gateway reaches over a link. The link exists while both
 * the engine and the gateway run.
 */
final class ModelEngine implements Engine {
    private record Running(Try t, double startMillis, boolean sick, Listener listener) {}

    private final FleetModel model;
    private final int gateway;
    private final Map<String, Running> running = new HashMap<>();
    private CoreModel cores;
    private Listener listener;
    private double upSinceMillis;
    private boolean up;
    private boolean fresh;
    private boolean paused;
    private boolean sick;

    ModelEngine(FleetModel model, int gateway) {
        this.model = model;
        this.gateway = gateway;
        start(false);
    }

    void start(boolean cold) {
        Script script = model.schedule().script();
        double speed = script.fleet().speeds().get(gateway % script.fleet().speeds().size());
        cores =
                new CoreModel(
                        script.engine(), script.fleet().cores(), speed, model.nowMillis(), cold);
        upSinceMillis = cold ? model.nowMillis() : model.nowMillis() - FakeEngine.UP_BEFORE;
        fresh = cold;
        up = true;
        if (listener != null) {
            notifyAttached();
        }
    }

    /** Attaches a process of the gateway; null says that the attached process has ended. */
    void attach(Listener newListener) {
        listener = newListener;
        if (newListener != null && up) {
            notifyAttached();
        }
    }

    private void notifyAttached() {
        Listener receiver = listener;
        model.runAt(
                model.nowMillis() + 2 * FleetModel.NETWORK_DELAY_MILLIS,
                () -> {
                    if (up && listener == receiver) {
                        receiver.onAttached(fresh, model.nowMillis() - upSinceMillis);
                        receiver.onCaughtUp();
                    }
                });
    }

    void crash() {
        if (up) {
            model.history().engineWork += cores.done();
        }
        up = false;
        paused = false;
        running.clear();
        cores.clear();
        if (listener != null) {
            listener.onDetached();
        }
    }

    void setPaused(boolean on) {
        paused = on;
        cores.pause(on);
    }

    void setSick(boolean on) {
        sick = on;
    }

    void setSpeedFactor(double factor) {
        cores.slow(factor);
    }

    boolean isUp() {
        return up;
    }

    /** Adds the work that the cores have done to the run's history. */
    void recordWorkDone() {
        if (up) {
            model.history().engineWork += cores.done();
        }
    }

    void addWork(double work) {
        if (up && work > 0) {
            cores.read(work);
        }
    }

    /** Advances the cores to the current time and reports the runs that ended. */
    void advance() {
        if (!up) {
            return;
        }
        for (String id : cores.advance(model.nowMillis())) {
            Running run = running.remove(id);
            // Runs that an earlier gateway process requested also end, but are not reported.
            if (run != null && run.listener == listener) {
                reportRunEnd(id, run);
            }
        }
    }

    private void reportRunEnd(String id, Running run) {
        double durationMillis = model.nowMillis() - run.startMillis;
        run.t.result = run.sick ? null : "result of " + id + " at " + gateway;
        model.runAt(
                model.nowMillis() + FleetModel.NETWORK_DELAY_MILLIS,
                () -> {
                    if (listener == run.listener) {
                        listener.onRunEnded(
                                id,
                                run.sick ? RunOutcome.CRASHED : RunOutcome.DONE,
                                durationMillis,
                                run.sick
                                        ? Unpooled.EMPTY_BUFFER
                                        : Unpooled.copiedBuffer(
                                                run.t.result, StandardCharsets.ISO_8859_1));
                    }
                });
    }

    @Override
    public Progress run(String id, String kind, ByteBuf body) {
        if (!up) {
            return Progress.NOT_SENT;
        }
        Try t = model.context().byId(id);
        if (running.containsKey(id)) {
            return Progress.SENT;
        }
        if (t.runs > 0) {
            Listener receiver = listener;
            model.runAt(
                    model.nowMillis() + 2 * FleetModel.NETWORK_DELAY_MILLIS,
                    () -> receiver.onRunEnded(id, RunOutcome.STALE, 0, Unpooled.EMPTY_BUFFER));
            return Progress.SENT;
        }
        PlannedRequest request = model.schedule().requests().get(t.request);
        t.runs++;
        t.ranAt = model.nowMillis();
        model.history().count(RunHistory.Counter.RUNS, gateway, model.nowMillis());
        running.put(id, new Running(t, model.nowMillis(), sick, listener));
        cores.start(id, request.work() * (sick ? FakeEngine.SICK_PART : 1));
        return Progress.SENT;
    }

    @Override
    public boolean requestGauges(String tag) {
        if (!up || paused) {
            return up;
        }
        Listener receiver = listener;
        model.runAt(
                model.nowMillis() + 2 * FleetModel.NETWORK_DELAY_MILLIS,
                () ->
                        receiver.onGauges(
                                tag,
                                new Gauges(
                                        cores.use(),
                                        cores.present(),
                                        FakeEngine.memoryShare(running.size()),
                                        model.schedule().script().callers().proxies())));
        return true;
    }
}
