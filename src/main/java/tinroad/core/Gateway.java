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
import tinroad.Controller;
import tinroad.Controller.ClassAt;
import tinroad.Controller.Gauges;
import tinroad.Controller.Outcome;
import tinroad.Controller.RequestClass;
import tinroad.Controller.Semantics;
import tinroad.Controller.Settings;
import tinroad.Controller.TenantAt;
import tinroad.catalog.Catalog;
import tinroad.catalog.Delta;
import tinroad.config.Site;
import tinroad.recovery.Comeback;
import tinroad.recovery.Memory;

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

    private double catalogSince;
    private int changesUntold;
    private String refusal;
    private double refusedAt;
    private final Reconfiguration reconfiguration;
    private final PlacesInHand classPlaces = new PlacesInHand();
    private final PlacesInHand tenantPlaces = new PlacesInHand();

    /** Names by place; of a class that came later, from its first request on. */
    private final List<String> classNames;

    /** What came in force before the module began, by place: it is told once it begins. */
    private final Map<Integer, ClassAt> earlyClasses = new LinkedHashMap<>();

    private final Map<Integer, TenantAt> earlyTenants = new LinkedHashMap<>();

    /** All requests that are unanswered or may still run. */
    private final Map<String, Request> requests = new LinkedHashMap<>();

    /** Ids that ran, until no honest caller can name them any more: none is ever run twice. */
    private final LinkedHashMap<String, Double> ran = new LinkedHashMap<>();

    private final Map<String, String> waitingTimers = new HashMap<>();
    private final Repeats repeats;

    /** Decided to run while the link was down; written when it is back. */
    private final ArrayDeque<Request> unsent = new ArrayDeque<>();

    /** Events that an action caused; the module hears them after the event that it is handling. */
    private final ArrayDeque<Runnable> followUps = new ArrayDeque<>();

    private final List<Front> fronts = new ArrayList<>();
    private HealthListener healthListener = good -> {};
    private final Figures figures;

    /** The longest deadline, and the quickest aim, that any class was ever told with. */
    private double farOff = FAR_OFF;

    private double quickest = Double.MAX_VALUE;
    private Comeback comeback;
    private Memory memory = Memory.NONE;
    private Map<String, Memory.Recalled> recalled = Map.of();
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
    private boolean replaced;

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

    private volatile double aliveAt = Double.POSITIVE_INFINITY;
    private double leaveAt;
    private long timerTags;

    /**
     * The free value that goes out with answers and checks; NaN until the module has one to say.
     */
    private double level = Double.NaN;

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
        this.repeats = new Repeats(settings.freshFor());
        this.figures = new Figures(classNames);
        this.reconfiguration = new Reconfiguration(new Told(), timers, clock);
        catalogSince = clock.now();
        settings.classes().forEach(this::bounds);
        comeback = watch(false);
    }

    /** What lasted of earlier lives; called before the engine is there, or not at all. */
    public void remembers(Memory before) {
        memory = before;
        comeback = watch(before.distrusts());
        double now = clock.now();
        before.ran()
                .forEach(
                        (id, due) -> {
                            if (due > now) {
                                ran.put(id, due);
                            }
                        });
        if (before.evacuated()) {
            evacuate();
        }
    }

    private Comeback watch(boolean distrusts) {
        return new Comeback(clock.now(), settings.cores(), usualRun(), distrusts);
    }

    private double usualRun() {
        return USUAL_RUN * (quickest == Double.MAX_VALUE ? 1 : quickest);
    }

    private void bounds(RequestClass spec) {
        farOff = Math.max(farOff, spec.deadline());
        quickest = Math.min(quickest, spec.aim());
    }

    /**
     * A moment at which this process worked, and before which nothing can have been left unheard;
     * any thread may ask. Guards against a notice that came while all of the process was set aside:
     * it is seen later than it came. The older of two moments, as the latest may lie between the
     * end of the stall and the notice.
     */
    public double aliveAt() {
        return aliveAt;
    }

    /** How it comes back. */
    public Comeback comeback() {
        return comeback;
    }

    /** The time now, in Unix ms. */
    public double now() {
        return clock.now();
    }

    /** Where the memory of earlier lives is from. */
    public Memory memory() {
        return memory;
    }

    /** What of earlier lives this one began with, by name. */
    public Map<String, Memory.Recalled> recalled() {
        return recalled;
    }

    /** What this life has learned, by name; empty before the engine was there. */
    public Map<String, Controller.Known> learned() {
        Map<String, Controller.Known> named = new LinkedHashMap<>();
        if (started) {
            controller
                    .learned()
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
    public Map<String, Double> ranIds() {
        Map<String, Double> all = new LinkedHashMap<>(ran);
        requests.values().stream()
                .filter(r -> r.progress != Progress.NOT_SENT)
                .forEach(r -> all.put(r.id, r.due));
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
        Catalog.Route route = lasting == null ? null : catalog.route(lasting);
        return route != null && route.place() == place
                ? name.substring(0, dot + 1) + route.name()
                : null;
    }

    private void restore(boolean cold) {
        if (memory == Memory.NONE) {
            return;
        }
        recalled = memory.recall(learned(), clock.now());
        Map<String, Controller.Known> known = new LinkedHashMap<>();
        controller.learned().keySet().stream()
                .filter(name -> recalled.containsKey(withClass(name)))
                .forEach(name -> known.put(name, recalled.get(withClass(name)).known()));
        if (!known.isEmpty()) {
            controller.restore(known, cold);
            recalled.forEach(
                    (name, r) ->
                            log.debug(
                                    "remembered: {} = {}, of life {}, {} s old",
                                    name,
                                    r.known().value(),
                                    r.life(),
                                    Math.round(r.age() / 1000)));
        }
        memory.begun(learned());
    }

    /** Adds a front; all are added before the first request. */
    public void add(Front front) {
        fronts.add(front);
    }

    /** Sets who hears of the health; called once, before any request. */
    public void onHealth(HealthListener listener) {
        healthListener = listener;
    }

    /** The free value that every answer and check carries from now on; NaN for none. */
    public double level() {
        return level;
    }

    /** What a health check is told. */
    public boolean healthy() {
        return healthy;
    }

    /** Whether every request that was read has its answer. */
    public boolean allAnswered() {
        return inHand() == 0;
    }

    /** How many requests were read and have no answer yet. */
    public int inHand() {
        return (int) requests.values().stream().filter(r -> !r.answered).count();
    }

    /** What is in force: all classes and tenants. */
    public Catalog catalog() {
        return catalog;
    }

    /** Since when, in Unix ms. */
    public double catalogSince() {
        return catalogSince;
    }

    /** How many later versions are known that are not in force yet. */
    public int catalogsWaiting() {
        return reconfiguration.waiting() + changesUntold;
    }

    /**
     * How long the longest slice of the last change took, in ms: so long an event had to wait for
     * it.
     */
    public double longestSlice() {
        return reconfiguration.longestSlice();
    }

    /** So many later versions are known whose change it was not told of yet. */
    public void changesUntold(int versions) {
        changesUntold = versions;
    }

    /** Later settings were refused, for this reason: what is in force stays. */
    public void changeRefused(String reason) {
        refusal =
                reason.length() <= LONGEST_REFUSAL
                        ? reason
                        : reason.substring(0, LONGEST_REFUSAL) + "...";
        refusedAt = clock.now();
    }

    /** Why later settings were refused last; null where none ever were. */
    public String lastRefusal() {
        return refusal;
    }

    /** When, in Unix ms. */
    public double refusedAt() {
        return refusedAt;
    }

    // --- changes of classes and tenants ---

    /**
     * A later version of the catalog, with what it changes of the one told before: it comes in
     * force at one instant, a little later. {@code end} hears whether it did; where the module
     * failed it did not, and what was in force stays. A drain hinders nothing of it, and the end of
     * the process drops what is not in force yet.
     */
    public void change(Catalog next, Delta delta, Consumer<Boolean> end) {
        reconfiguration.add(next, delta, end);
    }

    /**
     * Sets who hears of the places, of classes and of tenants, that were removed and that nothing
     * in hand names any more.
     */
    public void onFree(Consumer<int[]> classes, Consumer<int[]> tenants) {
        classPlaces.onFree(classes);
        tenantPlaces.onFree(tenants);
    }

    /** What it has done so far. */
    public Figures figures() {
        return figures;
    }

    // --- from the operators ---

    /**
     * Another process has taken over: this one leaves, and the gateway's health is no longer this
     * one's to tell.
     */
    public void replaced() {
        replaced = true;
    }

    /** Callers reach this process from now on. */
    public void opened() {
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
    public void request(Inbound in, Requester requester) {
        double now = clock.now();
        Catalog.Route route = catalog.route(in.kind());
        if (route == null) {
            // Guards the promise of an invalid one: its class is gone, and another try of it has
            // run.
            requester.answer(
                    repeats.ran(in.token()) ? Answer.failed(Progress.SENT) : Answer.invalid());
            return;
        }
        int tenant = tenantPlace(in.owner());
        if (tenant < 0
                || Math.abs(now - in.arrivedAt()) > farOff
                || requests.containsKey(in.id())
                || ran.containsKey(in.id())) {
            turnAway(route, requester, Answer.invalid());
            return;
        }
        RequestClass c = route.spec();
        // Guards against a caller's clock that runs ahead: an age is never negative, a due time
        // never later.
        double age = Math.max(0, now - in.arrivedAt());
        // Guards the one run of what ran while its class was a keyed one.
        boolean keyed = c.semantics() == Semantics.GUARDED || repeats.ran(in.token());
        // Without it nobody can tell whether it ran: no guess is made where the harm can't be
        // undone.
        if (keyed && in.token() == null) {
            turnAway(route, requester, Answer.invalid());
            return;
        }
        boolean told = settings.passesDeadline() && !Double.isNaN(in.waitMs());
        double due = now - age + (told ? Math.min(in.waitMs(), c.deadline()) : c.deadline());
        Request request = new Request(in, route, tenant, due, keyed, requester);
        request.repeats = repeats.find(request, now);
        if (Repeats.conflicts(request, request.repeats)) {
            turnAway(route, requester, Answer.invalid());
            return;
        }
        // Guards the module's averages against what was due before it was read: nobody waits for
        // it.
        if (!started || now >= due || (keyed && request.repeats == null && repeats.full())) {
            turnAway(
                    route,
                    requester,
                    request.mayHaveRun() ? Answer.failed(Progress.SENT) : Answer.refused(0, false));
            return;
        }
        takeIn(request);
        String repeated = request.repeats == null ? null : request.repeats.id;
        double toldAge = whileDraining(now, age);
        tell(
                () ->
                        controller.request(
                                now,
                                new Controller.Request(
                                        in.id(),
                                        route.place(),
                                        tenant,
                                        in.caller(),
                                        in.memoryKb(),
                                        told ? due : 0,
                                        toldAge,
                                        in.rank(),
                                        0,
                                        in.key(),
                                        repeated,
                                        in.resent(),
                                        c.semantics() != Semantics.FREE)));
        request.ownBody();
        comeback.asked(
                !request.answered
                        || request.progress != Progress.NOT_SENT
                        || request.repeats != null);
    }

    /**
     * The age that the module hears. Guards the drain rule against a request that began to arrive
     * before the grace was over and was whole only after it: it reached the machine with its last
     * byte, and that is no earlier than anything but its reading.
     */
    private double whileDraining(double now, double age) {
        double over = now - drainedAt - settings.rules().drainGrace();
        return draining && over > 0 ? Math.max(0, Math.min(age, over - 1)) : age;
    }

    /**
     * The tenant's place; where there are no tenants all is that of the first; negative where it is
     * none of them.
     */
    private int tenantPlace(String owner) {
        if (catalog.tenants() == 0) {
            return 0;
        }
        Catalog.Account account = catalog.tenant(owner);
        return account == null ? -1 : account.place();
    }

    private void takeIn(Request r) {
        int place = r.route.place();
        while (classNames.size() <= place) {
            classNames.add(null);
        }
        classNames.set(place, r.route.name());
        classPlaces.take(place);
        tenantPlaces.take(r.tenant);
        requests.put(r.id, r);
    }

    /** It is in hand no more; false where it was not. */
    private boolean letGo(Request r) {
        if (!requests.remove(r.id, r)) {
            return false;
        }
        double now = clock.now();
        classPlaces.release(r.route.place(), now);
        tenantPlaces.release(r.tenant, now);
        return true;
    }

    /** The answer to a request that never enters the table. */
    private void turnAway(Catalog.Route route, Requester requester, Answer answer) {
        figures.answered(route.place(), route.name(), answer.kind());
        requester.answer(answer);
    }

    /**
     * Nobody waits for this request any more, so far as its requester knows. While it is held it
     * fails and leaves the hold; what was sent to run can't be stopped, and is answered when it
     * ends.
     */
    public void withdraw(String id, Requester requester) {
        Request r = requests.get(id);
        // Guards the request of another caller under the same id.
        if (r == null || r.requester != requester || r.progress != Progress.NOT_SENT) {
            return;
        }
        boolean told = unsent.contains(r);
        finish(r, Answer.failed(Progress.NOT_SENT));
        if (!told) {
            tell(() -> controller.gone(clock.now(), id));
        }
    }

    // --- from the engine ---

    @Override
    public void attached(boolean fresh, double startedAgo) {
        double engineStart = clock.now() - startedAgo;
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
            comeback.engine(clock.now(), fresh);
            tell(
                    () -> {
                        controller.start(clock.now(), seed, settings);
                        // First: a memory is of the classes that the module begins with.
                        restore(fresh);
                        if (!earlyClasses.isEmpty() || !earlyTenants.isEmpty()) {
                            controller.stage(
                                    List.copyOf(earlyClasses.values()),
                                    List.copyOf(earlyTenants.values()));
                            controller.commit(clock.now());
                            earlyClasses.clear();
                            earlyTenants.clear();
                        }
                    });
            // Guards against a notice to leave that came before the engine: the module has to know
            // it too.
            if (draining) {
                tell(() -> controller.drain(drainedAt, leaveAt));
            }
            return;
        }
        log.info(
                "engine attached again{}",
                anotherEngine ? ": another one, up for " + Math.round(startedAgo) + " ms" : "");
        comeback.engine(clock.now(), anotherEngine);
        doubtRuns();
        // A copy: guards against turning round here while the link breaks anew, which puts each one
        // back.
        List<Request> waiting = List.copyOf(unsent);
        unsent.clear();
        waiting.forEach(this::send);
    }

    @Override
    public void detached() {
        log.warn("engine link lost: {} requests in hand", requests.size());
        doubtRuns();
    }

    private void doubtRuns() {
        requests.values().forEach(r -> r.linkLost |= r.progress == Progress.SENT);
    }

    /**
     * Repeats the orders that may have been lost with an earlier link. Guards against a lost run
     * that holds its place, and its caller, until it is due. Safe for every class, as {@link
     * Engine#run} says; what the engine still told of earlier links was read before, so hardly
     * anything but lost and running ones is repeated. Guards against an engine that was started
     * anew, which knows of no earlier run: to it nothing is repeated.
     */
    @Override
    public void caughtUp() {
        if (anotherEngine) {
            return;
        }
        for (Request r : List.copyOf(requests.values())) {
            if (r.linkLost && !r.answered && engine.run(r.id, r.kind(), r.body) == Progress.SENT) {
                r.linkLost = false;
            }
        }
    }

    @Override
    public void ended(String id, Engine.End end, double took, ByteBuf result) {
        Request r = requests.get(id);
        // Guards against a notice that comes twice, or for what was never sent.
        if (r == null || r.progress != Progress.SENT) {
            return;
        }
        // What the engine did not carry out never ran.
        r.progress = end == Engine.End.REJECTED ? Progress.NOT_SENT : Progress.RAN;
        conclude(r, end == Engine.End.DONE ? result : null);
        finish(r, end == Engine.End.DONE ? Answer.served(result) : Answer.failed(r.progress));
        letGo(r);
        if (end == Engine.End.DONE) {
            comeback.ended(clock.now(), took, USUAL_RUN * r.spec().aim());
        }
        // Guards a caller's id against others that name it first, with what the engine does not
        // know.
        if (end != Engine.End.REJECTED) {
            remember(r);
        }
        tell(
                () ->
                        controller.ended(
                                clock.now(),
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
    public void gauges(String tag, Gauges gauges) {
        lastGauges = gauges;
        gaugesAt = clock.now();
        fire(tag);
    }

    // --- drain ---

    /**
     * The notice to leave, which came at {@code noticedAt}: everything read is answered by {@code
     * leavingAt}. The time of the notice counts, not that of this call: what may still run hangs on
     * it.
     */
    public void drain(double noticedAt, double leavingAt) {
        if (draining) {
            return;
        }
        draining = true;
        drainedAt = noticedAt;
        leaveAt = leavingAt;
        comeback.draining(noticedAt);
        log.info(
                "draining: {} requests in hand, {} ms left",
                requests.size(),
                Math.round(leaveAt - clock.now()));
        if (started) {
            tell(() -> controller.drain(drainedAt, leaveAt));
        }
        tellHealth();
    }

    // --- answers ---

    /**
     * The one place where answers leave. Guards the rule of exactly one answer: a late or second
     * one is dropped here; and the promise of a refusal: what was sent to run fails instead.
     */
    private void finish(Request r, Answer answer) {
        if (r.answered) {
            return;
        }
        r.answered = true;
        r.dropBody();
        if (r.progress == Progress.NOT_SENT) {
            letGo(r);
            conclude(r, null);
            if (unsent.remove(r)) {
                tell(() -> controller.ended(clock.now(), r.id, 0, Outcome.IGNORED));
            }
        }
        Answer honest =
                answer.kind() == Answer.Kind.REFUSED && r.mayHaveRun()
                        ? Answer.failed(r.progress)
                        : answer;
        figures.answered(r.route.place(), r.kind(), honest.kind());
        r.requester.answer(honest);
    }

    /** A request came to its end: what repeats it is answered alike. */
    private void conclude(Request r, ByteBuf result) {
        for (Request repeat : repeats.conclude(r, result, clock.now())) {
            answerRepeat(repeat, result);
        }
    }

    private void answerRepeat(Request r, ByteBuf result) {
        finish(
                r,
                result == null
                        ? Answer.failed(Progress.NOT_SENT)
                        : Answer.served(result.duplicate()));
        tell(
                () ->
                        controller.ended(
                                clock.now(),
                                r.id,
                                clock.now() - r.reusedAt,
                                result == null ? Outcome.FAILED : Outcome.OK));
    }

    private void remember(Request r) {
        ran.put(r.id, r.due);
    }

    /**
     * Guards the due times where the module does not: while the process stalled, while the link is
     * down, or when the decision code failed. Also lets go of runs whose notice can't come any
     * more.
     */
    private void guard() {
        timers.after(GUARD_PERIOD, this::guard);
        double now = clock.now();
        aliveAt = ticked;
        ticked = now;
        for (Request r : List.copyOf(requests.values())) {
            if (!r.answered && now >= r.due) {
                finish(r, Answer.failed(r.progress));
            }
            // Guards against a RUN lost with its link: nobody will tell of it, and its place must
            // not stay taken.
            if (r.answered && r.linkLost && now >= r.due + LOST_RUN_KEPT && letGo(r)) {
                remember(r);
                conclude(r, null);
                tell(() -> controller.ended(clock.now(), r.id, 0, Outcome.IGNORED));
            }
        }
        ran.values().removeIf(due -> due < now);
        comeback.tick(now);
        repeats.expire(now);
        classPlaces.sweep(now);
        tenantPlaces.sweep(now);
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
        if (!engine.askGauges(tag)) {
            fire(tag);
        }
    }

    /** A timer fires with the gauges asked for, or without them once they are late. */
    private void fire(String tag) {
        String token = waitingTimers.remove(tag);
        if (token != null) {
            double now = clock.now();
            Gauges gauges = now - gaugesAt <= GAUGES_VALID ? lastGauges : NO_GAUGES;
            tell(() -> controller.timer(now, token, gauges));
        }
    }

    private void send(Request r) {
        RequestClass c = r.spec();
        if (!repeats.mayRun(r, c.keyWindow(), c.deadline(), clock.now())) {
            // Guards the rule of one run where the module does not: another try of it has run, or
            // is about to.
            failUnsent(r);
            return;
        }
        try {
            r.progress = engine.run(r.id, r.kind(), r.body);
        } catch (RuntimeException | OutOfMemoryError e) {
            // Guards the request, and its place in the module, against an order that can't even be
            // written: nothing has left.
            log.error("order not written: {}", e.toString());
            repeats.unsent(r);
            failUnsent(r);
            return;
        }
        if (r.progress == Progress.NOT_SENT) {
            repeats.unsent(r);
            unsent.add(r);
        } else {
            figures.handedOver();
        }
    }

    /** It is not ordered after all: it fails alone, and the module gets its place back. */
    private void failUnsent(Request r) {
        finish(r, Answer.failed(Progress.NOT_SENT));
        tell(() -> controller.ended(clock.now(), r.id, 0, Outcome.IGNORED));
    }

    private void tellHealth() {
        boolean next = moduleGood && !draining && !evacuated;
        if (next != healthy && !replaced) {
            healthy = next;
            log.info("health {}", next ? "good" : "bad");
            healthListener.health(next);
        }
    }

    /** What a change of classes and tenants means to the parts of this gateway. */
    private final class Told implements Reconfiguration.Target {
        @Override
        public boolean stage(List<ClassAt> classes, List<TenantAt> tenants) {
            for (ClassAt c : classes) {
                if (c.spec() != null) {
                    bounds(c.spec());
                }
            }
            return !started || done(() -> controller.stage(classes, tenants));
        }

        @Override
        public boolean commit(Catalog next) {
            if (started && !done(() -> controller.commit(clock.now()))) {
                return false;
            }
            catalog = next;
            catalogSince = clock.now();
            comeback.usualRun(usualRun());
            return true;
        }

        @Override
        public void unstage() {
            done(controller::unstage);
            log.error("settings stay as they were: the module failed at a change of them");
        }

        @Override
        public void settle(List<ClassAt> classes, List<TenantAt> tenants) {
            double now = clock.now();
            for (ClassAt c : classes) {
                if (c.spec() == null) {
                    classPlaces.remove(c.place(), now);
                }
                if (!started) {
                    earlyClasses.put(c.place(), c);
                }
            }
            for (TenantAt t : tenants) {
                if (t.spec() == null) {
                    tenantPlaces.remove(t.place(), now);
                }
                if (!started) {
                    earlyTenants.put(t.place(), t);
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
            Request r = requests.get(id);
            if (r == null || r.answered) {
                // Its answer has gone out: it must not run, and the module gets its place back.
                tell(() -> controller.ended(clock.now(), id, 0, Outcome.IGNORED));
            } else if (r.progress == Progress.NOT_SENT && !unsent.contains(r)) {
                send(r);
            }
        }

        @Override
        public void refuse(String id, double stayAway, boolean last) {
            // Guards the process that took over: advice to stay away would be heeded towards both.
            answer(id, Answer.refused(replaced ? 0 : stayAway, last));
        }

        @Override
        public void fail(String id) {
            answer(id, null);
        }

        private void answer(String id, Answer answer) {
            Request r = requests.get(id);
            if (r != null) {
                finish(r, answer == null ? Answer.failed(r.progress) : answer);
            }
        }

        @Override
        public void keep(String id, double duration) {
            Request r = requests.get(id);
            if (r != null) {
                repeats.keep(r, clock.now() + duration, clock.now());
            }
        }

        @Override
        public void forget(String id) {
            repeats.forget(id);
        }

        @Override
        public void reuse(String id) {
            Request r = requests.get(id);
            if (r == null || r.repeats == null) {
                return;
            }
            r.reusedAt = clock.now();
            if (!r.repeats.concluded()) {
                r.repeats.await(r);
            } else {
                byte[] result = r.repeats.result();
                answerRepeat(r, result == null ? null : Unpooled.wrappedBuffer(result));
            }
        }

        @Override
        public void health(boolean good, boolean stored) {
            moduleGood = good;
            tellHealth();
        }

        @Override
        public void idle(double after) {
            fronts.forEach(front -> front.idleAfter(after));
        }

        @Override
        public void timer(String token, double delay) {
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
        public void halt(String id) {
            unsupported("halt");
        }

        @Override
        public void call(String id, double within) {
            unsupported("call");
        }

        @Override
        public void skip(String id) {
            unsupported("skip");
        }

        @Override
        public void say(double value) {
            level = value;
        }

        private void unsupported(String action) {
            log.warn("module asked for what this site does not allow: {}", action);
        }
    }
}
