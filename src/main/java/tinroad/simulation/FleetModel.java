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
 * Simulates a fleet of whole gateways on virtual time, in one thread. The gateways use the
 * program's own request table, overload controller and recovery; engines, client proxies and the
 * service registry are the lab's models. There are no processes, sockets or links, so only the lab
 * can inject faults in those. The same schedule gives the same run, byte for byte. Times are in ms
 * from the start of the load.
 */
public final class FleetModel {
    /** Unix time of the start of the load in every run. */
    static final double LOAD_START_UNIX_MILLIS = 1.8e12;

    private static final double STEP_MILLIS = 1;

    /** Network delay between two machines, in one direction. */
    static final double NETWORK_DELAY_MILLIS = 0.2;

    /**
     * Bounds of the time from the start of a process until it listens, as lab/start-cost.sh
     * measures it.
     */
    private static final double MIN_START_MILLIS = 1000;

    private static final double MAX_START_MILLIS = 1200;

    /** How long before the load the gateways start. */
    private static final double START_BEFORE_LOAD_MILLIS = 1000;

    private final Schedule schedule;
    private final boolean restoresState;
    private final Script script;
    private final RunHistory history;
    private final EventQueue events = new EventQueue();
    private final LabContext context;
    private final List<ModelEngine> engines = new ArrayList<>();
    private final List<ModelGateway> gateways = new ArrayList<>();
    private final List<ClientProxyModel> proxies = new ArrayList<>();
    private final FakeRegistry registry;
    private final UniformRandomProvider startDelayRandom;
    private double nowMillis = -START_BEFORE_LOAD_MILLIS;

    /**
     * Creates a fleet for this schedule.
     *
     * @param restoresState whether gateways restore their learned state after a restart
     * @throws IllegalArgumentException if the schedule has a fault that needs links or processes
     */
    public FleetModel(Schedule schedule, boolean restoresState) throws IOException {
        this.schedule = schedule;
        this.restoresState = restoresState;
        script = schedule.script();
        for (FaultEvent event : schedule.faultEvents()) {
            FaultAction action = event.fault().action();
            if (action.toLinks()
                    || action == FaultAction.STOP
                    || action == FaultAction.ENGINE_MOVE) {
                throw new IllegalArgumentException(
                        "the model has no links and no processes: it can't play "
                                + action.name().toLowerCase(Locale.ROOT).replace('_', '-'));
            }
        }
        history = new RunHistory(schedule);
        context = new LabContext(null, history, events, LabContext.Mutant.NONE, () -> nowMillis);
        context.begins(LOAD_START_UNIX_MILLIS);
        startDelayRandom = Draw.stream(schedule.seed(), "starts");
        Site warmSite = site(false);
        Site coldSite = site(true);
        for (int g = 0; g < script.fleet().gateways(); g++) {
            ModelEngine engine = new ModelEngine(this, g);
            engines.add(engine);
            gateways.add(new ModelGateway(this, g, engine, warmSite, coldSite));
        }
        for (int p = 0; p < script.callers().proxies(); p++) {
            proxies.add(new ClientProxyModel(context, p, this::send));
        }
        registry = new FakeRegistry(context, proxies);
    }

    private Site site(boolean cold) throws IOException {
        try (JsonParser in = new JsonFactory().createParser(PlatformSettings.text(script, cold))) {
            in.nextToken();
            return SiteReader.read(in);
        }
    }

    Schedule schedule() {
        return schedule;
    }

    boolean restoresState() {
        return restoresState;
    }

    RunHistory history() {
        return history;
    }

    LabContext context() {
        return context;
    }

    double nowMillis() {
        return nowMillis;
    }

    void runAt(double timeMillis, Runnable task) {
        events.at(timeMillis, task);
    }

    void reportHealth(int gateway, boolean healthy) {
        registry.heard(gateway, healthy);
    }

    /** Runs the schedule to its end and returns what happened. */
    public Lab.RunOutcome play() {
        gateways.forEach(g -> g.start(false));
        events.at(
                0,
                () -> {
                    registry.allUp();
                    registry.begin();
                });
        scheduleHealthChecks();
        script.load().jumps().forEach(j -> events.at(j.at() + j.length(), this::recordFaultEnd));
        schedule.requests()
                .forEach(
                        request ->
                                events.at(
                                        request.at(),
                                        () -> proxies.get(request.proxy()).submit(request)));
        schedule.faultEvents().forEach(event -> events.at(event.at(), () -> startFault(event)));
        double maxTimeoutMillis =
                script.classes().stream().mapToDouble(RequestClass::deadline).max().orElse(0)
                        * Math.max(1, script.callers().totalTimeoutFactor());
        double endMillis = script.length() + maxTimeoutMillis + 500;
        while (nowMillis < script.length()
                || (nowMillis < endMillis && proxies.stream().anyMatch(p -> p.waiting() > 0))) {
            step();
        }
        // The callers may have given up, but every request that was sent must still be answered.
        step();
        for (double answersDueBy = nowMillis + maxTimeoutMillis + HistoryChecker.SLACK;
                nowMillis < answersDueBy
                        && gateways.stream().anyMatch(ModelGateway::hasOpenRequests); ) {
            step();
        }
        step();
        engines.forEach(ModelEngine::recordWorkDone);
        return new Lab.RunOutcome(history, 0, 1);
    }

    private void step() {
        nowMillis += STEP_MILLIS;
        engines.forEach(ModelEngine::advance);
        events.run(nowMillis);
    }

    // --- callers ---

    private boolean send(
            PlannedRequest request,
            Try t,
            RequestClass requestClass,
            ClientProxyModel.TryListener listener) {
        ModelGateway g = gateways.get(t.gateway);
        if (!g.isListening()) {
            events.at(nowMillis + 2 * NETWORK_DELAY_MILLIS, () -> listener.lost(false, nowMillis));
            return true;
        }
        listener.sent();
        engines.get(t.gateway).addWork(script.engine().read() * requestClass.work());
        IncomingRequest in =
                new IncomingRequest(
                        t.id,
                        LOAD_START_UNIX_MILLIS + nowMillis,
                        requestClass.name(),
                        "m" + request.member(),
                        t.proxy,
                        request.memoryKb(),
                        Math.min(0.9999, request.rank()),
                        requestClass.free()
                                ? String.format(Locale.ROOT, "%016x", request.subject())
                                : null,
                        Unpooled.EMPTY_BUFFER);
        events.at(nowMillis + NETWORK_DELAY_MILLIS, () -> g.handle(in, listener));
        return true;
    }

    /** Delivers a gateway's response to the caller after the network delay. */
    void sendResponse(Response response, ClientProxyModel.TryListener listener) {
        Try.Outcome outcome =
                switch (response.kind()) {
                    case SERVED -> Try.Outcome.SERVED;
                    case REJECTED -> Try.Outcome.REFUSED;
                    case FAILED, INVALID -> Try.Outcome.FAILED;
                };
        String result =
                outcome == Try.Outcome.SERVED
                        ? response.result().toString(StandardCharsets.ISO_8859_1)
                        : null;
        events.at(
                nowMillis + NETWORK_DELAY_MILLIS,
                () ->
                        listener.answered(
                                outcome,
                                response.kind().name().toLowerCase(Locale.ROOT),
                                result,
                                response.retryAfterMillis(),
                                response.doNotRetry()));
    }

    private void scheduleHealthChecks() {
        double periodMillis = script.callers().healthCheckPeriodMillis();
        for (int p = 0; p < proxies.size() && periodMillis > 0; p++) {
            UniformRandomProvider random = Draw.stream(schedule.seed(), "checks " + p);
            for (int g = 0; g < gateways.size(); g++) {
                int proxy = p;
                int gateway = g;
                events.at(
                        random.nextDouble() * periodMillis,
                        () -> checkHealth(proxy, gateway, periodMillis));
            }
        }
    }

    private void checkHealth(int proxy, int gateway, double periodMillis) {
        events.at(nowMillis + periodMillis, () -> checkHealth(proxy, gateway, periodMillis));
        boolean listening = gateways.get(gateway).isListening();
        if (listening) {
            history.count(RunHistory.Counter.CHECKS, gateway, nowMillis);
            engines.get(gateway).addWork(script.engine().check());
        }
        boolean healthy = listening && gateways.get(gateway).healthy();
        events.at(
                nowMillis + 2 * NETWORK_DELAY_MILLIS,
                () -> proxies.get(proxy).checked(gateway, healthy));
    }

    // --- faults ---

    private void startFault(FaultEvent event) {
        if (event.gateway() < 0) {
            registry.down(true);
            events.at(
                    event.until(),
                    () -> {
                        registry.down(false);
                        recordFaultEnd();
                    });
            return;
        }
        ModelGateway g = gateways.get(event.gateway());
        ModelEngine engine = engines.get(event.gateway());
        if (event.fault().action().ends() && !g.beginLeaving()) {
            return;
        }
        switch (event.fault().action()) {
            case KILL, KILL_GATEWAY -> {
                g.incarnation().endedByScript = true;
                if (event.fault().action() == FaultAction.KILL) {
                    engine.crash();
                }
                g.terminate();
                history.excusedIntervals.add(
                        new ExcusedInterval(event.gateway(), nowMillis, nowMillis + 50));
                scheduleRestart(g, engine, event);
            }
            case NOTICE -> {
                g.incarnation().endedByScript = true;
                g.sendShutdownNotice(script.fleet().shutdownGraceMillis());
                events.at(
                        nowMillis + script.fleet().shutdownGraceMillis(),
                        () -> {
                            g.terminate();
                            engine.crash();
                            scheduleRestart(g, engine, event);
                        });
            }
            case ENGINE_CRASH -> {
                engine.crash();
                events.at(event.until(), () -> engine.start(true));
            }
            case ENGINE_PAUSE -> applyUntilEnd(event, engine::setPaused);
            case ENGINE_SICK -> applyUntilEnd(event, engine::setSick);
            case ENGINE_SLOW ->
                    applyUntilEnd(
                            event, on -> engine.setSpeedFactor(on ? event.fault().factor() : 1));
            default -> throw new IllegalStateException(event.fault().action().name());
        }
        if (!event.fault().action().ends()) {
            events.at(Math.max(event.at(), event.until()), this::recordFaultEnd);
        }
    }

    private void applyUntilEnd(FaultEvent event, Consumer<Boolean> setter) {
        setter.accept(true);
        events.at(event.until(), () -> setter.accept(false));
    }

    private void scheduleRestart(ModelGateway g, ModelEngine engine, FaultEvent event) {
        events.at(
                nowMillis + event.awayMillis(),
                () -> {
                    recordFaultEnd();
                    g.applyRetention(event.fault().folder());
                    events.at(
                            nowMillis
                                    + MIN_START_MILLIS
                                    + (MAX_START_MILLIS - MIN_START_MILLIS)
                                            * startDelayRandom.nextDouble(),
                            () -> g.start(true));
                    if (!engine.isUp()) {
                        events.at(
                                nowMillis + RecoveryBound.ENGINE_AFTER,
                                () -> {
                                    engine.start(true);
                                    registry.engineUp(event.gateway());
                                });
                    }
                });
    }

    private void recordFaultEnd() {
        history.faultEnd =
                Double.isNaN(history.faultEnd) ? nowMillis : Math.max(nowMillis, history.faultEnd);
    }
}
