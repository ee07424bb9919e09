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
 * overload controller whose decisions the test scripts.
 */
public final class GatewayHarness implements Clock, Engine {
    /** The window of the keyed class, in ms. */
    public static final double KEY_WINDOW_MILLIS = 3000;

    private record Task(double atMillis, long sequence, Runnable run) {}

    public final ScriptedController controller = new ScriptedController();

    /** The run commands sent to the engine: {@code RUN id class body}. */
    public final List<String> runs = new ArrayList<>();

    public final List<String> gaugesRequested = new ArrayList<>();
    public boolean linkUp = true;

    /** Whether the next run command can't be written because no memory is left for it. */
    public boolean failNextRunOutOfMemory;

    public double now = 1_000_000;
    public final Gateway gateway;
    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>(
                    Comparator.comparingDouble(Task::atMillis).thenComparingLong(Task::sequence));
    private long nextSequence;

    /**
     * Creates a gateway that is not attached yet, with an idempotent class {@code read} (deadline 1
     * s), a non-idempotent class {@code order} (2 s) and the tenant {@code acme}.
     *
     * @param resultReplayMillis how long results of reads may be replayed, in ms
     */
    public GatewayHarness(double resultReplayMillis) {
        this(site(resultReplayMillis, false));
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
                (millis, task) -> tasks.add(new Task(now + millis, nextSequence++, task)),
                this,
                factory,
                NOPLogger.NOP_LOGGER);
    }

    /**
     * Returns a gateway like that of {@link #keyed}, not attached yet, with the real overload
     * controller, which is put into the array.
     *
     * @param resultReplayMillis how long results of reads may be replayed, in ms
     */
    public static GatewayHarness withOverloadController(
            double resultReplayMillis, OverloadController[] overloadController) {
        return new GatewayHarness(site(resultReplayMillis, true), overloadController);
    }

    /**
     * Returns an attached gateway that is healthy, with the classes of {@link
     * #GatewayHarness(double)}.
     */
    public static GatewayHarness started() {
        GatewayHarness harness = new GatewayHarness(0);
        harness.gateway.onAttached(false, 0);
        return harness;
    }

    /**
     * Returns an attached gateway that also has a keyed class {@code pay} (deadline 2 s, window
     * {@link #KEY_WINDOW_MILLIS}), and whose clients state their timeout.
     */
    public static GatewayHarness keyed() {
        GatewayHarness harness = new GatewayHarness(site(0, true));
        harness.gateway.onAttached(false, 0);
        return harness;
    }

    private static Site site(double resultReplayMillis, boolean keyed) {
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
                        new Controller.OperatingLimits(100, 1, 0, 2500, 8, 1500),
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
                        resultReplayMillis,
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
            double deadlineMillis, Controller.Idempotency idempotency) {
        return new Controller.RequestClass(
                deadlineMillis / 2,
                0,
                deadlineMillis,
                1,
                0,
                idempotency,
                idempotency == Controller.Idempotency.IDEMPOTENT_WITH_KEY ? KEY_WINDOW_MILLIS : 0,
                false,
                0);
    }

    /** Advances the clock, running the tasks that become due on the way. */
    public void advance(double millis) {
        double endMillis = now + millis;
        while (!tasks.isEmpty() && tasks.peek().atMillis() <= endMillis) {
            Task task = tasks.poll();
            now = Math.max(now, task.atMillis());
            task.run().run();
        }
        now = endMillis;
    }

    /** Runs the next task, if one is due now. */
    public boolean runNextDueTask() {
        if (tasks.isEmpty() || tasks.peek().atMillis() > now) {
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
    public Progress run(String id, String className, ByteBuf body) {
        if (failNextRunOutOfMemory) {
            failNextRunOutOfMemory = false;
            throw new OutOfMemoryError("direct memory");
        }
        if (!linkUp) {
            return Progress.NOT_SENT;
        }
        runs.add("RUN " + id + " " + className + " " + body.toString(StandardCharsets.ISO_8859_1));
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

        /** The events that the controller received, one line each. */
        public final List<String> events = new ArrayList<>();

        public Request lastRequest;

        /** The number of entries in each staged part of a change. */
        public final List<Integer> stagedEntries = new ArrayList<>();

        /** How many times staged parts were committed. */
        public int commits;

        /** The classes in force, by slot; null for a removed class. */
        public final Map<Integer, RequestClass> classes = new HashMap<>();

        /** The tenants in force, by slot; null for a removed tenant. */
        public final Map<Integer, Tenant> tenants = new HashMap<>();

        private final List<Runnable> stagedUpdates = new ArrayList<>();

        /** Whether the next call of {@link #stage} fails. */
        public boolean failNextStage;

        /** The restored statistics that the controller received: run times by class slot. */
        public final Map<String, Double> restored = new HashMap<>();

        @Override
        public Map<String, Estimate> learnedEstimates() {
            return Map.of("run.0", new Estimate(125, 2));
        }

        @Override
        public void restore(Map<String, Estimate> estimates, boolean cold) {
            estimates.forEach(
                    (name, estimate) -> restored.put(name.replace("run.", ""), estimate.value()));
        }

        @Override
        public void start(double nowMillis, long seed, Settings settings) {
            actions.setHealth(true, true);
            for (int i = 0; i < settings.classes().size(); i++) {
                classes.put(i, settings.classes().get(i));
            }
        }

        @Override
        public void stage(List<ClassSlot> classSlots, List<TenantSlot> tenantSlots) {
            if (failNextStage) {
                failNextStage = false;
                throw new IllegalStateException("fails on purpose");
            }
            stagedEntries.add(classSlots.size() + tenantSlots.size());
            classSlots.forEach(c -> stagedUpdates.add(() -> classes.put(c.slot(), c.spec())));
            tenantSlots.forEach(t -> stagedUpdates.add(() -> tenants.put(t.slot(), t.spec())));
        }

        @Override
        public void commit(double nowMillis) {
            commits++;
            stagedUpdates.forEach(Runnable::run);
            stagedUpdates.clear();
        }

        @Override
        public void discardStaged() {
            stagedUpdates.clear();
        }

        @Override
        public void requestArrived(double nowMillis, Request request) {
            lastRequest = request;
            onRequest.accept(request);
        }

        @Override
        public void completed(double nowMillis, String id, double elapsedMillis, Outcome outcome) {
            events.add("ended " + id + " " + outcome);
        }

        @Override
        public void dependencyCallNeeded(double nowMillis, String id) {
            throw new AssertionError("no dependency is configured");
        }

        @Override
        public void dependencyCallCompleted(
                double nowMillis, String id, double elapsedMillis, Outcome outcome) {
            throw new AssertionError("no dependency is configured");
        }

        @Override
        public void cancelled(double nowMillis, String id) {
            events.add("gone " + id);
        }

        @Override
        public void beginDraining(double nowMillis, double shutdownAtMillis) {
            events.add("drain " + Math.round(shutdownAtMillis - nowMillis));
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
        public void respond(Response response) {
            byte[] body = ByteBufUtil.getBytes(response.result());
            responses.add(
                    (response.kind()
                                    + " "
                                    + response.progress()
                                    + " "
                                    + new String(body, StandardCharsets.ISO_8859_1))
                            .trim());
        }
    }
}
