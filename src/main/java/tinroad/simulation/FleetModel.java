package tinroad.simulation;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import io.netty.buffer.Unpooled;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;
import tinroad.config.Site;
import tinroad.config.SiteReader;
import tinroad.core.IncomingRequest;
import tinroad.core.Response;
import tinroad.lab.Lab;
import tinroad.lab.PlatformSettings;
import tinroad.lab.fake.ClientProxyModel;
import tinroad.lab.fake.EventQueue;
import tinroad.lab.fake.FakeRegistry;
import tinroad.lab.fake.LabContext;
import tinroad.lab.schedule.Draw;
import tinroad.lab.schedule.FaultEvent;
import tinroad.lab.schedule.PlannedRequest;
import tinroad.lab.schedule.Schedule;
import tinroad.lab.script.Script;
import tinroad.lab.script.Script.FaultAction;
import tinroad.lab.script.Script.RequestClass;
import tinroad.lab.verification.HistoryChecker;
import tinroad.lab.verification.RecoveryBound;
import tinroad.lab.verification.RunHistory;
import tinroad.lab.verification.RunHistory.ExcusedInterval;
import tinroad.lab.verification.Try;

/**
 * A fleet of whole gateways on virtual time, in one thread: the program's own request table, module
 * and recovery, between the lab's models of engines, callers and roster. No process, socket or
 * link: those faults are the lab's. The same plan gives the same day to the byte. Times in ms from
 * the beginning of the load.
 */
public final class FleetModel {
    /** Unix time of the beginning of every day, in ms. */
    static final double ZERO = 1.8e12;

    private static final double STEP = 1;

    /** A way between two machines, one way. */
    static final double WAY = 0.2;

    /**
     * From the start of a process until it listens, at least and at most: what lab/start-cost.sh
     * measures.
     */
    private static final double START_LEAST = 1000;

    private static final double START_MOST = 1200;

    /** Before the load begins the gateways stand up. */
    private static final double BEFORE = 1000;

    private final Schedule plan;
    private final boolean remembers;
    private final Script script;
    private final RunHistory ledger;
    private final EventQueue agenda = new EventQueue();
    private final LabContext world;
    private final List<ModelEngine> engines = new ArrayList<>();
    private final List<ModelGateway> gateways = new ArrayList<>();
    private final List<ClientProxyModel> proxies = new ArrayList<>();
    private final FakeRegistry roster;
    private final UniformRandomProvider starts;
    private double now = -BEFORE;

    /**
     * A fleet that will live through this plan; refuses what needs links. {@code remembers}: state
     * lasts over restarts.
     */
    public FleetModel(Schedule plan, boolean remembers) throws IOException {
        this.plan = plan;
        this.remembers = remembers;
        script = plan.script();
        for (FaultEvent hit : plan.faultEvents()) {
            FaultAction deed = hit.fault().action();
            if (deed.toLinks() || deed == FaultAction.STOP || deed == FaultAction.ENGINE_MOVE) {
                throw new IllegalArgumentException(
                        "the model has no links and no processes: it can't play "
                                + deed.name().toLowerCase(Locale.ROOT).replace('_', '-'));
            }
        }
        ledger = new RunHistory(plan);
        world = new LabContext(null, ledger, agenda, LabContext.Mutant.NONE, () -> now);
        world.begins(ZERO);
        starts = Draw.stream(plan.seed(), "starts");
        Site warm = site(false);
        Site cold = site(true);
        for (int g = 0; g < script.fleet().gateways(); g++) {
            ModelEngine engine = new ModelEngine(this, g);
            engines.add(engine);
            gateways.add(new ModelGateway(this, g, engine, warm, cold));
        }
        for (int p = 0; p < script.callers().proxies(); p++) {
            proxies.add(new ClientProxyModel(world, p, this::carry));
        }
        roster = new FakeRegistry(world, proxies);
    }

    private Site site(boolean cold) throws IOException {
        try (JsonParser in = new JsonFactory().createParser(PlatformSettings.text(script, cold))) {
            in.nextToken();
            return SiteReader.read(in);
        }
    }

    Schedule plan() {
        return plan;
    }

    boolean remembers() {
        return remembers;
    }

    RunHistory ledger() {
        return ledger;
    }

    LabContext world() {
        return world;
    }

    double now() {
        return now;
    }

    void at(double time, Runnable task) {
        agenda.at(time, task);
    }

    void reports(int gateway, boolean good) {
        roster.heard(gateway, good);
    }

    /** Plays the day. */
    public Lab.RunOutcome play() {
        gateways.forEach(g -> g.begin(false));
        agenda.at(
                0,
                () -> {
                    roster.allUp();
                    roster.begin();
                });
        checks();
        script.load().jumps().forEach(j -> agenda.at(j.at() + j.length(), this::ended));
        plan.requests()
                .forEach(
                        asked ->
                                agenda.at(
                                        asked.at(),
                                        () -> proxies.get(asked.proxy()).submit(asked)));
        plan.faultEvents().forEach(hit -> agenda.at(hit.at(), () -> begin(hit)));
        double patience =
                script.classes().stream().mapToDouble(RequestClass::deadline).max().orElse(0)
                        * Math.max(1, script.callers().totalTimeoutFactor());
        double end = script.length() + patience + 500;
        while (now < script.length()
                || (now < end && proxies.stream().anyMatch(p -> p.waiting() > 0))) {
            step();
        }
        // Callers may have gone; what they sent, and what is on its way, is owed an answer all the
        // same.
        step();
        for (double last = now + patience + HistoryChecker.SLACK;
                now < last && gateways.stream().anyMatch(ModelGateway::owes); ) {
            step();
        }
        step();
        engines.forEach(ModelEngine::end);
        return new Lab.RunOutcome(ledger, 0, 1);
    }

    private void step() {
        now += STEP;
        engines.forEach(ModelEngine::advance);
        agenda.run(now);
    }

    // --- callers ---

    private boolean carry(
            PlannedRequest asked, Try t, RequestClass kind, ClientProxyModel.TryListener told) {
        ModelGateway g = gateways.get(t.gateway);
        if (!g.listens()) {
            agenda.at(now + 2 * WAY, () -> told.lost(false, now));
            return true;
        }
        told.sent();
        engines.get(t.gateway).takeIn(script.engine().read() * kind.work());
        IncomingRequest in =
                new IncomingRequest(
                        t.id,
                        ZERO + now,
                        kind.name(),
                        "m" + asked.member(),
                        t.proxy,
                        asked.memoryKb(),
                        Math.min(0.9999, asked.rank()),
                        kind.free() ? String.format(Locale.ROOT, "%016x", asked.subject()) : null,
                        Unpooled.EMPTY_BUFFER);
        agenda.at(now + WAY, () -> g.request(in, told));
        return true;
    }

    /** What an answer says to a caller, on its way back. */
    void answer(Response a, ClientProxyModel.TryListener told) {
        Try.Outcome end =
                switch (a.kind()) {
                    case SERVED -> Try.Outcome.SERVED;
                    case REJECTED -> Try.Outcome.REFUSED;
                    case FAILED, INVALID -> Try.Outcome.FAILED;
                };
        String served =
                end == Try.Outcome.SERVED ? a.result().toString(StandardCharsets.ISO_8859_1) : null;
        agenda.at(
                now + WAY,
                () ->
                        told.answered(
                                end,
                                a.kind().name().toLowerCase(Locale.ROOT),
                                served,
                                a.retryAfterMillis(),
                                a.doNotRetry()));
    }

    private void checks() {
        double period = script.callers().healthCheckPeriodMillis();
        for (int p = 0; p < proxies.size() && period > 0; p++) {
            UniformRandomProvider random = Draw.stream(plan.seed(), "checks " + p);
            for (int g = 0; g < gateways.size(); g++) {
                int proxy = p;
                int gateway = g;
                agenda.at(random.nextDouble() * period, () -> check(proxy, gateway, period));
            }
        }
    }

    private void check(int proxy, int gateway, double period) {
        agenda.at(now + period, () -> check(proxy, gateway, period));
        boolean there = gateways.get(gateway).listens();
        if (there) {
            ledger.count(RunHistory.Counter.CHECKS, gateway, now);
            engines.get(gateway).takeIn(script.engine().check());
        }
        boolean good = there && gateways.get(gateway).healthy();
        agenda.at(now + 2 * WAY, () -> proxies.get(proxy).checked(gateway, good));
    }

    // --- faults ---

    private void begin(FaultEvent hit) {
        if (hit.gateway() < 0) {
            roster.down(true);
            agenda.at(
                    hit.until(),
                    () -> {
                        roster.down(false);
                        ended();
                    });
            return;
        }
        ModelGateway g = gateways.get(hit.gateway());
        ModelEngine engine = engines.get(hit.gateway());
        if (hit.fault().action().ends() && !g.leaves()) {
            return;
        }
        switch (hit.fault().action()) {
            case KILL, KILL_GATEWAY -> {
                g.life().endedByScript = true;
                if (hit.fault().action() == FaultAction.KILL) {
                    engine.crash();
                }
                g.end();
                ledger.excusedIntervals.add(new ExcusedInterval(hit.gateway(), now, now + 50));
                restart(g, engine, hit);
            }
            case NOTICE -> {
                g.life().endedByScript = true;
                g.notice(script.fleet().shutdownGraceMillis());
                agenda.at(
                        now + script.fleet().shutdownGraceMillis(),
                        () -> {
                            g.end();
                            engine.crash();
                            restart(g, engine, hit);
                        });
            }
            case ENGINE_CRASH -> {
                engine.crash();
                agenda.at(hit.until(), () -> engine.start(true));
            }
            case ENGINE_PAUSE -> lasting(hit, engine::pause);
            case ENGINE_SICK -> lasting(hit, engine::sick);
            case ENGINE_SLOW -> lasting(hit, on -> engine.slow(on ? hit.fault().factor() : 1));
            default -> throw new IllegalStateException(hit.fault().action().name());
        }
        if (!hit.fault().action().ends()) {
            agenda.at(Math.max(hit.at(), hit.until()), this::ended);
        }
    }

    private void lasting(FaultEvent hit, Consumer<Boolean> set) {
        set.accept(true);
        agenda.at(hit.until(), () -> set.accept(false));
    }

    private void restart(ModelGateway g, ModelEngine engine, FaultEvent hit) {
        agenda.at(
                now + hit.awayMillis(),
                () -> {
                    ended();
                    g.folder(hit.fault().folder());
                    agenda.at(
                            now + START_LEAST + (START_MOST - START_LEAST) * starts.nextDouble(),
                            () -> g.begin(true));
                    if (!engine.up()) {
                        agenda.at(
                                now + RecoveryBound.ENGINE_AFTER,
                                () -> {
                                    engine.start(true);
                                    roster.engineUp(hit.gateway());
                                });
                    }
                });
    }

    private void ended() {
        ledger.faultEnd = Double.isNaN(ledger.faultEnd) ? now : Math.max(now, ledger.faultEnd);
    }
}
