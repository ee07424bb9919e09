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

/** An engine of the model: the lab's cores behind a link that is there while both ends are. */
final class ModelEngine implements Engine {
    private record Running(Try t, double since, boolean sick, Listener listener) {}

    private final FleetModel model;
    private final int gateway;
    private final Map<String, Running> running = new HashMap<>();
    private CoreModel cores;
    private Listener listener;
    private double upSince;
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
        Script script = model.plan().script();
        double speed = script.fleet().speeds().get(gateway % script.fleet().speeds().size());
        cores = new CoreModel(script.engine(), script.fleet().cores(), speed, model.now(), cold);
        upSince = cold ? model.now() : model.now() - FakeEngine.UP_BEFORE;
        fresh = cold;
        up = true;
        if (listener != null) {
            hello();
        }
    }

    /** A process of the gateway attaches, or, null, is gone. */
    void attach(Listener to) {
        listener = to;
        if (to != null && up) {
            hello();
        }
    }

    private void hello() {
        Listener to = listener;
        model.at(
                model.now() + 2 * FleetModel.WAY,
                () -> {
                    if (up && listener == to) {
                        to.onAttached(fresh, model.now() - upSince);
                        to.onCaughtUp();
                    }
                });
    }

    void crash() {
        if (up) {
            model.ledger().engineWork += cores.done();
        }
        up = false;
        paused = false;
        running.clear();
        cores.clear();
        if (listener != null) {
            listener.onDetached();
        }
    }

    void pause(boolean on) {
        paused = on;
        cores.pause(on);
    }

    void sick(boolean on) {
        sick = on;
    }

    void slow(double factor) {
        cores.slow(factor);
    }

    boolean up() {
        return up;
    }

    void end() {
        if (up) {
            model.ledger().engineWork += cores.done();
        }
    }

    void takeIn(double work) {
        if (up && work > 0) {
            cores.read(work);
        }
    }

    /** Brings the cores to now, and tells what ended. */
    void advance() {
        if (!up) {
            return;
        }
        for (String id : cores.advance(model.now())) {
            Running run = running.remove(id);
            // What an earlier process ordered ends, too: nobody is told.
            if (run != null && run.listener == listener) {
                tell(id, run);
            }
        }
    }

    private void tell(String id, Running run) {
        double took = model.now() - run.since;
        run.t.result = run.sick ? null : "result of " + id + " at " + gateway;
        model.at(
                model.now() + FleetModel.WAY,
                () -> {
                    if (listener == run.listener) {
                        listener.onRunEnded(
                                id,
                                run.sick ? RunOutcome.CRASHED : RunOutcome.DONE,
                                took,
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
        Try t = model.world().byId(id);
        if (running.containsKey(id)) {
            return Progress.SENT;
        }
        if (t.runs > 0) {
            Listener to = listener;
            model.at(
                    model.now() + 2 * FleetModel.WAY,
                    () -> to.onRunEnded(id, RunOutcome.STALE, 0, Unpooled.EMPTY_BUFFER));
            return Progress.SENT;
        }
        PlannedRequest asked = model.plan().requests().get(t.request);
        t.runs++;
        t.ranAt = model.now();
        model.ledger().count(RunHistory.Counter.RUNS, gateway, model.now());
        running.put(id, new Running(t, model.now(), sick, listener));
        cores.start(id, asked.work() * (sick ? FakeEngine.SICK_PART : 1));
        return Progress.SENT;
    }

    @Override
    public boolean requestGauges(String tag) {
        if (!up || paused) {
            return up;
        }
        Listener to = listener;
        model.at(
                model.now() + 2 * FleetModel.WAY,
                () ->
                        to.onGauges(
                                tag,
                                new Gauges(
                                        cores.use(),
                                        cores.present(),
                                        FakeEngine.memoryShare(running.size()),
                                        model.plan().script().callers().proxies())));
        return true;
    }
}
