package tinroad.core;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.function.Consumer;
import org.slf4j.helpers.NOPLogger;
import tinroad.config.Site;
import tinroad.overload.Controller;

/**
 * A gateway on a clock that the test moves, between an engine that records and a module that
 * follows a script.
 */
public final class Harness implements Clock, Engine {
    /** How long a request of the keyed class may come again, in ms. */
    public static final double WINDOW = 3000;

    private record Task(double at, long order, Runnable run) {}

    public final Script module = new Script();

    /** What was written to the engine: {@code RUN id kind body}. */
    public final List<String> runs = new ArrayList<>();

    public final List<String> gaugesAsked = new ArrayList<>();
    public boolean linkUp = true;

    /** The next order can't be written: no memory is left for it. */
    public boolean outOfMemory;

    public double now = 1_000_000;
    public final Gateway gateway;
    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>(
                    Comparator.comparingDouble(Task::at).thenComparingLong(Task::order));
    private long order;

    /**
     * With one free class {@code read} (deadline 1 s), one single-shot class {@code order} (2 s), a
     * tenant.
     */
    public Harness(double freshFor) {
        this(site(freshFor, false));
    }

    private Harness(Site site) {
        gateway =
                new Gateway(
                        site,
                        7,
                        this,
                        (ms, task) -> tasks.add(new Task(now + ms, order++, task)),
                        this,
                        actions -> {
                            module.act = actions;
                            return module;
                        },
                        NOPLogger.NOP_LOGGER);
    }

    /** An attached gateway that is healthy. */
    public static Harness started() {
        Harness harness = new Harness(0);
        harness.gateway.onAttached(false, 0);
        return harness;
    }

    /**
     * An attached gateway with a keyed class {@code pay} too (deadline 2 s, window {@link
     * #WINDOW}), whose callers tell their wait.
     */
    public static Harness keyed() {
        Harness harness = new Harness(site(0, true));
        harness.gateway.onAttached(false, 0);
        return harness;
    }

    private static Site site(double freshFor, boolean keyed) {
        Controller.Settings settings =
                new Controller.Settings(
                        keyed
                                ? List.of(
                                        cls(1000, Controller.Idempotency.IDEMPOTENT),
                                        cls(2000, Controller.Idempotency.NON_IDEMPOTENT),
                                        cls(2000, Controller.Idempotency.IDEMPOTENT_WITH_KEY))
                                : List.of(
                                        cls(1000, Controller.Idempotency.IDEMPOTENT),
                                        cls(2000, Controller.Idempotency.NON_IDEMPOTENT)),
                        List.of(new Controller.Tenant(100, 1)),
                        new Controller.ObjectiveWeights(1, 0, 0, 0),
                        new Controller.Rules(100, 1, 0, 2500, 8, 1500),
                        new Controller.Dependency(Controller.DependencyKind.NONE, 0, 0, 0),
                        Controller.LoadHint.NONE,
                        Controller.CancellationMode.NONE,
                        2,
                        1,
                        1,
                        false,
                        keyed,
                        15000,
                        9000,
                        4,
                        70,
                        freshFor,
                        1000,
                        true,
                        false,
                        0.1,
                        5,
                        false);
        return new Site(
                settings,
                keyed ? List.of("read", "order", "pay") : List.of("read", "order"),
                List.of("acme"),
                List.of("core_use", "on_cores", "heap_share", "links"));
    }

    private static Controller.RequestClass cls(double deadline, Controller.Idempotency semantics) {
        return new Controller.RequestClass(
                deadline / 2,
                0,
                deadline,
                1,
                0,
                semantics,
                semantics == Controller.Idempotency.IDEMPOTENT_WITH_KEY ? WINDOW : 0,
                false,
                0);
    }

    /** Moves the clock on, running what falls due on the way. */
    public void pass(double ms) {
        double end = now + ms;
        while (!tasks.isEmpty() && tasks.peek().at() <= end) {
            Task task = tasks.poll();
            now = Math.max(now, task.at());
            task.run().run();
        }
        now = end;
    }

    /** Runs the next task, if one is due now. */
    public boolean step() {
        if (tasks.isEmpty() || tasks.peek().at() > now) {
            return false;
        }
        tasks.poll().run().run();
        return true;
    }

    @Override
    public double nowMillis() {
        return now;
    }

    @Override
    public Progress run(String id, String kind, ByteBuf body) {
        if (outOfMemory) {
            outOfMemory = false;
            throw new OutOfMemoryError("direct memory");
        }
        if (!linkUp) {
            return Progress.NOT_SENT;
        }
        runs.add("RUN " + id + " " + kind + " " + body.toString(StandardCharsets.ISO_8859_1));
        return Progress.SENT;
    }

    @Override
    public boolean requestGauges(String tag) {
        gaugesAsked.add(tag);
        return linkUp;
    }

    /** A module whose decisions the test writes. */
    public static final class Script implements Controller {
        public Actions act;
        public Consumer<Request> onRequest = r -> {};

        /** What the module heard, one line an event. */
        public final List<String> heard = new ArrayList<>();

        public Request last;

        /**
         * Entries of each part of a change that it was told of, and how often one came in force.
         */
        public final List<Integer> staged = new ArrayList<>();

        public int commits;

        /**
         * Classes and tenants by place, as they are in force by what it was told since its start;
         * null: removed.
         */
        public final Map<Integer, RequestClass> classes = new HashMap<>();

        public final Map<Integer, Tenant> tenants = new HashMap<>();
        private final List<Runnable> prepared = new ArrayList<>();

        /** The next part of a change fails. */
        public boolean failsToStage;

        /** What it was given of an earlier life: run times by class. */
        public final Map<String, Double> restored = new HashMap<>();

        @Override
        public Map<String, Estimate> learnedEstimates() {
            return Map.of("run.0", new Estimate(125, 2));
        }

        @Override
        public void restore(Map<String, Estimate> known, boolean cold) {
            known.forEach((name, k) -> restored.put(name.replace("run.", ""), k.value()));
        }

        @Override
        public void start(double nowMillis, long seed, Settings settings) {
            act.setHealth(true, true);
            for (int i = 0; i < settings.classes().size(); i++) {
                classes.put(i, settings.classes().get(i));
            }
        }

        @Override
        public void stage(List<ClassSlot> parts, List<TenantSlot> quotas) {
            if (failsToStage) {
                failsToStage = false;
                throw new IllegalStateException("fails, as the test wants");
            }
            staged.add(parts.size() + quotas.size());
            parts.forEach(c -> prepared.add(() -> classes.put(c.slot(), c.spec())));
            quotas.forEach(t -> prepared.add(() -> tenants.put(t.slot(), t.spec())));
        }

        @Override
        public void commit(double nowMillis) {
            commits++;
            prepared.forEach(Runnable::run);
            prepared.clear();
        }

        @Override
        public void discardStaged() {
            prepared.clear();
        }

        @Override
        public void requestArrived(double nowMillis, Request request) {
            last = request;
            onRequest.accept(request);
        }

        @Override
        public void completed(double nowMillis, String id, double elapsed, Outcome outcome) {
            heard.add("ended " + id + " " + outcome);
        }

        @Override
        public void dependencyCallNeeded(double nowMillis, String id) {
            throw new AssertionError("nothing lies below");
        }

        @Override
        public void dependencyCallCompleted(
                double nowMillis, String id, double elapsed, Outcome outcome) {
            throw new AssertionError("nothing lies below");
        }

        @Override
        public void cancelled(double nowMillis, String id) {
            heard.add("gone " + id);
        }

        @Override
        public void beginDraining(double nowMillis, double leaveAt) {
            heard.add("drain " + Math.round(leaveAt - nowMillis));
            act.setHealth(false, true);
        }

        @Override
        public void timerFired(double nowMillis, String token, Gauges gauges) {
            heard.add("timer " + token + " " + gauges.runnable());
        }
    }

    /** A requester that notes each answer it gets as {@code KIND progress body}. */
    public static final class Answers implements ResponseSink {
        public final List<String> got = new ArrayList<>();

        @Override
        public void respond(Response a) {
            byte[] body = ByteBufUtil.getBytes(a.result());
            got.add(
                    (a.kind()
                                    + " "
                                    + a.progress()
                                    + " "
                                    + new String(body, StandardCharsets.ISO_8859_1))
                            .trim());
        }
    }
}
