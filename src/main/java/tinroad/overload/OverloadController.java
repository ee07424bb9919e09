package tinroad.overload;

// The types, events and actions used here are in Controller.java, beside this file.

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The overload controller of one server: idle control, admission, hold and run, refusals, health,
 * guards. Decides from the settings, told at the start and by changes, and from the events of this
 * server alone.
 */
public final class OverloadController implements Controller {
    // --- tuned values; times in ms, the rest ratios ---
    /** The one repeating timer: fine enough to answer before a due time within the slack. */
    private static final double TICK = 20;

    /** Idle time of a calm server and the sweep's period, from the source's test pool. */
    private static final double IDLE_CALM = 5000;

    private static final double SWEEP = 1000;

    /** Floor of the idle time, in parts of the calm one: sooner, and the handshakes cost more. */
    private static final double IDLE_FLOOR = 0.2;

    /**
     * Part of the requests whose caller was here within IDLE_CALM that makes all of that time worth
     * it.
     */
    private static final double RETURNS_FULL = 0.5;

    /** Least idle time: a caller's answer and its next request may cross within this. */
    private static final double IDLE_LEAST = 100;

    /**
     * How fast the idle time falls with the excess over the baseline, and its growth a sweep when
     * calm.
     */
    private static final double IDLE_GAIN = 2;

    private static final double IDLE_REGROW = 1.25;

    /**
     * Averages: of run latency a sample, of the calm baselines a sample or sweep, of outcomes a
     * sample.
     */
    private static final double EWMA_RUN = 0.1;

    private static final double EWMA_CALM = 0.02;
    private static final double EWMA_OUTCOME = 0.2;

    /** Memory of the tenants' rates, and of what each class was asked and got. */
    private static final double RATE_SPAN = 3000;

    private static final double SERVED_SPAN = 20000;

    /**
     * A single sample may move a run average by this factor of itself at most: one giant is not a
     * trend.
     */
    private static final double SAMPLE_CAP = 4;

    /** Runs a core at the start, and the part of the told crowd that is never passed. */
    private static final double RUNS_PER_CORE = 1.25;

    private static final double CROWD_PART = 0.6;

    /** Cores count as full from this use on; more than this many a core wanting one is a crowd. */
    private static final double CORES_FULL = 0.92;

    private static final double CORES_CROWDED = 1.6;

    /**
     * Steps of the rank cut a tick of pressure and a tick of calm, and its top in parts of one
     * class.
     */
    private static final double CUT_RISE = 0.01;

    private static final double CUT_FALL = 0.004;
    private static final double CUT_TOP = 2;

    /** Share of its aim that a request's estimated answer may take, for the spread of run times. */
    private static final double ADMIT_PART = 0.65;

    /**
     * How much more of it, by the part of arrivals that are retries: elsewhere it would meet the
     * same.
     */
    private static final double ADMIT_JAM = 0.8;

    /**
     * A request in time is admitted beside fewer than this: one giant or hung run must not idle a
     * core.
     */
    private static final int ALWAYS = 2;

    /**
     * Served time of the runs under way over their classes' means that is still chance, for skewed
     * work.
     */
    private static final double STRETCH_CALM = 1.5;

    /** One run counts for so many of its class at most: a single giant is no slowdown. */
    private static final double STRETCH_CAP = 8;

    /** Waits this near, in parts of the deadline, are one. */
    private static final double WAIT_SAME = 0.01;

    /** Votes that make a wait a usual one, and the most that it keeps. */
    private static final double WAIT_KNOWN = 5;

    private static final double WAIT_VOTES = 20;

    /** Runs this much slower than calm are this server's own trouble. */
    private static final double SLOW_RATIO = 1.6;

    /** A run's expected time at the start, in parts of its aim, and what it weighs in samples. */
    private static final double FIRST_RUN = 0.25;

    private static final double FIRST_WEIGHT = 2;

    /**
     * A class this much better served than the worst is not counted as worst; asked this often, it
     * tells.
     */
    private static final double LAG_SPAN = 0.1;

    private static final double VALUE_SAMPLES = 10;

    /** Failed share of recent runs that shuts admission, and the share at which it reopens. */
    private static final double SICK_AT = 0.5;

    private static final double WELL_AT = 0.15;

    /**
     * Failed share over which checks hear of it: under it, leaving the list would lose what
     * succeeds.
     */
    private static final double OFF_AT = 0.9;

    /**
     * Arrivals grown by this are retries of what fails elsewhere, too; so long, in ms, they take to
     * tell.
     */
    private static final double OTHERS_FAIL = 1.5;

    private static final double OTHERS_TELL = 1000;

    /**
     * Nothing ended for this many mean runs on any core, which no single giant does: the work
     * hangs.
     */
    private static final double HANG_RUNS = 10;

    /** While shut, one probe is let in this often. */
    private static final double PROBE_GAP = 250;

    /**
     * Part of the memory that held work, runs and keys may fill; the rest is for what arrives
     * meanwhile.
     */
    private static final double MEMORY_PART = 0.92;

    private static final double RUN_MEMORY_PART = 0.85;

    /**
     * Part of this server's share of the calls below that it ever has in hand, those given up
     * included.
     */
    private static final double CALL_PART = 0.8;

    /**
     * This many times slower than usual: a run that is late counts as a giant, a call tells of too
     * many.
     */
    private static final double FAR_OVER = 2;

    /**
     * How far one call may raise the calm time of calls, so that a slow spell is not soon taken for
     * calm.
     */
    private static final double CALL_DRIFT = 0.002;

    /**
     * What a slow call leaves of the calls allowed at once; a quick one adds a whole one for all of
     * them.
     */
    private static final double CALL_CUT = 0.8;

    /**
     * A tenant is over its share this many spreads of chance beyond its quota and part beside
     * others.
     */
    private static final double OVER_SPREAD = 2.5;

    /** Part of the longest advice that load alone may give: all of it sets callers swinging. */
    private static final double LOAD_ADVICE = 0.5;

    /**
     * The same in the mean while shut, spread over the callers: told all alike they come as one.
     */
    private static final double SHUT_ADVICE = 0.4;

    /**
     * Marked retries beyond this part of the arrivals: others refuse too, so trying them again is
     * no use.
     */
    private static final double RESENT_GENERAL = 0.2;

    /** Requests are read this late, in parts of their aims: reads and handshakes eat the cores. */
    private static final double BEHIND = 0.1;

    /**
     * What a marked retry counts in the order: serving a fresh request saves all its further tries.
     */
    private static final double RESENT_PART = 0.5;

    /**
     * Requests that callers may have out here, in parts of what may run: some wait while others
     * run.
     */
    private static final double TOKEN_ROOM = 2;

    /** The level sent back moves in steps of this, so that it is not said anew at every tick. */
    private static final double SAY_STEP = 0.05;

    private enum State {
        HELD,
        JOINED,
        RUNNING,
        AT_CALL
    }

    /** One request in hand. */
    private static final class Work {
        final String id;

        /** What it came under, whatever has changed since. */
        final RequestClass spec;

        final ClassStatistics stats;
        final int tenant;
        final Tenant quota;
        final int caller;
        final double kb;
        final double arrived;
        final double due;
        final double aimAt;
        final double rank;
        final boolean resent;
        final double work;
        State state = State.HELD;
        boolean answered;
        boolean ran;
        boolean kept;
        boolean calling;
        double servedAtStart;
        double leftAt;
        double leftCoreAt;
        double away;

        Work(
                Request r,
                RequestClass c,
                ClassStatistics s,
                Tenant t,
                double nowMillis,
                boolean told,
                double spent) {
            id = r.id();
            spec = c;
            stats = s;
            tenant = r.tenantSlot();
            quota = t;
            caller = r.caller();
            kb = r.memoryKb();
            arrived = nowMillis - r.ageMillis();
            due =
                    told && r.deadlineAtMillis() > 0
                            ? r.deadlineAtMillis()
                            : arrived + c.deadlineMillis();
            double aim =
                    Math.min(
                            c.deadlineMillis(),
                            c.objectiveMillis() + c.objectivePerWork() * r.workMillis());
            aimAt = Math.min(due, arrived + aim - spent);
            rank = r.priority();
            resent = r.retry();
            work = r.workMillis();
        }
    }

    private final Actions act;
    private Settings set;
    private final Map<String, Work> all = new LinkedHashMap<>();
    private final List<Work> held = new ArrayList<>();
    private final List<Work> callQueue = new ArrayList<>();
    private final ExpiringSet keys = new ExpiringSet();
    private final LearnedStatistics learned = new LearnedStatistics(FIRST_RUN, FIRST_WEIGHT);
    private ClassTable classes;
    private TenantTable tenants;
    private double allRates;
    private double startedAt;
    private double clock;
    private double coreTime;
    private int running;
    private int ranBefore;
    private int atCall;
    private double memory;
    private double limit;
    private double cut;
    private double said;
    private double resentPart;
    private double behind;
    private double keepOpen;
    private double stretch = 1;
    private double meanRunning;
    private double meanOnCores;
    private double idle;
    private double calmConnections;
    private double calmSweeps;
    private final LinkedHashMap<Integer, Double> lastSeen = new LinkedHashMap<>();
    private final RetryAfterSchedule returns = new RetryAfterSchedule();
    private double sickAt;
    private double ratesWhenSick;
    private double failing;
    private boolean sick;
    private boolean hung;
    private boolean good = true;
    private boolean shutLogged;
    private double lastEnd;
    private double lastProbe;
    private double probeCredit;
    private double lastSweep;
    private boolean missed;
    private int calls;
    private double callCalm;
    private double callTime;
    private double callLimit = Double.MAX_VALUE;
    private double lent;
    private final ArrayDeque<Double> lingering = new ArrayDeque<>();
    private double drainAt = Double.MAX_VALUE;
    private double leaveAt = Double.MAX_VALUE;

    /** A controller that acts through {@code actions}. */
    public OverloadController(Actions actions) {
        act = actions;
    }

    @Override
    public void start(double nowMillis, long seed, Settings settings) {
        set = settings;
        startedAt = nowMillis;
        clock = nowMillis;
        lastEnd = nowMillis;
        lastSweep = nowMillis;
        classes =
                new ClassTable(
                        settings.classes(),
                        learned,
                        SERVED_SPAN,
                        OverloadController::lag,
                        settings.weightByWork(),
                        nowMillis);
        tenants = new TenantTable(settings.tenants(), RATE_SPAN);
        limit = Math.max(1, settings.cores() * RUNS_PER_CORE);
        idle = longestIdle();
        act.setHealth(true, true);
        act.setIdleTimeout(idle);
        act.scheduleTimer("tick", TICK);
    }

    @Override
    public Map<String, Estimate> learnedEstimates() {
        return learned.export(classes);
    }

    @Override
    public void restore(Map<String, Estimate> known, boolean cold) {
        learned.restore(known, cold ? Math.max(0.01, set.rules().coldStartSpeed()) : 1, classes);
    }

    // --- changes of settings ---

    @Override
    public void stage(List<ClassSlot> changed, List<TenantSlot> quotas) {
        classes.stage(changed);
        tenants.stage(quotas);
    }

    @Override
    public void commit(double nowMillis) {
        advance(nowMillis);
        classes.commit();
        tenants.commit();
    }

    @Override
    public void discardStaged() {
        classes.unstage();
        tenants.unstage();
    }

    // --- admission ---

    @Override
    public void requestArrived(double nowMillis, Request r) {
        advance(nowMillis);
        RequestClass c = classes.at(r.classSlot());
        if (c == null) {
            act.reject(r.id(), 0, false);
            return;
        }
        ClassStatistics s = classes.ask(r.classSlot());
        Work w =
                new Work(
                        r,
                        c,
                        s,
                        tenants.at(r.tenantSlot()),
                        nowMillis,
                        set.requestsCarryDeadline(),
                        spent(nowMillis, r, c, s));
        all.put(w.id, w);
        memory += w.kb;
        tenants.ask(w.tenant, 1000 / RATE_SPAN, nowMillis);
        allRates += 1000 / RATE_SPAN;
        countReturn(nowMillis, r.caller());
        resentPart += EWMA_CALM * ((w.resent ? 1 : 0) - resentPart);
        behind += EWMA_RUN * (r.ageMillis() / c.objectiveMillis() - behind);
        if (r.duplicateOf() != null && c.idempotency() != Idempotency.NON_IDEMPOTENT) {
            join(w, c);
        } else if (!fits(w, c) || late(w, nowMillis) || !admitted(w, nowMillis)) {
            refuse(w);
        } else {
            keep(w, c, r, nowMillis);
            held.add(w);
            dispatch();
        }
    }

    /**
     * Guards against work that is late on arrival. Fresh tries of a class come with one of a few
     * waits, as many as callers have habits; a last try comes with what remains of the deadline. A
     * wait longer than all usual ones tells what earlier tries have spent of the deadline, a
     * shorter one what a server has spent. Where no wait is told, a marked retry has waited
     * elsewhere, or stayed away for as long as it was asked.
     */
    private double spent(double nowMillis, Request r, RequestClass c, ClassStatistics s) {
        if (!set.requestsCarryDeadline() || r.deadlineAtMillis() <= 0) {
            return r.retry() ? Math.min(c.objectiveMillis() / 2, set.maxRetryAfterMillis()) : 0;
        }
        double wait = r.deadlineAtMillis() - nowMillis + r.ageMillis();
        double next = Double.MAX_VALUE;
        boolean known = false;
        for (ClassStatistics.ClientTimeout p : s.waits) {
            if (Math.abs(wait - p.wait) <= WAIT_SAME * c.deadlineMillis()) {
                p.votes = Math.min(WAIT_VOTES, p.votes + (r.retry() ? 0 : 1));
                return 0;
            }
            known |= p.votes >= WAIT_KNOWN;
            next = p.votes >= WAIT_KNOWN && p.wait > wait ? Math.min(next, p.wait) : next;
        }
        if (!r.retry()) {
            LearnedStatistics.newWait(s, wait);
        }
        return known ? Math.max(0, Math.min(next, c.deadlineMillis()) - wait) : 0;
    }

    /**
     * How many callers come back while a calm server would keep their connection; the rest are
     * forgotten.
     */
    private void countReturn(double nowMillis, int caller) {
        Iterator<Double> oldest = lastSeen.values().iterator();
        while (oldest.hasNext() && oldest.next() < nowMillis - longestIdle()) {
            oldest.remove();
        }
        learned.returning +=
                EWMA_CALM * ((lastSeen.remove(caller) != null ? 1 : 0) - learned.returning);
        lastSeen.put(caller, nowMillis);
    }

    /**
     * A repeat of a kept request never runs: it gets the other's result, or fails where memory is
     * short.
     */
    private void join(Work w, RequestClass c) {
        if (memory > memoryPart(MEMORY_PART)) {
            answerFailed(w);
            return;
        }
        w.state = State.JOINED;
        act.replayResult(w.id);
    }

    private double memoryPart(double part) {
        return set.memoryKb() > 0 ? set.memoryKb() * part : Double.MAX_VALUE;
    }

    private boolean fits(Work w, RequestClass c) {
        double key = c.idempotency() == Idempotency.IDEMPOTENT_WITH_KEY ? set.keyKb() : 0;
        return memory + key <= memoryPart(MEMORY_PART);
    }

    /**
     * Guards the drain rule: nothing that arrived after the grace is run; nor what is due at once.
     */
    private boolean late(Work w, double nowMillis) {
        return w.arrived > drainAt + set.rules().drainGraceMillis() - set.clockStepMillis()
                || nowMillis >= dueGuard(w);
    }

    private boolean admitted(Work w, double nowMillis) {
        if (shut()) {
            return probe(nowMillis);
        }
        if (w.rank * tenantWorth(w) < cut) {
            return false;
        }
        double part = ADMIT_PART + ADMIT_JAM * resentPart;
        boolean meets = w.work <= w.aimAt - nowMillis && finish(w) <= (w.aimAt - nowMillis) * part;
        missed |= !meets && nowMillis < w.aimAt;
        int anyway = nowMillis > w.aimAt ? set.cores() / 2 : Math.min(set.cores(), ALWAYS);
        return meets || running + held.size() < anyway;
    }

    private boolean shut() {
        return sick || hung;
    }

    /** While shut: the part of the arrivals that would succeed, and a probe now and then. */
    private boolean probe(double nowMillis) {
        probeCredit += hung ? 0 : 1 - failing;
        if (running + held.size() >= set.cores()
                || (probeCredit < 1 && nowMillis - lastProbe < PROBE_GAP)) {
            return false;
        }
        probeCredit = Math.max(0, probeCredit - 1);
        lastProbe = nowMillis;
        return true;
    }

    /** Estimated time to the answer: the work ahead of this request, then its own run. */
    private double finish(Work w) {
        double own = run(w);
        double ahead = ahead(priority(w));
        double busy = Math.max((running + 1) * onCore(), set.cores()) / set.cores();
        ahead += ahead > 0 || running >= (int) limit() ? own / 2 : 0;
        double most = Math.max(1, limit() * onCore() / set.cores());
        return ahead * onCore() / set.cores() + own * Math.min(busy, most) + w.stats.away;
    }

    /** Runs of what is held and goes before this order. */
    private double ahead(double order) {
        return held.stream().filter(h -> priority(h) >= order).mapToDouble(this::run).sum();
    }

    private void keep(Work w, RequestClass c, Request r, double nowMillis) {
        double span = 0;
        if (c.idempotency() == Idempotency.IDEMPOTENT_WITH_KEY) {
            span = c.keyWindowMillis() + set.clockStepMillis();
        } else if (c.idempotency() == Idempotency.IDEMPOTENT
                && set.resultFreshMillis() > 0
                && r.resultKey() != null
                && memory + set.keyKb() <= memoryPart(RUN_MEMORY_PART)) {
            span = w.due - nowMillis + set.resultFreshMillis();
        }
        if (span > 0) {
            act.retainKey(w.id, span);
            w.kept = true;
            keys.put(w.id, nowMillis + span + set.clockStepMillis());
            memory += set.keyKb();
        }
    }

    // --- hold and run ---

    private void dispatch() {
        while (running < (int) limit() && running + atCall < (int) crowd()) {
            Work best = null;
            double first = 0;
            for (Work w : held) {
                double order = priority(w);
                if (runnable(w) && (best == null || order > first)) {
                    best = w;
                    first = order;
                }
            }
            if (best == null) {
                return;
            }
            start(best);
        }
    }

    /** The memory guard; a server that runs nothing may use the arrivals' headroom for one run. */
    private boolean runnable(Work w) {
        double part = running == 0 ? MEMORY_PART : RUN_MEMORY_PART;
        return memory + w.kb * (set.runMemoryFactor() - 1) <= memoryPart(part);
    }

    private void start(Work w) {
        held.remove(w);
        if (running == 0) {
            lastEnd = clock;
        }
        w.state = State.RUNNING;
        w.ran = true;
        w.servedAtStart = coreTime;
        running++;
        memory += w.kb * (set.runMemoryFactor() - 1);
        act.run(w.id);
    }

    /**
     * How many may run: follows the cores' use, more where runs wait off the cores; below the
     * crowd.
     */
    private double limit() {
        return Math.max(1, Math.min(limit / onCore(), crowd()));
    }

    /**
     * Part of a run's time on the cores; the rest waits for disk. Reads and handshakes may hide it.
     */
    private double onCore() {
        return meanRunning > 0
                ? Math.max(1 / set.rules().concurrencyPerCore(), meanOnCores / meanRunning)
                : 1;
    }

    private void measureOnCore(double onCores) {
        int runs = Math.min(running, ranBefore);
        if (runs > 0 && onCores >= 0) {
            meanRunning += EWMA_CALM * (runs - meanRunning);
            meanOnCores += EWMA_CALM * (Math.min(onCores, runs) - meanOnCores);
        }
    }

    /**
     * Part of the crowd survived, less while cold; what waits at calls may come back as part of it.
     */
    private double crowd() {
        Rules rules = set.rules();
        double warm = 1;
        if (set.coldStart() && rules.slowStartMillis() > 0) {
            double ramp = Math.min(1, (clock - startedAt) / rules.slowStartMillis());
            warm = rules.coldStartSpeed() + (1 - rules.coldStartSpeed()) * ramp;
        }
        return Math.max(
                1, set.cores() * (1 + (rules.concurrencyPerCore() - 1) * warm) * CROWD_PART);
    }

    /**
     * Worth to the goal by expected work; what can no longer meet its aim counts by its late share.
     * Retries count less: guards against jams that feed on their retries; may harm one that met
     * only full neighbours.
     */
    private double priority(Work w) {
        double run = run(w);
        double share = clock + run + w.stats.away > w.aimAt ? w.spec.lateWeightShare() : 1;
        return value(w) * share * tenantWorth(w) * (w.resent ? RESENT_PART : 1) / run;
    }

    /**
     * What one answer in time adds to the goal; the classes served worst share the worst one's
     * weight.
     */
    private double value(Work w) {
        double asked = classes.asked();
        double worth = classes.worth();
        double own = classes.worth(w.stats, w.spec);
        if (worth <= 0 || asked < VALUE_SAMPLES) {
            return own;
        }
        double share = classes.asked(w.stats) / asked;
        double bonus =
                share > 0
                        ? set.objectiveWeights().worstClass() * classes.lagShare(w.stats) / share
                        : 0;
        return (set.objectiveWeights().overall() + set.objectiveWeights().worstWindow())
                        * own
                        * asked
                        / worth
                + bonus;
    }

    /**
     * How far a class is behind that is served so, beside the worst: who is near shares its weight.
     */
    private static double lag(double ratio, double worst) {
        return Math.max(0, 1 - (ratio - worst) / LAG_SPAN);
    }

    /** Below 1 for a tenant whose rate and part of the arrivals are both over its share. */
    private double tenantWorth(Work w) {
        Tenant t = w.quota;
        if (t == null) {
            return 1;
        }
        double own = tenants.rate(w.tenant, clock);
        double quota = t.quotaPerSecond() / Math.max(1, set.servers());
        double beside = (allRates - own) * t.share() / Math.max(1e-9, 1 - t.share());
        double expected = Math.max(quota, beside) * RATE_SPAN / 1000;
        double fair = (expected + OVER_SPREAD * Math.sqrt(expected)) * 1000 / RATE_SPAN;
        double within = Math.min(1, fair / Math.max(1e-9, own));
        return within + (1 - within) * set.overQuotaWeight();
    }

    /** Expected run on one free core here. */
    private double run(Work w) {
        return stretch * usual(w);
    }

    private double usual(Work w) {
        return learned.run(w.stats, w.spec);
    }

    /**
     * Guards against a sudden slowdown, which ended runs show too late: what runs now has been
     * served for longer than its class takes. Some giants at once look the same, and are slow work
     * too.
     */
    private void measureStretch() {
        double served = 0;
        double usual = 0;
        for (Work w : all.values()) {
            if (w.state == State.RUNNING) {
                served += Math.min(coreTime - w.servedAtStart, STRETCH_CAP * usual(w));
                usual += usual(w);
            }
        }
        stretch = Math.max(1, usual > 0 ? served / (STRETCH_CALM * usual) : 1);
    }

    // --- what runs ---

    @Override
    public void completed(double nowMillis, String id, double elapsed, Outcome outcome) {
        advance(nowMillis);
        Work w = all.get(id);
        if (w == null) {
            return;
        }
        boolean ran = w.state == State.RUNNING || w.state == State.AT_CALL;
        if (ran && (outcome == Outcome.OK || outcome == Outcome.FAILED)) {
            learn(w, outcome == Outcome.OK, nowMillis);
        }
        if (outcome == Outcome.OK && !w.answered && nowMillis <= w.aimAt) {
            classes.serve(w.stats);
        }
        drop(w);
        dispatch();
        placeCalls(nowMillis);
    }

    private void learn(Work w, boolean ok, double nowMillis) {
        lastEnd = nowMillis;
        hung = false;
        failing += EWMA_OUTCOME * ((ok ? 0 : 1) - failing);
        sickAt = sick ? sickAt : nowMillis;
        ratesWhenSick = sick ? ratesWhenSick : rates();
        sick = failing > (sick ? WELL_AT : SICK_AT);
        if (!ok) {
            return;
        }
        classes.change(
                w.stats,
                w.spec,
                (s, c) -> {
                    s.away += EWMA_RUN * (w.away - s.away);
                    double sample = Math.max(1, coreTime - w.servedAtStart);
                    s.run = blend(learned.run(s, c), sample, Math.max(EWMA_RUN, 1 / ++s.runs));
                    if (running <= set.cores()
                            && (!set.coldStart()
                                    || clock - startedAt >= set.rules().slowStartMillis())) {
                        s.calm =
                                blend(
                                        learned.calm(s, c),
                                        sample,
                                        Math.max(EWMA_CALM, 1 / ++s.calmRuns));
                    }
                });
    }

    /**
     * The first samples count alike, so that no single one decides; later ones by the average's
     * weight.
     */
    private static double blend(double mean, double sample, double weight) {
        return mean + weight * (Math.min(sample, SAMPLE_CAP * mean) - mean);
    }

    @Override
    public void cancelled(double nowMillis, String id) {
        advance(nowMillis);
        Work w = all.get(id);
        if (w == null) {
            return;
        }
        w.answered = true;
        if (w.state == State.HELD || w.state == State.JOINED) {
            drop(w);
        } else if (w.state == State.RUNNING && w.spec.idempotency() == Idempotency.IDEMPOTENT) {
            stop(w);
        }
        dispatch();
    }

    private void stop(Work w) {
        if (set.cancellationMode() != CancellationMode.NONE && w.state == State.RUNNING) {
            act.cancel(w.id);
        }
    }

    /** Takes a request that is over out of all tables. */
    private void drop(Work w) {
        all.remove(w.id);
        memory -=
                w.kb
                        * (w.state == State.HELD || w.state == State.JOINED
                                ? 1
                                : set.runMemoryFactor());
        if (w.state == State.HELD) {
            held.remove(w);
        } else if (w.state == State.RUNNING) {
            running--;
        } else {
            callQueue.remove(w);
            atCall--;
            if (w.calling) {
                endCall(w, true);
            }
        }
        if (!w.ran && w.kept && keys.remove(w.id)) {
            act.releaseKey(w.id);
            memory -= set.keyKb();
        }
    }

    // --- calls below ---

    @Override
    public void dependencyCallNeeded(double nowMillis, String id) {
        advance(nowMillis);
        Work w = all.get(id);
        if (w == null || w.state != State.RUNNING) {
            return;
        }
        w.state = State.AT_CALL;
        w.leftAt = nowMillis;
        w.leftCoreAt = coreTime;
        running--;
        atCall++;
        callQueue.add(w);
        placeCalls(nowMillis);
        dispatch();
    }

    @Override
    public void dependencyCallCompleted(
            double nowMillis, String id, double elapsed, Outcome outcome) {
        advance(nowMillis);
        Work w = all.get(id);
        if (w == null || !w.calling) {
            return;
        }
        endCall(w, outcome == Outcome.TIMED_OUT || outcome == Outcome.RESET);
        RequestClass c = w.spec;
        learnCall(c, outcome == Outcome.OK, Math.max(1, elapsed));
        boolean unran = outcome == Outcome.QUEUE_FULL || outcome == Outcome.CONNECT_ERROR;
        if (outcome == Outcome.OK) {
            resume(w);
        } else if (c.degradedWeightShare() > 0) {
            skip(w);
        } else if (!w.answered
                && (unran || c.idempotency() == Idempotency.IDEMPOTENT)
                && nowMillis < w.aimAt) {
            callQueue.add(w);
        } else if (!w.answered) {
            answerFailed(w);
        }
        placeCalls(nowMillis);
        dispatch();
    }

    /** A call given up is in the dependency's hands for a while yet, and counts so long. */
    private void endCall(Work w, boolean givenUp) {
        w.calling = false;
        calls--;
        if (givenUp) {
            lingering.add(clock + set.dependency().lingerMillis());
        }
    }

    /** Fewer calls at once while they are slow or fail, more again while they are quick. */
    private void learnCall(RequestClass c, boolean ok, double elapsed) {
        double drift = Math.min(blend(callCalm, elapsed, EWMA_CALM), callCalm * (1 + CALL_DRIFT));
        callCalm = callCalm == 0 ? elapsed : drift;
        callTime = callTime == 0 ? elapsed : callTime + EWMA_OUTCOME * (elapsed - callTime);
        boolean slow =
                !ok || elapsed > Math.max(FAR_OVER * callCalm, FIRST_RUN * c.objectiveMillis());
        double most = Math.max(1, crowd());
        callLimit = Math.min(callLimit, most);
        callLimit =
                slow
                        ? Math.max(1, callLimit * CALL_CUT)
                        : Math.min(most, callLimit + 1 / callLimit);
    }

    private void resume(Work w) {
        w.state = State.RUNNING;
        w.away += clock - w.leftAt;
        w.servedAtStart += coreTime - w.leftCoreAt;
        running++;
        atCall--;
    }

    private void skip(Work w) {
        callQueue.remove(w);
        resume(w);
        act.skipDependency(w.id);
    }

    /**
     * Places what calls may be made; what cannot call in time goes on without, where that has a
     * worth.
     */
    private void placeCalls(double nowMillis) {
        for (Work w : List.copyOf(callQueue)) {
            RequestClass c = w.spec;
            double within = dueGuard(w) - nowMillis;
            if (c.degradedWeightShare() > 0) {
                double usual =
                        Math.max(FIRST_RUN * c.objectiveMillis(), FAR_OVER * FAR_OVER * callCalm);
                within = Math.min(Math.min(within, w.aimAt - run(w) / 2 - nowMillis), usual);
            }
            boolean fits = within > 0 && (calls == 0 || callTime < within);
            if (fits && mayCall(within)) {
                callQueue.remove(w);
                w.calling = true;
                calls++;
                act.callDependency(w.id, within);
            } else if (c.degradedWeightShare() > 0 && (!fits || nowMillis - w.leftAt >= TICK)) {
                skip(w);
            }
        }
    }

    /**
     * Guards the dependency: never over this server's share, calls given up included. Where the
     * share is less than one call, calls are paid for by the time they take.
     */
    private boolean mayCall(double within) {
        double share =
                set.dependency().kind() == DependencyKind.SHARED
                        ? set.dependency().concurrentCallQuota() * CALL_PART
                        : 0;
        boolean room = share >= 1 ? calls + lingering.size() + 1 <= share : share == 0;
        if (share > 0 && share < 1) {
            double reserved = (calls + 1) * (within + set.dependency().lingerMillis());
            room =
                    lent + reserved <= share * set.dependency().quotaWindowMillis() / 2
                            || (calls == 0 && lent <= 0);
        }
        return room && calls + 1 <= callLimit;
    }

    // --- answers ---

    /**
     * Turns away what never ran. Own trouble: go elsewhere. General load: do not retry; many marked
     * retries tell of it; where none are marked, any may have been elsewhere. Advice lasts as long
     * as the held work takes and this request waited: all callers gone for longer than that leaves
     * the cores idle.
     */
    private void refuse(Work w) {
        boolean closed = shut() || drainAt < Double.MAX_VALUE;
        boolean local = closed || classes.slowdown() > SLOW_RATIO;
        double most =
                set.sendsRetryAfter() ? set.maxRetryAfterMillis() * (local ? 1 : LOAD_ADVICE) : 0;
        double away =
                closed
                        ? most
                        : Math.min(most, ahead(0) * onCore() / set.cores() + clock - w.arrived);
        away = shut() && most > 0 ? returns.tell(w.caller, clock, SHUT_ADVICE * most, most) : away;
        w.answered = true;
        boolean general = !set.requestsMarkRetries() || w.resent || resentPart > RESENT_GENERAL;
        act.reject(w.id, away, !local && general);
        drop(w);
    }

    /** Fails a request; what runs is stopped where it can be, and stays counted until it ends. */
    private void answerFailed(Work w) {
        w.answered = true;
        act.fail(w.id);
        if (w.state == State.RUNNING) {
            stop(w);
        } else if (w.state != State.AT_CALL) {
            drop(w);
        } else {
            callQueue.remove(w);
        }
    }

    private double dueGuard(Work w) {
        double margin = TICK + 2 * set.clockStepMillis();
        return Math.min(w.due, leaveAt) - margin;
    }

    // --- ticks ---

    @Override
    public void beginDraining(double nowMillis, double at) {
        advance(nowMillis);
        drainAt = nowMillis;
        leaveAt = at;
        act.setHealth(false, true);
        good = false;
        idle = idleFloor();
        act.setIdleTimeout(idle);
        act.log("draining, leave in " + Math.round(at - nowMillis) + " ms");
    }

    @Override
    public void timerFired(double nowMillis, String token, Gauges gauges) {
        advance(nowMillis);
        act.scheduleTimer("tick", TICK);
        measureStretch();
        measureOnCore(gauges.runnable());
        watch(nowMillis);
        memory -= keys.expire(nowMillis) * set.keyKb();
        moveCut();
        if (nowMillis - lastSweep >= SWEEP) {
            lastSweep = nowMillis;
            sweep(gauges);
        }
        tellHealth();
        dispatch();
        placeCalls(nowMillis);
    }

    /**
     * Answers everything before it is due, and turns away held work that can no longer meet its
     * aim.
     */
    private void watch(double nowMillis) {
        hung =
                running >= Math.min(set.cores(), (int) limit())
                        && nowMillis - lastEnd > HANG_RUNS * meanRun();
        for (Work w : List.copyOf(all.values())) {
            if (w.answered) {
                continue;
            }
            if (w.state == State.HELD) {
                boolean misses = nowMillis + run(w) + w.stats.away > w.aimAt;
                missed |= misses;
                if (nowMillis >= dueGuard(w) || hung || (misses && running >= set.cores())) {
                    refuse(w);
                }
            } else if (nowMillis >= dueGuard(w)
                    || (nowMillis >= w.aimAt && cut > 0 && !held.isEmpty() && worthless(w))) {
                answerFailed(w);
            }
        }
    }

    /**
     * Late for sure, and may be stopped; what waits could still be in time. Guards against giants.
     */
    private boolean worthless(Work w) {
        RequestClass c = w.spec;
        boolean far =
                set.cancellationMode() != CancellationMode.NONE
                        && coreTime - w.servedAtStart > FAR_OVER * usual(w);
        return far
                && w.state == State.RUNNING
                && c.lateWeightShare() == 0
                && c.idempotency() == Idempotency.IDEMPOTENT;
    }

    /** Mean run that the runs under way should take, not stretched by how long they have taken. */
    private double meanRun() {
        double sum = 0;
        for (Work w : all.values()) {
            sum += w.state == State.RUNNING ? usual(w) : 0;
        }
        return sum / Math.max(1, running);
    }

    /** The rank cut: rises while runs fill the cores and work misses its aim, falls when calm. */
    private void moveCut() {
        boolean pressed = missed && running >= set.cores();
        double top = CUT_TOP / Math.max(1, classes.size());
        cut = pressed ? Math.min(top, cut + CUT_RISE) : Math.max(0, cut - CUT_FALL);
        missed = false;
        double closed = shut() ? 1 : cut;
        double level =
                switch (set.loadHint()) {
                    case NONE -> 0;
                    case MIN_RANK -> closed;
                    case TOKENS -> limit() * (1 - closed) * TOKEN_ROOM / Math.max(1, set.callers());
                    case BIAS -> 1 - closed;
                };
        if ((set.loadHint() != LoadHint.NONE && Math.abs(level - said) >= SAY_STEP)
                || (level == 0 && said > 0)) {
            said = level;
            act.advertiseLoad(level);
        }
    }

    /**
     * The design's sweep: idle time against the calm baselines; runs allowed against the cores'
     * use.
     */
    private void sweep(Gauges g) {
        double connections = g.connections();
        keepOpenInAJam();
        double excess = classes.slowdown() - 1;
        if (connections > 0 && clock - startedAt > longestIdle()) {
            if (calmSweeps == 0 || (running <= set.cores() && held.isEmpty())) {
                calmConnections +=
                        Math.max(EWMA_CALM, 1 / ++calmSweeps) * (connections - calmConnections);
            }
            excess = Math.max(excess, connections / calmConnections - 1);
        }
        double target = calmIdle() / (1 + IDLE_GAIN * Math.max(0, excess));
        double floor = idleFloor();
        boolean leaving = drainAt < Double.MAX_VALUE;
        double least = Math.max(floor, keepOpen);
        double next = leaving ? floor : Math.max(least, Math.min(target, idle * IDLE_REGROW));
        if (next != idle) {
            idle = next;
            act.setIdleTimeout(idle);
        }
        if (g.runnable() > CORES_CROWDED * set.cores()) {
            limit = Math.max(set.cores(), limit - 1);
        } else if (g.coreUtilization() < CORES_FULL && !held.isEmpty()) {
            limit =
                    Math.min(
                            limit + 1, set.cores() * set.rules().concurrencyPerCore() * CROWD_PART);
        }
    }

    /**
     * Guards against jams in which reads and handshakes eat the cores, whatever began them: each
     * connection closed is opened anew, while a full table turns callers away for free. While
     * requests are read late the idle time doubles up to the callers' own, then falls back slowly;
     * not while runs are slow themselves, when the design shrinks it. May harm where the callers
     * that hold the table are not those that ask.
     */
    private void keepOpenInAJam() {
        double longer = Math.max(longestIdle(), Math.min(set.clientIdleMillis(), 2 * keepOpen));
        keepOpen =
                behind > BEHIND && classes.slowdown() < 1 + 2 * BEHIND
                        ? longer
                        : keepOpen / IDLE_REGROW;
    }

    /**
     * Idle time when calm: where callers seldom come back, their connections are not worth keeping.
     */
    private double calmIdle() {
        return Math.max(
                Math.min(IDLE_LEAST / IDLE_FLOOR, longestIdle()),
                longestIdle() * Math.min(1, learned.returning / RETURNS_FULL));
    }

    private double idleFloor() {
        return Math.max(Math.min(IDLE_LEAST, longestIdle()), IDLE_FLOOR * calmIdle());
    }

    private double longestIdle() {
        return set.clientIdleMillis() > 0 ? Math.min(IDLE_CALM, set.clientIdleMillis()) : IDLE_CALM;
    }

    private void tellHealth() {
        if (shut() != shutLogged) {
            shutLogged = shut();
            act.log(
                    !shutLogged
                            ? "open again"
                            : (hung ? "nothing ends" : "runs fail") + ": admission shut");
        }
        boolean fails = sick && failing > OFF_AT && !othersFail();
        boolean now = !hung && !fails && drainAt == Double.MAX_VALUE;
        if (now != good) {
            good = now;
            act.setHealth(good, true);
        }
    }

    /**
     * Guards against a fleet that leaves the list as one when what lies behind all of them fails.
     */
    private boolean othersFail() {
        return clock - sickAt < OTHERS_TELL || rates() > OTHERS_FAIL * ratesWhenSick;
    }

    /** Arrivals a second, lately; soon after the start, since then. */
    private double rates() {
        return allRates / (1 - Math.exp(-Math.max(1, clock - startedAt) / RATE_SPAN));
    }

    /**
     * Moves the clock, the averages by time, and the work done by each core so far. Off the
     * callers' lists nothing comes that could prove a failing server well, so while nothing ends
     * the evidence fades.
     */
    private void advance(double nowMillis) {
        double passed = nowMillis - clock;
        if (passed <= 0) {
            return;
        }
        clock = nowMillis;
        ranBefore = running;
        coreTime += passed * Math.min(1, set.cores() / Math.max(1, running * onCore()));
        double fadeRate = Math.exp(-passed / RATE_SPAN);
        allRates *= fadeRate;
        failing *= sick && clock - lastEnd > RATE_SPAN ? fadeRate : 1;
        sick &= failing > WELL_AT;
        classes.advance(nowMillis);
        lent =
                Math.max(0, lent - passed * set.dependency().concurrentCallQuota() * CALL_PART / 2)
                        + passed * (calls + lingering.size());
        while (!lingering.isEmpty() && lingering.peek() <= nowMillis) {
            lingering.remove();
        }
    }
}
