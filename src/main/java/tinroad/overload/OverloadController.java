package tinroad.overload;

// The types, events and actions used here are in Controller.java, beside this file.

import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The overload controller of one server. It owns the table of active requests and passes each
 * event, in a fixed order, to the classes that make the decisions, one class for each decision. It
 * decides from the settings, given at the start and by changes, and from the events of this server
 * alone. Driven by one thread.
 */
public final class OverloadController implements Controller {
    /**
     * Period of the only repeating timer. Short enough to answer before a deadline within the
     * answer slack.
     */
    static final double TICK_MILLIS = 20;

    /** How often the idle timeout and the concurrency limit are adjusted. */
    private static final double SWEEP_MILLIS = 1000;

    /**
     * Time constant of each class's counts of requests and of answers in time: the counts decay to
     * 1/e in this time.
     */
    private static final double SERVED_SPAN_MILLIS = 20000;

    private final Actions actions;
    private final LearnedStatistics learned = new LearnedStatistics();

    /** The active requests by id, in order of arrival. */
    private final Map<String, ActiveRequest> requests = new LinkedHashMap<>();

    private double lastSweepAtMillis;

    // Created in start(), from the settings.
    private Settings settings;
    private ControllerClock clock;
    private ClassTable classes;
    private TenantTable tenants;
    private ArrivalStatistics arrivals;
    private CoreUsage cores;
    private ConcurrencyLimit limit;
    private MemoryBudget memory;
    private DrainPolicy draining;
    private RunTimeEstimator estimator;
    private HealthPolicy health;
    private RequestQueue queue;
    private Dispatcher dispatcher;
    private PriorityCutoff cutoff;
    private LoadAdvertisement advertisement;
    private ClientTimeoutEstimator clientTimeouts;
    private AdmissionControl admission;
    private RejectionPolicy rejection;
    private CancellationPolicy cancellation;
    private DependencyCalls calls;
    private IdleTimeoutControl idleTimeout;

    /** Creates a controller that acts through {@code actions}. */
    public OverloadController(Actions actions) {
        this.actions = actions;
    }

    @Override
    public void start(double nowMillis, long seed, Settings settings) {
        this.settings = settings;
        lastSweepAtMillis = nowMillis;
        clock = new ControllerClock(nowMillis);
        composeState();
        composeDecisions();
        actions.setHealth(true, true);
        idleTimeout.start();
        actions.scheduleTimer("tick", TICK_MILLIS);
    }

    /** Creates the state from which the decisions are made. */
    private void composeState() {
        classes =
                new ClassTable(
                        settings.classes(),
                        learned,
                        SERVED_SPAN_MILLIS,
                        RequestPriority::lag,
                        settings.weightByWork(),
                        clock.nowMillis());
        tenants = new TenantTable(settings.tenants(), ArrivalStatistics.RATE_SPAN_MILLIS);
        arrivals = new ArrivalStatistics(clock);
        cores = new CoreUsage(settings, clock);
        limit = new ConcurrencyLimit(settings, clock, cores);
        memory = new MemoryBudget(settings, actions);
        draining = new DrainPolicy(settings);
        estimator = new RunTimeEstimator(settings, clock, cores, classes, learned);
    }

    /** Creates the classes that make the decisions. */
    private void composeDecisions() {
        health =
                new HealthPolicy(
                        settings, actions, clock, cores, limit, estimator, arrivals, draining);
        TenantQuotas tenantQuotas = new TenantQuotas(settings, clock, tenants, arrivals);
        RequestPriority priority =
                new RequestPriority(settings, clock, classes, estimator, tenantQuotas);
        queue = new RequestQueue(priority, estimator);
        dispatcher = new Dispatcher(actions, queue, limit, cores, memory, health);
        cutoff = new PriorityCutoff(classes, cores);
        advertisement = new LoadAdvertisement(settings, actions, health, cutoff, limit);
        clientTimeouts = new ClientTimeoutEstimator(settings);
        admission =
                new AdmissionControl(
                        settings,
                        cores,
                        limit,
                        memory,
                        draining,
                        health,
                        tenantQuotas,
                        cutoff,
                        arrivals,
                        queue,
                        priority,
                        estimator);
        rejection =
                new RejectionPolicy(
                        settings, actions, clock, cores, classes, health, draining, queue,
                        arrivals);
        cancellation = new CancellationPolicy(settings, actions, cores, estimator);
        calls = new DependencyCalls(settings, actions, clock, cores, limit, estimator, draining);
        idleTimeout =
                new IdleTimeoutControl(
                        settings, actions, clock, cores, classes, learned, arrivals, queue,
                        draining);
    }

    /**
     * Returns the number of requests that are not over: queued, waiting for a result, running or
     * paused.
     */
    public int activeRequests() {
        return requests.size();
    }

    /** The active requests and the components that count them, for tests that compare the two. */
    record Tables(
            Collection<ActiveRequest> requests,
            RequestQueue queue,
            CoreUsage cores,
            MemoryBudget memory,
            DependencyCalls calls) {}

    Tables tables() {
        return new Tables(
                Collections.unmodifiableCollection(requests.values()), queue, cores, memory, calls);
    }

    @Override
    public Map<String, Estimate> learnedEstimates() {
        return learned.export(classes);
    }

    @Override
    public void restore(Map<String, Estimate> estimates, boolean cold) {
        learned.restore(
                estimates,
                cold ? Math.max(0.01, settings.operatingLimits().coldStartSpeedShare()) : 1,
                classes);
    }

    // --- changes of settings ---

    @Override
    public void stage(List<ClassSlot> changedClasses, List<TenantSlot> changedTenants) {
        classes.stage(changedClasses);
        tenants.stage(changedTenants);
    }

    @Override
    public void commit(double nowMillis) {
        advance(nowMillis);
        classes.commit();
        tenants.commit();
    }

    @Override
    public void discardStaged() {
        classes.discardStaged();
        tenants.discardStaged();
    }

    // --- requests ---

    @Override
    public void requestArrived(double nowMillis, Request request) {
        advance(nowMillis);
        RequestClass requestClass = classes.at(request.classSlot());
        if (requestClass == null) {
            // There is no class in this slot: the request is not counted and gets no Retry-After.
            actions.reject(request.id(), 0, false);
            return;
        }
        ClassStatistics statistics = classes.requestArrived(request.classSlot());
        ActiveRequest active =
                new ActiveRequest(
                        request,
                        requestClass,
                        statistics,
                        tenants.at(request.tenantSlot()),
                        nowMillis,
                        settings.requestsCarryDeadline(),
                        clientTimeouts.spentMillis(request, requestClass, statistics, nowMillis));
        requests.put(active.id, active);
        memory.requestArrived(active);
        tenants.add(active.tenantSlot, ArrivalStatistics.RATE_PER_ARRIVAL, nowMillis);
        idleTimeout.requestArrived(request.caller(), nowMillis);
        arrivals.arrived(active.retry, request.ageMillis(), requestClass.objectiveMillis());
        if (request.duplicateOf() != null
                && requestClass.idempotency() != Idempotency.NON_IDEMPOTENT) {
            join(active);
        } else if (!admission.admits(active, requestClass, nowMillis)) {
            reject(active);
        } else {
            memory.retainKey(active, requestClass, request, nowMillis);
            queue.add(active);
            dispatcher.dispatch();
        }
    }

    /**
     * A duplicate of a retained request never runs: it gets the result of the original, or fails
     * where memory is short.
     */
    private void join(ActiveRequest request) {
        if (memory.exceeded()) {
            fail(request);
            return;
        }
        request.state = ActiveRequest.State.JOINED;
        actions.replayResult(request.id);
    }

    @Override
    public void completed(double nowMillis, String id, double elapsedMillis, Outcome outcome) {
        advance(nowMillis);
        ActiveRequest request = requests.get(id);
        if (request == null) {
            return;
        }
        boolean ran =
                request.state == ActiveRequest.State.RUNNING
                        || request.state == ActiveRequest.State.CALLING;
        if (ran && (outcome == Outcome.OK || outcome == Outcome.FAILED)) {
            health.runCompleted(outcome == Outcome.OK, nowMillis);
            if (outcome == Outcome.OK) {
                estimator.learn(request);
            }
        }
        if (outcome == Outcome.OK && !request.answered && nowMillis <= request.objectiveAtMillis) {
            classes.servedInTime(request.statistics);
        }
        remove(request);
        dispatcher.dispatch();
        calls.makeCalls(nowMillis);
    }

    @Override
    public void cancelled(double nowMillis, String id) {
        advance(nowMillis);
        ActiveRequest request = requests.get(id);
        if (request == null) {
            return;
        }
        request.answered = true;
        if (request.state == ActiveRequest.State.QUEUED
                || request.state == ActiveRequest.State.JOINED) {
            remove(request);
        } else if (request.isRunning() && request.spec.idempotency() == Idempotency.IDEMPOTENT) {
            cancellation.cancel(request);
        }
        dispatcher.dispatch();
    }

    /** Rejects a request that never ran, with the Retry-After of {@link RejectionPolicy}. */
    private void reject(ActiveRequest request) {
        request.answered = true;
        rejection.reject(request);
        remove(request);
    }

    /**
     * Fails a request. Its run, if there is one, is canceled where possible and stays counted until
     * it ends.
     */
    private void fail(ActiveRequest request) {
        request.answered = true;
        actions.fail(request.id);
        if (request.isRunning()) {
            cancellation.cancel(request);
        } else if (request.state != ActiveRequest.State.CALLING) {
            remove(request);
        } else {
            calls.dequeue(request);
        }
    }

    /** Removes a request that is over from all tables. */
    private void remove(ActiveRequest request) {
        requests.remove(request.id);
        memory.requestEnded(request);
        switch (request.state) {
            case QUEUED -> queue.remove(request);
            case JOINED -> {
                // The request waited for the result of another run and is in no count.
            }
            case RUNNING -> cores.endRun();
            case CALLING -> endPause(request);
        }
        memory.releaseKey(request);
    }

    private void endPause(ActiveRequest request) {
        calls.dequeue(request);
        cores.endPause();
        if (request.callInFlight) {
            calls.ended(request, true);
        }
    }

    // --- calls to the dependency ---

    @Override
    public void dependencyCallNeeded(double nowMillis, String id) {
        advance(nowMillis);
        ActiveRequest request = requests.get(id);
        if (request == null || !request.isRunning()) {
            return;
        }
        cores.pause(request, nowMillis);
        calls.enqueue(request);
        calls.makeCalls(nowMillis);
        dispatcher.dispatch();
    }

    @Override
    public void dependencyCallCompleted(
            double nowMillis, String id, double elapsedMillis, Outcome outcome) {
        advance(nowMillis);
        ActiveRequest request = requests.get(id);
        if (request == null || !request.callInFlight) {
            return;
        }
        calls.ended(request, outcome == Outcome.TIMED_OUT || outcome == Outcome.RESET);
        RequestClass requestClass = request.spec;
        calls.learn(requestClass, outcome == Outcome.OK, Math.max(1, elapsedMillis));
        boolean notProcessed = outcome == Outcome.QUEUE_FULL || outcome == Outcome.CONNECT_ERROR;
        if (outcome == Outcome.OK) {
            cores.resume(request);
        } else if (requestClass.degradedWeightShare() > 0) {
            calls.skip(request);
        } else if (!request.answered
                && (notProcessed || requestClass.idempotency() == Idempotency.IDEMPOTENT)
                && nowMillis < request.objectiveAtMillis) {
            calls.enqueue(request);
        } else if (!request.answered) {
            fail(request);
        }
        calls.makeCalls(nowMillis);
        dispatcher.dispatch();
    }

    // --- time ---

    @Override
    public void beginDraining(double nowMillis, double shutdownAtMillis) {
        advance(nowMillis);
        draining.beginDraining(nowMillis, shutdownAtMillis);
        health.beginDraining();
        idleTimeout.beginDraining();
        actions.log("draining, shutdown in " + Math.round(shutdownAtMillis - nowMillis) + " ms");
    }

    @Override
    public void timerFired(double nowMillis, String token, Gauges gauges) {
        advance(nowMillis);
        actions.scheduleTimer("tick", TICK_MILLIS);
        estimator.measureSlowdown(requests.values());
        cores.measure(gauges.runnable());
        health.detectHang(requests.values(), nowMillis);
        answerInTime(nowMillis);
        memory.expireKeys(nowMillis);
        cutoff.adjust();
        advertisement.update();
        if (nowMillis - lastSweepAtMillis >= SWEEP_MILLIS) {
            lastSweepAtMillis = nowMillis;
            idleTimeout.adjust(gauges.connections());
            limit.adjust(gauges, !queue.isEmpty());
        }
        health.report();
        dispatcher.dispatch();
        calls.makeCalls(nowMillis);
    }

    /**
     * Answers every request before its deadline, and rejects queued requests that can no longer
     * meet their objective.
     */
    private void answerInTime(double nowMillis) {
        for (ActiveRequest request : List.copyOf(requests.values())) {
            if (request.answered) {
                continue;
            }
            if (request.isQueued()) {
                boolean missesObjective =
                        nowMillis + estimator.runMillis(request) + request.statistics.pausedMillis
                                > request.objectiveAtMillis;
                if (missesObjective) {
                    cutoff.onObjectiveMissed();
                }
                if (nowMillis >= draining.answerByMillis(request)
                        || health.isHung()
                        || (missesObjective && cores.saturated())) {
                    reject(request);
                }
            } else if (nowMillis >= draining.answerByMillis(request)
                    || (nowMillis >= request.objectiveAtMillis
                            && cutoff.value() > 0
                            && !queue.isEmpty()
                            && cancellation.mayCancelLate(request))) {
                fail(request);
            }
        }
    }

    /** Advances the clock, the averages over time, and the core time that runs have received. */
    private void advance(double nowMillis) {
        double sinceLastEventMillis = clock.advance(nowMillis);
        if (sinceLastEventMillis <= 0) {
            return;
        }
        cores.advance(sinceLastEventMillis);
        arrivals.advance(sinceLastEventMillis);
        health.advance(sinceLastEventMillis);
        classes.advance(nowMillis);
        calls.advance(sinceLastEventMillis);
    }
}
