package tinroad.core;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
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
 * Tests thirty gateways, each with the real overload controller, in front of thirty engines that
 * start cold under several times the load that they can take. Runs are counted where they arrive at
 * an engine, over the window that the settings define. An excess over the limit at that moment of
 * up to twice its square root, plus two, counts as chance, for each engine and for all together.
 */
class ColdStartFleetTest {
    private static final int GATEWAYS = 30;
    private static final int CORES = 6;
    private static final double WORK_MILLIS = 250;
    private static final Controller.OperatingLimits RULES =
            new Controller.OperatingLimits(100, 0.2, 16_000, 2500, 8, 1500);
    private static final double STEP_MILLIS = 5;

    private record Task(double atMillis, long sequence, Runnable run) {}

    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>(
                    Comparator.comparingDouble(Task::atMillis).thenComparingLong(Task::sequence));
    private double nowMillis = 1_000_000;
    private long lastSequence;

    /** The remaining work of a run: first on a core, then on the disk. */
    private static final class Run {
        private final double startedAtMillis;
        private double coreMillis;
        private double diskMillis;

        Run(double startedAtMillis, double coreMillis, double diskMillis) {
            this.startedAtMillis = startedAtMillis;
            this.coreMillis = coreMillis;
            this.diskMillis = diskMillis;
        }

        boolean isOnCore() {
            return coreMillis > 0;
        }

        /** Performs one step of the run. The disk is as fast on a cold server as on a warm one. */
        void progress(double coreStepMillis) {
            if (isOnCore()) {
                coreMillis -= coreStepMillis;
            } else {
                diskMillis -= STEP_MILLIS;
            }
        }

        boolean isOver() {
            return coreMillis <= 0 && diskMillis <= 0;
        }
    }

    /**
     * An engine with six cores that runs what is sent, slowly at first, and counts the runs that
     * arrive.
     */
    private final class ColdEngine implements Engine {
        private final Map<String, Run> running = new HashMap<>();
        private final ArrayDeque<Double> arrivals = new ArrayDeque<>();
        private final Random random;
        private double engineStartedAtMillis = Double.NEGATIVE_INFINITY;
        private Gateway gateway;
        private final double diskMillis;
        private double worstExcess;

        ColdEngine(long seed, double diskMillis) {
            this.diskMillis = diskMillis;
            random = new Random(seed);
        }

        /** Returns the present speed, as a share of that of a warm engine. */
        double speed() {
            return Math.min(
                    1,
                    RULES.coldStartSpeedShare()
                            + (1 - RULES.coldStartSpeedShare())
                                    * (nowMillis - engineStartedAtMillis)
                                    / RULES.slowStartMillis());
        }

        /** Returns how many runs may arrive within the window at the present speed. */
        double limit() {
            return (1 + (RULES.maxRunsPerCore() - 1) * speed()) * CORES;
        }

        @Override
        public Progress run(String id, String className, ByteBuf body) {
            running.put(
                    id,
                    new Run(
                            nowMillis,
                            -Math.log(1 - random.nextDouble()) * WORK_MILLIS,
                            diskMillis));
            arrivals.add(nowMillis);
            return Progress.SENT;
        }

        @Override
        public boolean requestGauges(String tag) {
            gateway.onGauges(
                    tag, new Gauges(Math.min(1, onCores() / (double) CORES), onCores(), 0.1, 10));
            return true;
        }

        private long onCores() {
            return running.values().stream().filter(Run::isOnCore).count();
        }

        void step() {
            double coreStepMillis =
                    speed() * Math.min(1, CORES / (double) Math.max(1, onCores())) * STEP_MILLIS;
            List<String> ended = new ArrayList<>();
            running.forEach(
                    (id, run) -> {
                        run.progress(coreStepMillis);
                        if (run.isOver()) {
                            ended.add(id);
                        }
                    });
            for (String id : ended.stream().sorted().toList()) {
                double startedAtMillis = running.remove(id).startedAtMillis;
                gateway.onRunEnded(
                        id, RunOutcome.DONE, nowMillis - startedAtMillis, Unpooled.EMPTY_BUFFER);
            }
            while (!arrivals.isEmpty()
                    && arrivals.peek() <= nowMillis - RULES.concurrencyWindowMillis()) {
                arrivals.poll();
            }
            worstExcess = Math.max(worstExcess, excess(arrivals.size(), limit()));
        }
    }

    /** Returns how far the arrivals exceed the limit, as a multiple of what counts as chance. */
    private static double excess(double arrivals, double limit) {
        return (arrivals - limit) / (2 * Math.sqrt(limit) + 2);
    }

    private static Site site(boolean coldStart) {
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
                        coldStart,
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

    private void runUntil(
            double endMillis, double requestsPerSecond, List<ColdEngine> engines, Random random) {
        while (nowMillis < endMillis) {
            nowMillis += STEP_MILLIS;
            while (!tasks.isEmpty() && tasks.peek().atMillis() <= nowMillis) {
                tasks.poll().run().run();
            }
            engines.forEach(ColdEngine::step);
            for (ColdEngine engine : engines) {
                if (random.nextDouble() < requestsPerSecond * STEP_MILLIS / 1000) {
                    String id = String.format("%016x", ++lastSequence);
                    engine.gateway.handle(
                            new IncomingRequest(
                                    id,
                                    nowMillis - random.nextInt(50),
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
     * Starts the fleet cold in three ways: the settings state that the server was just started;
     * only the engine reports so about itself; or engines restart under gateways that keep running.
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
    void sendsNoColdEngineMoreThanItsLimit(
            long seed,
            boolean settingsStateColdStart,
            boolean onlyEnginesRestart,
            double diskMillis) {
        Random random = new Random(seed);
        List<ColdEngine> engines = new ArrayList<>();
        for (int i = 0; i < GATEWAYS; i++) {
            ColdEngine engine = new ColdEngine(seed * 1000 + i, diskMillis);
            engine.gateway =
                    new Gateway(
                            site(settingsStateColdStart),
                            seed + i,
                            () -> nowMillis,
                            (ms, task) -> tasks.add(new Task(nowMillis + ms, lastSequence++, task)),
                            engine,
                            OverloadController::new,
                            NOPLogger.NOP_LOGGER);
            engines.add(engine);
        }
        if (onlyEnginesRestart) {
            engines.forEach(e -> e.gateway.onAttached(false, 1e6));
            runUntil(nowMillis + 20_000, 40, engines, random);
            engines.forEach(
                    e -> {
                        e.gateway.onDetached();
                        e.running.clear();
                        e.arrivals.clear();
                        e.worstExcess = 0;
                    });
        }
        engines.forEach(
                e -> {
                    e.engineStartedAtMillis = nowMillis;
                    e.gateway.onAttached(true, 0);
                    e.gateway.onCaughtUp();
                });
        double worstFleetExcess = 0;
        for (double endMillis = nowMillis + RULES.slowStartMillis() + 4000;
                nowMillis < endMillis; ) {
            runUntil(nowMillis + 100, 60, engines, random);
            worstFleetExcess =
                    Math.max(
                            worstFleetExcess,
                            excess(
                                    engines.stream().mapToInt(e -> e.arrivals.size()).sum(),
                                    engines.stream().mapToDouble(ColdEngine::limit).sum()));
        }
        double worstExcess = engines.stream().mapToDouble(e -> e.worstExcess).max().orElseThrow();
        assertTrue(
                worstExcess <= 1,
                "an engine exceeded its limit by " + worstExcess + " times what counts as chance");
        assertTrue(
                worstFleetExcess <= 1,
                "all engines together exceeded their limit by "
                        + worstFleetExcess
                        + " times what counts as chance");
        assertTrue(
                engines.stream().mapToInt(e -> e.arrivals.size()).sum() > GATEWAYS * CORES,
                "the engines serve in the end");
    }
}
