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
import java.util.function.Function;
import org.slf4j.helpers.NOPLogger;
import tinroad.config.Site;
import tinroad.overload.Controller;
import tinroad.overload.OverloadController;

/**
 * A gateway on a clock that the test advances, with an engine that records its commands and an
 * overload controller that follows a script.
 */
public final class GatewayHarness implements Clock, Engine {
    /** The window of the keyed class, in ms. */
    public static final double KEY_WINDOW_MILLIS = 3000;

    private record Task(double at, long order, Runnable run) {}

    public final ScriptedController controller = new ScriptedController();

    /** The run commands sent to the engine: {@code RUN id class body}. */
    public final List<String> runs = new ArrayList<>();

    public final List<String> gaugesRequested = new ArrayList<>();
    public boolean linkUp = true;

    /** The next run command can't be written: no memory is left for it. */
    public boolean failNextRunOutOfMemory;

    public double now = 1_000_000;
    public final Gateway gateway;
    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>(
                    Comparator.comparingDouble(Task::at).thenComparingLong(Task::order));
    private long order;

    /**
     * A gateway that is not attached yet, with an idempotent class {@code read} (deadline 1 s), a
     * non-idempotent class {@code order} (2 s) and the tenant {@code acme}.
     *
     * @param freshFor how long results of reads may be replayed, in ms
     */
    public GatewayHarness(double freshFor) {
        this(site(freshFor, false));
    }

    private GatewayHarness(Site site) {
        gateway =
                newGateway(
                        site,
                        actions -> {
                            controller.actions = actions;
                            return controller;
                        });
    }

    private GatewayHarness(Site site, OverloadController[] overloadController) {
        gateway =
                newGateway(
                        site, actions -> overloadController[0] = new OverloadController(actions));
    }

    private Gateway newGateway(Site site, Function<Controller.Actions, Controller> factory) {
        return new Gateway(
                site,
                7,
                this,
                (ms, task) -> tasks.add(new Task(now + ms, order++, task)),
                this,
                factory,
                NOPLogger.NOP_LOGGER);
    }

    /**
     * The gateway of {@link #keyed}, not attached yet, that decides by itself; its controller is
     * put into the array.
     *
     * @param freshFor how long results of reads may be replayed, in ms
     */
    public static GatewayHarness deciding(
            double freshFor, OverloadController[] overloadController) {
        return new GatewayHarness(site(freshFor, true), overloadController);
    }

    /** An attached gateway that is healthy, with the classes of {@link #GatewayHarness(int)}. */
    public static GatewayHarness started() {
        GatewayHarness harness = new GatewayHarness(0);
        harness.gateway.onAttached(false, 0);
        return harness;
    }

    /**
     * An attached gateway that also has a keyed class {@code pay} (deadline 2 s, window {@link
     * #KEY_WINDOW_MILLIS}), and whose clients state their timeout.
     */
    public static GatewayHarness keyed() {
        GatewayHarness harness = new GatewayHarness(site(0, true));
        harness.gateway.onAttached(false, 0);
        return harness;
    }

    private static Site site(double freshFor, boolean keyed) {
        Controller.Settings settings =
                new Controller.Settings(
                        keyed
                                ? List.of(
                                        requestClass(1000, Controller.Idempotency.IDEMPOTENT),
                                        requestClass(2000, Controller.Idempotency.NON_IDEMPOTENT),
                                        requestClass(
                                                2000, Controller.Idempotency.IDEMPOTENT_WITH_KEY))
                                : List.of(
                                        requestClass(1000, Controller.Idempotency.IDEMPOTENT),
                                        requestClass(2000, Controller.Idempotency.NON_IDEMPOTENT)),
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

    private static Controller.RequestClass requestClass(
            double deadline, Controller.Idempotency semantics) {
        return new Controller.RequestClass(
                deadline / 2,
                0,
                deadline,
                1,
                0,
                semantics,
                semantics == Controller.Idempotency.IDEMPOTENT_WITH_KEY ? KEY_WINDOW_MILLIS : 0,
                false,
                0);
    }

    /** Advances the clock, running the tasks that become due on the way. */
    public void advance(double ms) {
        double end = now + ms;
        while (!tasks.isEmpty() && tasks.peek().at() <= end) {
            Task task = tasks.poll();
            now = Math.max(now, task.at());
            task.run().run();
        }
        now = end;
    }

    /** Runs the next task, if one is due now. */
    public boolean runNextDueTask() {
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
        if (failNextRunOutOfMemory) {
            failNextRunOutOfMemory = false;
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
        gaugesRequested.add(tag);
        return linkUp;
    }

    /** An overload controller whose decisions the test scripts. */
    public static final class ScriptedController implements Controller {
        public Actions actions;
        public Consumer<Request> onRequest = r -> {};

        /** The events that the controller got, one line each. */
        public final List<String> events = new ArrayList<>();

        public Request lastRequest;

        /** How many entries each staged part of a change had, and how often one was committed. */
        public final List<Integer> stagedEntries = new ArrayList<>();

        public int commits;

        /** Classes and tenants in force, by slot; null: removed. */
        public final Map<Integer, RequestClass> classes = new HashMap<>();

        public final Map<Integer, Tenant> tenants = new HashMap<>();
        private final List<Runnable> prepared = new ArrayList<>();

        /** The next call of {@link #stage} fails. */
        public boolean failNextStage;

        /** The restored statistics that it got: run times by class slot. */
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
            actions.setHealth(true, true);
            for (int i = 0; i < settings.classes().size(); i++) {
                classes.put(i, settings.classes().get(i));
            }
        }

        @Override
        public void stage(List<ClassSlot> parts, List<TenantSlot> quotas) {
            if (failNextStage) {
                failNextStage = false;
                throw new IllegalStateException("fails on purpose");
            }
            stagedEntries.add(parts.size() + quotas.size());
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
            lastRequest = request;
            onRequest.accept(request);
        }

        @Override
        public void completed(double nowMillis, String id, double elapsed, Outcome outcome) {
            events.add("ended " + id + " " + outcome);
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
            events.add("gone " + id);
        }

        @Override
        public void beginDraining(double nowMillis, double leaveAt) {
            events.add("drain " + Math.round(leaveAt - nowMillis));
            actions.setHealth(false, true);
        }

        @Override
        public void timerFired(double nowMillis, String token, Gauges gauges) {
            events.add("timer " + token + " " + gauges.runnable());
        }
    }

    /** Records each answer as {@code KIND progress body}. */
    public static final class ResponseRecorder implements ResponseSink {
        public final List<String> responses = new ArrayList<>();

        @Override
        public void respond(Response a) {
            byte[] body = ByteBufUtil.getBytes(a.result());
            responses.add(
                    (a.kind()
                                    + " "
                                    + a.progress()
                                    + " "
                                    + new String(body, StandardCharsets.ISO_8859_1))
                            .trim());
        }
    }
}
