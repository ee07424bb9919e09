package tinroad.core;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Function;
import org.slf4j.Logger;
import tinroad.catalog.Catalog;
import tinroad.catalog.CatalogDelta;
import tinroad.config.Site;
import tinroad.overload.Controller;
import tinroad.overload.Controller.ClassSlot;
import tinroad.overload.Controller.Gauges;
import tinroad.overload.Controller.Idempotency;
import tinroad.overload.Controller.Outcome;
import tinroad.overload.Controller.RequestClass;
import tinroad.overload.Controller.Settings;
import tinroad.overload.Controller.TenantSlot;
import tinroad.recovery.RecoveryPhaseTracker;
import tinroad.recovery.RestoredState;

/**
 * The life of every request of one gateway, whatever protocol it came by. Carries out what the
 * module decides and tells it what happens; decides nothing itself beyond what keeps the rules. One
 * thread owns all of it.
 */
public final class Gateway implements Engine.Listener {
    /**
     * A gauge reading later than this, in ms, is not waited for: the timer fires with the last one.
     */
    static final double GAUGES_WAIT = 10;

    /** After its due time, a request whose RUN was lost with its link is kept this long, in ms. */
    static final double LOST_RUN_KEPT = 1000;

    /** Readings older than this, in ms, tell nothing: the module gets absent values. */
    static final double GAUGES_VALID = 1000;

    /** Period of the guard that answers what is due, in ms; far below the slack of the rule. */
    static final double GUARD_PERIOD = 25;

    /** Two readings of the engine's start that lie this near, in ms, are of one start. */
    static final double SAME_START = 1000;

    /**
     * A time of arrival further off than this, in ms, or than any class waits, either way, is no
     * time of arrival.
     */
    static final double FAR_OFF = 60_000;

    /** Characters of a refusal that are kept for operators. */
    static final int LONGEST_REFUSAL = 500;

    /**
     * Part of its class's aim that a run is expected to take, by what is known before any has
     * ended.
     */
    private static final double USUAL_RUN = 0.25;

    private static final Gauges NO_GAUGES =
            new Gauges(Double.NaN, Double.NaN, Double.NaN, Double.NaN);

    private final Settings settings;
    private final long seed;
    private final Clock clock;
    private final Timers timers;
    private final Engine engine;
    private final Controller controller;
    private final Logger log;

    /** What requests are looked up in, swapped whole. */
    private Catalog catalog;

    private double catalogSinceMillis;
    private int setUnappliedChanges;
    private String refusal;
    private double rejectedAtMillis;
    private final CatalogRollout reconfiguration;
    private final SlotReferences classPlaces = new SlotReferences();
    private final SlotReferences tenantPlaces = new SlotReferences();

    /** Names by place; of a class that came later, from its first request on. */
    private final List<String> classNames;

    /** What came in force before the module began, by place: it is told once it begins. */
    private final Map<Integer, ClassSlot> earlyClasses = new LinkedHashMap<>();

    private final Map<Integer, TenantSlot> earlyTenants = new LinkedHashMap<>();

    /** All requests that are unanswered or may still run. */
    private final Map<String, ActiveRequest> requests = new LinkedHashMap<>();

    /** Ids that ran, until no honest caller can name them any more: none is ever run twice. */
    private final LinkedHashMap<String, Double> ran = new LinkedHashMap<>();

    private final Map<String, String> waitingTimers = new HashMap<>();
    private final IdempotencyTable repeats;

    /** Decided to run while the link was down; written when it is back. */
    private final ArrayDeque<ActiveRequest> unsent = new ArrayDeque<>();

    /** Events that an action caused; the module hears them after the event that it is handling. */
    private final ArrayDeque<Runnable> followUps = new ArrayDeque<>();

    private final List<Frontend> fronts = new ArrayList<>();
    private HealthListener healthListener = good -> {};
    private final GatewayMetrics metrics;

    /** The longest deadline, and the quickest aim, that any class was ever told with. */
    private double farOff = FAR_OFF;

    private double quickest = Double.MAX_VALUE;
    private RecoveryPhaseTracker recoveryPhase;
    private RestoredState restoredState = RestoredState.NONE;
    private Map<String, RestoredState.RestoredValue> restoredValues = Map.of();
    private boolean handling;
    private boolean started;
    private boolean open;
    private boolean healthy;

    /** What the module says of its health, whatever else there is. */
    private boolean moduleGood;

    private boolean draining;

    /**
     * Operators had the gateway taken off the list: checks hear bad, and work goes on as always.
     */
    private boolean evacuated;

    /** Another process serves under this gateway's name: what it says of its health holds. */
    private boolean markReplaced;

    private double engineStartedAt;

    /**
     * The engine was started since the link before: it knows of no run that it was told of earlier.
     */
    private boolean anotherEngine;

    private double drainedAt;

    /**
     * The two last moments at which this process was seen to work, the older one for any thread to
     * read.
     */
    private double ticked = Double.POSITIVE_INFINITY;

    private volatile double lastSeenAliveMillis = Double.POSITIVE_INFINITY;
    private double leaveAt;
    private long timerTags;

    /**
     * The free value that goes out with answers and checks; NaN until the module has one to say.
     */
    private double loadLevel = Double.NaN;

    private Gauges lastGauges = NO_GAUGES;
    private double gaugesAt = Double.NEGATIVE_INFINITY;

    /** Hears of changes of the gateway's health. */
    @FunctionalInterface
    public interface HealthListener {
        /** The gateway takes work, or does not. */
        void health(boolean good);
    }

    /**
     * A gateway round the controller that {@code module} makes; its state changes are told to
     * {@code log}.
     */
    public Gateway(
            Site site,
            long seed,
            Clock clock,
            Timers timers,
            Engine engine,
            Function<Controller.Actions, Controller> module,
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
                module,
                log);
    }

    /**
     * The same, with the catalog of the site's classes and tenants: their places are those in the
     * site's lists.
     */
    public Gateway(
            Site site,
            Catalog catalog,
            long seed,
            Clock clock,
            Timers timers,
            Engine engine,
            Function<Controller.Actions, Controller> module,
            Logger log) {
        this.log = log;
        this.settings = site.settings();
        this.catalog = catalog;
        this.classNames = new ArrayList<>(site.classNames());
        this.seed = seed;
        this.clock = clock;
        this.timers = timers;
        this.engine = engine;
        this.controller = module.apply(new Acts());
        this.repeats = new IdempotencyTable(settings.resultFreshMillis());
        this.metrics = new GatewayMetrics(classNames);
        this.reconfiguration = new CatalogRollout(new Told(), timers, clock);
        catalogSinceMillis = clock.nowMillis();
        settings.classes().forEach(this::bounds);
        recoveryPhase = watch(false);
    }

    /** What lasted of earlier lives; called before the engine is there, or not at all. */
    public void restoreFrom(RestoredState before) {
        restoredState = before;
        recoveryPhase = watch(before.distrustsState());
        double nowMillis = clock.nowMillis();
        before.executedIds()
                .forEach(
                        (id, due) -> {
                            if (due > nowMillis) {
                                ran.put(id, due);
                            }
                        });
        if (before.evacuated()) {
            evacuate();
        }
    }

    private RecoveryPhaseTracker watch(boolean distrusts) {
        return new RecoveryPhaseTracker(clock.nowMillis(), settings.cores(), usualRun(), distrusts);
    }

    private double usualRun() {
        return USUAL_RUN * (quickest == Double.MAX_VALUE ? 1 : quickest);
    }

    private void bounds(RequestClass spec) {
        farOff = Math.max(farOff, spec.deadlineMillis());
        quickest = Math.min(quickest, spec.objectiveMillis());
    }

    /**
     * A moment at which this process worked, and before which nothing can have been left unheard;
     * any thread may ask. Guards against a notice that came while all of the process was set aside:
     * it is seen later than it came. The older of two moments, as the latest may lie between the
     * end of the stall and the notice.
     */
    public double lastSeenAliveMillis() {
        return lastSeenAliveMillis;
    }

    /** How it comes back. */
    public RecoveryPhaseTracker recoveryPhase() {
        return recoveryPhase;
    }

    /** The time now, in Unix ms. */
    public double nowMillis() {
        return clock.nowMillis();
    }

    /** Where the memory of earlier lives is from. */
    public RestoredState restoredState() {
        return restoredState;
    }

    /** What of earlier lives this one began with, by name. */
    public Map<String, RestoredState.RestoredValue> restoredValues() {
        return restoredValues;
    }

    /** What this life has learned, by name; empty before the engine was there. */
    public Map<String, Controller.Estimate> learnedEstimates() {
        Map<String, Controller.Estimate> named = new LinkedHashMap<>();
        if (started) {
            controller
                    .learnedEstimates()
                    .forEach(
                            (name, known) -> {
                                String lasting = withClass(name);
                                if (lasting != null) {
                                    named.put(lasting, known);
                                }
                            });
        }
        return named;
    }

    /** Ids that ran or may have, with their due times in Unix ms. */
    public Map<String, Double> executedIds() {
        Map<String, Double> all = new LinkedHashMap<>(ran);
        requests.values().stream()
                .filter(r -> r.progress != Progress.NOT_SENT)
                .forEach(r -> all.put(r.id, r.deadlineAtMillis));
        return all;
    }

    /** Whether operators had it taken off the list. */
    public boolean evacuated() {
        return evacuated;
    }

    /**
     * The module names a class by its place, {@code run.0}; what outlives it goes by the class's
     * name. Null where the class is no more, or was never asked for: nothing was learned of it.
     */
    private String withClass(String name) {
        int dot = name.indexOf('.');
        if (dot < 0) {
            return name;
        }
        int place = Integer.parseInt(name.substring(dot + 1));
        String lasting = place < classNames.size() ? classNames.get(place) : null;
        Catalog.ClassEntry route = lasting == null ? null : catalog.classEntry(lasting);
        return route != null && route.slot() == place
                ? name.substring(0, dot + 1) + route.name()
                : null;
    }

    private void restore(boolean cold) {
        if (restoredState == RestoredState.NONE) {
            return;
        }
        restoredValues = restoredState.restore(learnedEstimates(), clock.nowMillis());
        Map<String, Controller.Estimate> known = new LinkedHashMap<>();
        controller.learnedEstimates().keySet().stream()
                .filter(name -> restoredValues.containsKey(withClass(name)))
                .forEach(name -> known.put(name, restoredValues.get(withClass(name)).estimate()));
        if (!known.isEmpty()) {
            controller.restore(known, cold);
            restoredValues.forEach(
                    (name, r) ->
                            log.debug(
                                    "remembered: {} = {}, of life {}, {} s old",
                                    name,
                                    r.estimate().value(),
                                    r.incarnation(),
                                    Math.round(r.ageMillis() / 1000)));
        }
        restoredState.started(learnedEstimates());
    }

    /** Adds a front; all are added before the first request. */
    public void addFrontend(Frontend front) {
        fronts.add(front);
    }

    /** Sets who hears of the health; called once, before any request. */
    public void onHealth(HealthListener listener) {
        healthListener = listener;
    }

    /** The free value that every answer and check carries from now on; NaN for none. */
    public double loadLevel() {
        return loadLevel;
    }

    /** What a health check is told. */
    public boolean healthy() {
        return healthy;
    }

    /** Whether every request that was read has its answer. */
    public boolean allAnswered() {
        return inFlight() == 0;
    }

    /** How many requests were read and have no answer yet. */
    public int inFlight() {
        return (int) requests.values().stream().filter(r -> !r.answered).count();
    }

    /** What is in force: all classes and tenants. */
    public Catalog catalog() {
        return catalog;
    }

    /** Since when, in Unix ms. */
    public double catalogSinceMillis() {
        return catalogSinceMillis;
    }

    /** How many later versions are known that are not in force yet. */
    public int pendingCatalogs() {
        return reconfiguration.pending() + setUnappliedChanges;
    }

    /**
     * How long the longest slice of the last change took, in ms: so long an event had to wait for
     * it.
     */
    public double longestSliceMillis() {
        return reconfiguration.longestSliceMillis();
    }

    /** So many later versions are known whose change it was not told of yet. */
    public void setUnappliedChanges(int versions) {
        setUnappliedChanges = versions;
    }

    /** Later settings were refused, for this reason: what is in force stays. */
    public void changeRejected(String reason) {
        refusal =
                reason.length() <= LONGEST_REFUSAL
                        ? reason
                        : reason.substring(0, LONGEST_REFUSAL) + "...";
        rejectedAtMillis = clock.nowMillis();
    }

    /** Why later settings were refused last; null where none ever were. */
    public String lastRejection() {
        return refusal;
    }

    /** When, in Unix ms. */
    public double rejectedAtMillis() {
        return rejectedAtMillis;
    }

    // --- changes of classes and tenants ---

    /**
     * A later version of the catalog, with what it changes of the one told before: it comes in
     * force at one instant, a little later. {@code end} hears whether it did; where the module
     * failed it did not, and what was in force stays. A drain hinders nothing of it, and the end of
     * the process drops what is not in force yet.
     */
    public void applyChange(Catalog next, CatalogDelta delta, Consumer<Boolean> end) {
        reconfiguration.add(next, delta, end);
    }

    /**
     * Sets who hears of the places, of classes and of tenants, that were removed and that nothing
     * in hand names any more.
     */
    public void onSlotsFree(Consumer<int[]> classes, Consumer<int[]> tenants) {
        classPlaces.onFree(classes);
        tenantPlaces.onFree(tenants);
    }

    /** What it has done so far. */
    public GatewayMetrics metrics() {
        return metrics;
    }

    // --- from the operators ---

    /**
     * Another process has taken over: this one leaves, and the gateway's health is no longer this
     * one's to tell.
     */
    public void markReplaced() {
        markReplaced = true;
    }

    /** Callers reach this process from now on. */
    public void markListening() {
        open = true;
    }

    /**
     * Whether this process serves, and goes on serving. Guards against a yes before callers can
     * reach it: whoever hears it may end the process that served until then.
     */
    public boolean ready() {
        return open && healthy && !draining;
    }

    /**
     * Has the gateway taken off the list, until {@link #rejoin}: health is bad. What still arrives
     * is served as ever, so the module, for which a drain has an end, hears nothing of it.
     */
    public void evacuate() {
        if (!evacuated) {
            evacuated = true;
            log.info("evacuated: off the list until it rejoins");
            tellHealth();
        }
    }

    /** Back on the list; false where the process is about to end. */
    public boolean rejoin() {
        if (draining) {
            return false;
        }
        if (evacuated) {
            evacuated = false;
            log.info("rejoined");
            tellHealth();
        }
        return true;
    }

    // --- from the front ---

    /** A request was read; the requester gets exactly one answer, perhaps within this call. */
    public void handle(IncomingRequest in, ResponseSink requester) {
        double nowMillis = clock.nowMillis();
        Catalog.ClassEntry route = catalog.classEntry(in.className());
        if (route == null) {
            // Guards the promise of an invalid one: its class is gone, and another try of it has
            // run.
            requester.respond(
                    repeats.isRunSubmitted(in.idempotencyKey())
                            ? Response.failed(Progress.SENT)
                            : Response.invalid());
            return;
        }
        int tenant = tenantPlace(in.tenantName());
        if (tenant < 0
                || Math.abs(nowMillis - in.arrivedAtMillis()) > farOff
                || requests.containsKey(in.id())
                || ran.containsKey(in.id())) {
            turnAway(route, requester, Response.invalid());
            return;
        }
        RequestClass c = route.spec();
        // Guards against a caller's clock that runs ahead: an age is never negative, a due time
        // never later.
        double age = Math.max(0, nowMillis - in.arrivedAtMillis());
        // Guards the one run of what ran while its class was a keyed one.
        boolean keyed =
                c.idempotency() == Idempotency.IDEMPOTENT_WITH_KEY
                        || repeats.isRunSubmitted(in.idempotencyKey());
        // Without it nobody can tell whether it ran: no guess is made where the harm can't be
        // undone.
        if (keyed && in.idempotencyKey() == null) {
            turnAway(route, requester, Response.invalid());
            return;
        }
        boolean told = settings.requestsCarryDeadline() && !Double.isNaN(in.clientTimeoutMillis());
        double due =
                nowMillis
                        - age
                        + (told
                                ? Math.min(in.clientTimeoutMillis(), c.deadlineMillis())
                                : c.deadlineMillis());
        ActiveRequest request = new ActiveRequest(in, route, tenant, due, keyed, requester);
        request.duplicateOf = repeats.findOriginal(request, nowMillis);
        if (IdempotencyTable.conflicts(request, request.duplicateOf)) {
            turnAway(route, requester, Response.invalid());
            return;
        }
        // Guards the module's averages against what was due before it was read: nobody waits for
        // it.
        if (!started
                || nowMillis >= due
                || (keyed && request.duplicateOf == null && repeats.isFull())) {
            turnAway(
                    route,
                    requester,
                    request.mayHaveRun()
                            ? Response.failed(Progress.SENT)
                            : Response.rejected(0, false));
            return;
        }
        takeIn(request);
        String repeated = request.duplicateOf == null ? null : request.duplicateOf.requestId;
        double toldAge = whileDraining(nowMillis, age);
        tell(
                () ->
                        controller.requestArrived(
                                nowMillis,
                                new Controller.Request(
                                        in.id(),
                                        route.slot(),
                                        tenant,
                                        in.caller(),
                                        in.memoryKb(),
                                        told ? due : 0,
                                        toldAge,
                                        in.priority(),
                                        0,
                                        in.resultKey(),
                                        repeated,
                                        in.retry(),
                                        c.idempotency() != Idempotency.IDEMPOTENT)));
        request.copyBody();
        recoveryPhase.requestArrived(
                !request.answered
                        || request.progress != Progress.NOT_SENT
                        || request.duplicateOf != null);
    }

    /**
     * The age that the module hears. Guards the drain rule against a request that began to arrive
     * before the grace was over and was whole only after it: it reached the machine with its last
     * byte, and that is no earlier than anything but its reading.
     */
    private double whileDraining(double nowMillis, double age) {
        double over = nowMillis - drainedAt - settings.rules().drainGraceMillis();
        return draining && over > 0 ? Math.max(0, Math.min(age, over - 1)) : age;
    }

    /**
     * The tenant's place; where there are no tenants all is that of the first; negative where it is
     * none of them.
     */
    private int tenantPlace(String owner) {
        if (catalog.tenantCount() == 0) {
            return 0;
        }
        Catalog.TenantEntry account = catalog.tenantEntry(owner);
        return account == null ? -1 : account.slot();
    }

    private void takeIn(ActiveRequest r) {
        int place = r.classEntry.slot();
        while (classNames.size() <= place) {
            classNames.add(null);
        }
        classNames.set(place, r.classEntry.name());
        classPlaces.acquire(place);
        tenantPlaces.acquire(r.tenantSlot);
        requests.put(r.id, r);
    }

    /** It is in hand no more; false where it was not. */
    private boolean letGo(ActiveRequest r) {
        if (!requests.remove(r.id, r)) {
            return false;
        }
        double nowMillis = clock.nowMillis();
        classPlaces.release(r.classEntry.slot(), nowMillis);
        tenantPlaces.release(r.tenantSlot, nowMillis);
        return true;
    }

    /** The answer to a request that never enters the table. */
    private void turnAway(Catalog.ClassEntry route, ResponseSink requester, Response answer) {
        metrics.countResponse(route.slot(), route.name(), answer.kind());
        requester.respond(answer);
    }

    /**
     * Nobody waits for this request any more, so far as its requester knows. While it is held it
     * fails and leaves the hold; what was sent to run can't be stopped, and is answered when it
     * ends.
     */
    public void cancel(String id, ResponseSink requester) {
        ActiveRequest r = requests.get(id);
        // Guards the request of another caller under the same id.
        if (r == null || r.responseSink != requester || r.progress != Progress.NOT_SENT) {
            return;
        }
        boolean told = unsent.contains(r);
        finish(r, Response.failed(Progress.NOT_SENT));
        if (!told) {
            tell(() -> controller.cancelled(clock.nowMillis(), id));
        }
    }

    // --- from the engine ---

    @Override
    public void onAttached(boolean fresh, double startedAgo) {
        double engineStart = clock.nowMillis() - startedAgo;
        anotherEngine = started && engineStart > engineStartedAt + SAME_START;
        engineStartedAt = engineStart;
        if (!started) {
            reconfiguration.restage();
            started = true;
            log.info(
                    "engine attached: {}, up for {} ms",
                    fresh ? "fresh" : "seasoned",
                    Math.round(startedAgo));
            timers.after(GUARD_PERIOD, this::guard);
            recoveryPhase.engineAttached(clock.nowMillis(), fresh);
            tell(
                    () -> {
                        controller.start(clock.nowMillis(), seed, settings);
                        // First: a memory is of the classes that the module begins with.
                        restore(fresh);
                        if (!earlyClasses.isEmpty() || !earlyTenants.isEmpty()) {
                            controller.stage(
                                    List.copyOf(earlyClasses.values()),
                                    List.copyOf(earlyTenants.values()));
                            controller.commit(clock.nowMillis());
                            earlyClasses.clear();
                            earlyTenants.clear();
                        }
                    });
            // Guards against a notice to leave that came before the engine: the module has to know
            // it too.
            if (draining) {
                tell(() -> controller.beginDraining(drainedAt, leaveAt));
            }
            return;
        }
        log.info(
                "engine attached again{}",
                anotherEngine ? ": another one, up for " + Math.round(startedAgo) + " ms" : "");
        recoveryPhase.engineAttached(clock.nowMillis(), anotherEngine);
        doubtRuns();
        // A copy: guards against turning round here while the link breaks anew, which puts each one
        // back.
        List<ActiveRequest> waiting = List.copyOf(unsent);
        unsent.clear();
        waiting.forEach(this::send);
    }

    @Override
    public void onDetached() {
        log.warn("engine link lost: {} requests in hand", requests.size());
        doubtRuns();
    }

    private void doubtRuns() {
        requests.values().forEach(r -> r.sentOnLostLink |= r.progress == Progress.SENT);
    }

    /**
     * Repeats the orders that may have been lost with an earlier link. Guards against a lost run
     * that holds its place, and its caller, until it is due. Safe for every class, as {@link
     * Engine#run} says; what the engine still told of earlier links was read before, so hardly
     * anything but lost and running ones is repeated. Guards against an engine that was started
     * anew, which knows of no earlier run: to it nothing is repeated.
     */
    @Override
    public void onCaughtUp() {
        if (anotherEngine) {
            return;
        }
        for (ActiveRequest r : List.copyOf(requests.values())) {
            if (r.sentOnLostLink
                    && !r.answered
                    && engine.run(r.id, r.className(), r.body) == Progress.SENT) {
                r.sentOnLostLink = false;
            }
        }
    }

    @Override
    public void onRunEnded(String id, Engine.RunOutcome end, double took, ByteBuf result) {
        ActiveRequest r = requests.get(id);
        // Guards against a notice that comes twice, or for what was never sent.
        if (r == null || r.progress != Progress.SENT) {
            return;
        }
        // What the engine did not carry out never ran.
        r.progress = end == Engine.RunOutcome.REJECTED ? Progress.NOT_SENT : Progress.RAN;
        conclude(r, end == Engine.RunOutcome.DONE ? result : null);
        finish(
                r,
                end == Engine.RunOutcome.DONE
                        ? Response.served(result)
                        : Response.failed(r.progress));
        letGo(r);
        if (end == Engine.RunOutcome.DONE) {
            recoveryPhase.runCompleted(
                    clock.nowMillis(), took, USUAL_RUN * r.requestClass().objectiveMillis());
        }
        // Guards a caller's id against others that name it first, with what the engine does not
        // know.
        if (end != Engine.RunOutcome.REJECTED) {
            remember(r);
        }
        tell(
                () ->
                        controller.completed(
                                clock.nowMillis(),
                                id,
                                took,
                                switch (end) {
                                    case DONE -> Outcome.OK;
                                    case CRASHED -> Outcome.FAILED;
                                    case ABORTED -> Outcome.CANCELED;
                                    case STALE, REJECTED -> Outcome.IGNORED;
                                }));
    }

    @Override
    public void onGauges(String tag, Gauges gauges) {
        lastGauges = gauges;
        gaugesAt = clock.nowMillis();
        fire(tag);
    }

    // --- drain ---

    /**
     * The notice to leave, which came at {@code noticedAt}: everything read is answered by {@code
     * leavingAt}. The time of the notice counts, not that of this call: what may still run hangs on
     * it.
     */
    public void beginDraining(double noticedAt, double leavingAt) {
        if (draining) {
            return;
        }
        draining = true;
        drainedAt = noticedAt;
        leaveAt = leavingAt;
        recoveryPhase.drainingBegan(noticedAt);
        log.info(
                "draining: {} requests in hand, {} ms left",
                requests.size(),
                Math.round(leaveAt - clock.nowMillis()));
        if (started) {
            tell(() -> controller.beginDraining(drainedAt, leaveAt));
        }
        tellHealth();
    }

    // --- answers ---

    /**
     * The one place where answers leave. Guards the rule of exactly one answer: a late or second
     * one is dropped here; and the promise of a refusal: what was sent to run fails instead.
     */
    private void finish(ActiveRequest r, Response answer) {
        if (r.answered) {
            return;
        }
        r.answered = true;
        r.dropBody();
        if (r.progress == Progress.NOT_SENT) {
            letGo(r);
            conclude(r, null);
            if (unsent.remove(r)) {
                tell(() -> controller.completed(clock.nowMillis(), r.id, 0, Outcome.IGNORED));
            }
        }
        Response honest =
                answer.kind() == Response.Kind.REJECTED && r.mayHaveRun()
                        ? Response.failed(r.progress)
                        : answer;
        metrics.countResponse(r.classEntry.slot(), r.className(), honest.kind());
        r.responseSink.respond(honest);
    }

    /** A request came to its end: what repeats it is answered alike. */
    private void conclude(ActiveRequest r, ByteBuf result) {
        for (ActiveRequest repeat : repeats.complete(r, result, clock.nowMillis())) {
            answerRepeat(repeat, result);
        }
    }

    private void answerRepeat(ActiveRequest r, ByteBuf result) {
        finish(
                r,
                result == null
                        ? Response.failed(Progress.NOT_SENT)
                        : Response.served(result.duplicate()));
        tell(
                () ->
                        controller.completed(
                                clock.nowMillis(),
                                r.id,
                                clock.nowMillis() - r.replayRequestedAtMillis,
                                result == null ? Outcome.FAILED : Outcome.OK));
    }

    private void remember(ActiveRequest r) {
        ran.put(r.id, r.deadlineAtMillis);
    }

    /**
     * Guards the due times where the module does not: while the process stalled, while the link is
     * down, or when the decision code failed. Also lets go of runs whose notice can't come any
     * more.
     */
    private void guard() {
        timers.after(GUARD_PERIOD, this::guard);
        double nowMillis = clock.nowMillis();
        lastSeenAliveMillis = ticked;
        ticked = nowMillis;
        for (ActiveRequest r : List.copyOf(requests.values())) {
            if (!r.answered && nowMillis >= r.deadlineAtMillis) {
                finish(r, Response.failed(r.progress));
            }
            // Guards against a RUN lost with its link: nobody will tell of it, and its place must
            // not stay taken.
            if (r.answered
                    && r.sentOnLostLink
                    && nowMillis >= r.deadlineAtMillis + LOST_RUN_KEPT
                    && letGo(r)) {
                remember(r);
                conclude(r, null);
                tell(() -> controller.completed(clock.nowMillis(), r.id, 0, Outcome.IGNORED));
            }
        }
        ran.values().removeIf(due -> due < nowMillis);
        recoveryPhase.tick(nowMillis);
        repeats.expire(nowMillis);
        classPlaces.releaseUnreferenced(nowMillis);
        tenantPlaces.releaseUnreferenced(nowMillis);
    }

    // --- the module ---

    /**
     * Hands the module one event. Guards against a failure of the decision code: the gateway lives
     * on.
     */
    private void tell(Runnable event) {
        if (handling) {
            followUps.add(event);
            return;
        }
        handling = true;
        try {
            for (Runnable next = event; next != null; next = followUps.poll()) {
                try {
                    next.run();
                } catch (RuntimeException e) {
                    log.error("module failed", e);
                }
            }
        } finally {
            // Guards against an Error, such as direct memory used up: without this no event would
            // be told again.
            handling = false;
        }
    }

    private void timerDue(String token) {
        String tag = Long.toString(++timerTags);
        waitingTimers.put(tag, token);
        // First: guards the module's timers, each of which sets the next, against a question that
        // can't be asked.
        timers.after(GAUGES_WAIT, () -> fire(tag));
        if (!engine.requestGauges(tag)) {
            fire(tag);
        }
    }

    /** A timer fires with the gauges asked for, or without them once they are late. */
    private void fire(String tag) {
        String token = waitingTimers.remove(tag);
        if (token != null) {
            double nowMillis = clock.nowMillis();
            Gauges gauges = nowMillis - gaugesAt <= GAUGES_VALID ? lastGauges : NO_GAUGES;
            tell(() -> controller.timerFired(nowMillis, token, gauges));
        }
    }

    private void send(ActiveRequest r) {
        RequestClass c = r.requestClass();
        if (!repeats.claimRun(r, c.keyWindowMillis(), c.deadlineMillis(), clock.nowMillis())) {
            // Guards the rule of one run where the module does not: another try of it has run, or
            // is about to.
            failUnsent(r);
            return;
        }
        try {
            r.progress = engine.run(r.id, r.className(), r.body);
        } catch (RuntimeException | OutOfMemoryError e) {
            // Guards the request, and its place in the module, against an order that can't even be
            // written: nothing has left.
            log.error("order not written: {}", e.toString());
            repeats.revokeRun(r);
            failUnsent(r);
            return;
        }
        if (r.progress == Progress.NOT_SENT) {
            repeats.revokeRun(r);
            unsent.add(r);
        } else {
            metrics.countRun();
        }
    }

    /** It is not ordered after all: it fails alone, and the module gets its place back. */
    private void failUnsent(ActiveRequest r) {
        finish(r, Response.failed(Progress.NOT_SENT));
        tell(() -> controller.completed(clock.nowMillis(), r.id, 0, Outcome.IGNORED));
    }

    private void tellHealth() {
        boolean next = moduleGood && !draining && !evacuated;
        if (next != healthy && !markReplaced) {
            healthy = next;
            log.info("health {}", next ? "good" : "bad");
            healthListener.health(next);
        }
    }

    /** What a change of classes and tenants means to the parts of this gateway. */
    private final class Told implements CatalogRollout.Target {
        @Override
        public boolean stage(List<ClassSlot> classes, List<TenantSlot> tenants) {
            for (ClassSlot c : classes) {
                if (c.spec() != null) {
                    bounds(c.spec());
                }
            }
            return !started || done(() -> controller.stage(classes, tenants));
        }

        @Override
        public boolean commit(Catalog next) {
            if (started && !done(() -> controller.commit(clock.nowMillis()))) {
                return false;
            }
            catalog = next;
            catalogSinceMillis = clock.nowMillis();
            recoveryPhase.setExpectedRunMillis(usualRun());
            return true;
        }

        @Override
        public void discardStaged() {
            done(controller::discardStaged);
            log.error("settings stay as they were: the module failed at a change of them");
        }

        @Override
        public void settle(List<ClassSlot> classes, List<TenantSlot> tenants) {
            double nowMillis = clock.nowMillis();
            for (ClassSlot c : classes) {
                if (c.spec() == null) {
                    classPlaces.remove(c.slot(), nowMillis);
                }
                if (!started) {
                    earlyClasses.put(c.slot(), c);
                }
            }
            for (TenantSlot t : tenants) {
                if (t.spec() == null) {
                    tenantPlaces.remove(t.slot(), nowMillis);
                }
                if (!started) {
                    earlyTenants.put(t.slot(), t);
                }
            }
        }

        private boolean done(Runnable event) {
            boolean[] through = {false};
            tell(
                    () -> {
                        event.run();
                        through[0] = true;
                    });
            return through[0];
        }
    }

    /** What the module may do, carried out. */
    private final class Acts implements Controller.Actions {
        @Override
        public void run(String id) {
            ActiveRequest r = requests.get(id);
            if (r == null || r.answered) {
                // Its answer has gone out: it must not run, and the module gets its place back.
                tell(() -> controller.completed(clock.nowMillis(), id, 0, Outcome.IGNORED));
            } else if (r.progress == Progress.NOT_SENT && !unsent.contains(r)) {
                send(r);
            }
        }

        @Override
        public void reject(String id, double stayAway, boolean last) {
            // Guards the process that took over: advice to stay away would be heeded towards both.
            answer(id, Response.rejected(markReplaced ? 0 : stayAway, last));
        }

        @Override
        public void fail(String id) {
            answer(id, null);
        }

        private void answer(String id, Response answer) {
            ActiveRequest r = requests.get(id);
            if (r != null) {
                finish(r, answer == null ? Response.failed(r.progress) : answer);
            }
        }

        @Override
        public void retainKey(String id, double duration) {
            ActiveRequest r = requests.get(id);
            if (r != null) {
                repeats.retain(r, clock.nowMillis() + duration, clock.nowMillis());
            }
        }

        @Override
        public void releaseKey(String id) {
            repeats.release(id);
        }

        @Override
        public void replayResult(String id) {
            ActiveRequest r = requests.get(id);
            if (r == null || r.duplicateOf == null) {
                return;
            }
            r.replayRequestedAtMillis = clock.nowMillis();
            if (!r.duplicateOf.completed()) {
                r.duplicateOf.addWaitingDuplicate(r);
            } else {
                byte[] result = r.duplicateOf.result();
                answerRepeat(r, result == null ? null : Unpooled.wrappedBuffer(result));
            }
        }

        @Override
        public void setHealth(boolean good, boolean stored) {
            moduleGood = good;
            tellHealth();
        }

        @Override
        public void setIdleTimeout(double after) {
            fronts.forEach(front -> front.setIdleTimeout(after));
        }

        @Override
        public void scheduleTimer(String token, double delay) {
            timers.after(delay, () -> timerDue(token));
        }

        @Override
        public void log(String text) {
            log.info("module: {}", text);
        }

        // The engine of this protocol stops no runs and calls nothing below. The settings say so,
        // and the module then
        // asks for none of these.

        @Override
        public void cancel(String id) {
            unsupported("halt");
        }

        @Override
        public void callDependency(String id, double within) {
            unsupported("call");
        }

        @Override
        public void skipDependency(String id) {
            unsupported("skip");
        }

        @Override
        public void advertiseLoad(double value) {
            loadLevel = value;
        }

        private void unsupported(String action) {
            log.warn("module asked for what this site does not allow: {}", action);
        }
    }
}
