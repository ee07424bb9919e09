package tinroad.core;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.slf4j.helpers.NOPLogger;
import tinroad.config.Site;
import tinroad.overload.Controller;
import tinroad.overload.Controller.Gauges;
import tinroad.overload.OverloadController;

/**
 * Thirty gateways, each with the real module, before thirty engines that start cold under several
 * times the load that they bear. What reaches an engine is counted where it arrives: all that any
 * process orders, in each span that the settings name. Beyond what they allow there at that moment
 * only two roots and two count as chance, for each engine and for all of them together.
 */
class ColdFleetTest {
    private static final int GATEWAYS = 30;
    private static final int CORES = 6;
    private static final double WORK = 250;
    private static final Controller.Rules RULES =
            new Controller.Rules(100, 0.2, 16_000, 2500, 8, 1500);
    private static final double STEP = 5;

    private record Task(double at, long order, Runnable run) {}

    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>(
                    Comparator.comparingDouble(Task::at).thenComparingLong(Task::order));
    private double now = 1_000_000;
    private long order;

    /** Six cores that run what they are told, slowly at first; counts what comes. */
    private final class ColdEngine implements Engine {
        private final Map<String, double[]> running = new HashMap<>();
        private final ArrayDeque<Double> came = new ArrayDeque<>();
        private final Random random;
        private double startedAt = Double.NEGATIVE_INFINITY;
        private Gateway gateway;
        private final double waits;
        private double worst;

        ColdEngine(long seed, double waits) {
            this.waits = waits;
            random = new Random(seed);
        }

        double warmth() {
            return Math.min(
                    1,
                    RULES.coldStartSpeed()
                            + (1 - RULES.coldStartSpeed())
                                    * (now - startedAt)
                                    / RULES.slowStartMillis());
        }

        double allowed() {
            return (1 + (RULES.concurrencyPerCore() - 1) * warmth()) * CORES;
        }

        @Override
        public Progress run(String id, String kind, ByteBuf body) {
            running.put(id, new double[] {-Math.log(1 - random.nextDouble()) * WORK, now, waits});
            came.add(now);
            return Progress.SENT;
        }

        @Override
        public boolean requestGauges(String tag) {
            gateway.onGauges(
                    tag, new Gauges(Math.min(1, onCores() / (double) CORES), onCores(), 0.1, 10));
            return true;
        }

        private long onCores() {
            return running.values().stream().filter(r -> r[0] > 0).count();
        }

        void step() {
            double rate = warmth() * Math.min(1, CORES / Math.max(1.0, onCores())) * STEP;
            List<String> over = new ArrayList<>();
            for (Iterator<Map.Entry<String, double[]>> it = running.entrySet().iterator();
                    it.hasNext(); ) {
                Map.Entry<String, double[]> run = it.next();
                // First the cores, then the disk, which is as fast on a cold server as on a warm
                // one.
                run.getValue()[run.getValue()[0] > 0 ? 0 : 2] -=
                        run.getValue()[0] > 0 ? rate : STEP;
                if (run.getValue()[0] <= 0 && run.getValue()[2] <= 0) {
                    over.add(run.getKey());
                }
            }
            for (String id : over.stream().sorted().toList()) {
                double since = running.remove(id)[1];
                gateway.onRunEnded(id, RunOutcome.DONE, now - since, Unpooled.EMPTY_BUFFER);
            }
            while (!came.isEmpty() && came.peek() <= now - RULES.concurrencyWindowMillis()) {
                came.poll();
            }
            worst = Math.max(worst, over(came.size(), allowed()));
        }
    }

    /** How far beyond what is allowed, in parts of what counts as chance. */
    private static double over(double came, double allowed) {
        return (came - allowed) / (2 * Math.sqrt(allowed) + 2);
    }

    private static Site site(boolean tellsCold) {
        Controller.Settings settings =
                new Controller.Settings(
                        List.of(
                                new Controller.RequestClass(
                                        1500,
                                        0,
                                        3700,
                                        1,
                                        0.2,
                                        Controller.Idempotency.IDEMPOTENT,
                                        0,
                                        false,
                                        0)),
                        List.of(),
                        new Controller.ObjectiveWeights(0.4, 0.3, 0.2, 0),
                        RULES,
                        new Controller.Dependency(Controller.DependencyKind.NONE, 0, 0, 0),
                        Controller.LoadHint.NONE,
                        Controller.CancellationMode.NONE,
                        CORES,
                        GATEWAYS,
                        10,
                        tellsCold,
                        false,
                        15000,
                        90_000,
                        4,
                        70,
                        0,
                        1000,
                        true,
                        false,
                        0.1,
                        5,
                        false);
        return new Site(
                settings,
                List.of("read"),
                List.of(),
                List.of("core_use", "on_cores", "heap_share", "links"));
    }

    private void until(double end, double perSecond, List<ColdEngine> engines, Random random) {
        while (now < end) {
            now += STEP;
            while (!tasks.isEmpty() && tasks.peek().at() <= now) {
                tasks.poll().run().run();
            }
            engines.forEach(ColdEngine::step);
            for (ColdEngine engine : engines) {
                if (random.nextDouble() < perSecond * STEP / 1000) {
                    String id = String.format("%016x", ++order);
                    engine.gateway.handle(
                            new IncomingRequest(
                                    id,
                                    now - random.nextInt(50),
                                    "read",
                                    "",
                                    random.nextInt(10),
                                    20,
                                    random.nextDouble(),
                                    null,
                                    Unpooled.EMPTY_BUFFER),
                            answer -> {});
                }
            }
        }
    }

    /**
     * Whether the settings tell that the server was just started, or only the engine; or engines
     * restart under gateways that live on.
     */
    @ParameterizedTest
    @CsvSource({
        "1,true,false,0",
        "2,true,false,400",
        "3,false,false,0",
        "4,false,false,400",
        "5,false,true,0",
        "6,false,true,400"
    })
    void noColdEngineGetsMoreThanItBears(
            long seed, boolean settingsTell, boolean engineAlone, double waits) {
        Random random = new Random(seed);
        List<ColdEngine> engines = new ArrayList<>();
        for (int i = 0; i < GATEWAYS; i++) {
            ColdEngine engine = new ColdEngine(seed * 1000 + i, waits);
            engine.gateway =
                    new Gateway(
                            site(settingsTell),
                            seed + i,
                            () -> now,
                            (ms, task) -> tasks.add(new Task(now + ms, order++, task)),
                            engine,
                            OverloadController::new,
                            NOPLogger.NOP_LOGGER);
            engines.add(engine);
        }
        if (engineAlone) {
            engines.forEach(e -> e.gateway.onAttached(false, 1e6));
            until(now + 20_000, 40, engines, random);
            engines.forEach(
                    e -> {
                        e.gateway.onDetached();
                        e.running.clear();
                        e.came.clear();
                        e.worst = 0;
                    });
        }
        engines.forEach(
                e -> {
                    e.startedAt = now;
                    e.gateway.onAttached(true, 0);
                    e.gateway.onCaughtUp();
                });
        double allOver = 0;
        for (double end = now + RULES.slowStartMillis() + 4000; now < end; ) {
            until(now + 100, 60, engines, random);
            allOver =
                    Math.max(
                            allOver,
                            over(
                                    engines.stream().mapToInt(e -> e.came.size()).sum(),
                                    engines.stream().mapToDouble(ColdEngine::allowed).sum()));
        }
        double worst = engines.stream().mapToDouble(e -> e.worst).max().orElseThrow();
        assertTrue(
                worst <= 1,
                "an engine got " + worst + " times what counts as chance beyond what it bears");
        assertTrue(
                allOver <= 1,
                "all engines got "
                        + allOver
                        + " times what counts as chance beyond what they bear");
        assertTrue(
                engines.stream().mapToInt(e -> e.came.size()).sum() > GATEWAYS * CORES,
                "they serve in the end");
    }
}
