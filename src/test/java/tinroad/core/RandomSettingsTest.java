package tinroad.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import net.jqwik.api.lifecycle.BeforeTry;
import org.slf4j.helpers.NOPLogger;
import tinroad.config.Site;
import tinroad.overload.Controller;
import tinroad.overload.Controller.Gauges;
import tinroad.overload.Controller.Idempotency;
import tinroad.overload.OverloadController;

/**
 * Tests the whole gateway with the real overload controller on random settings: classes with every
 * kind of idempotency, their names, limits, deadlines, windows and weights, tenants, cores, memory,
 * and the capabilities of the protocol. Whatever the settings are, each request gets one answer by
 * its deadline, nothing runs twice, nothing that ran is rejected as if it had not, nothing runs
 * that came after the grace period, and something is served.
 */
class RandomSettingsTest {
    private static final double LOAD_MILLIS = 12_000;
    private static final double STEP_MILLIS = 5;

    private record Task(double atMillis, long sequence, Runnable run) {}

    /** A request that was sent, with its answers and its run. */
    private static final class SentRequest {
        private final int classIndex;
        private final String idempotencyKey;
        private final double arrivedAtMillis;
        private final double deadlineAtMillis;
        private final List<Response.Kind> answers = new ArrayList<>();
        private double answeredAtMillis;
        private double ranAtMillis = Double.NaN;

        SentRequest(
                int classIndex,
                String idempotencyKey,
                double arrivedAtMillis,
                double deadlineAtMillis) {
            this.classIndex = classIndex;
            this.idempotencyKey = idempotencyKey;
            this.arrivedAtMillis = arrivedAtMillis;
            this.deadlineAtMillis = deadlineAtMillis;
        }
    }

    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>(
                    Comparator.comparingDouble(Task::atMillis).thenComparingLong(Task::sequence));
    private final Map<String, SentRequest> sentRequests = new HashMap<>();
    private final Map<String, Double> runEndsAtMillis = new HashMap<>();
    private final Map<String, Double> runStartedAtMillis = new HashMap<>();
    private double nowMillis = 5_000_000;
    private long lastSequence;
    private Random random;
    private Site site;
    private Gateway gateway;
    private double drainingSinceMillis = Double.POSITIVE_INFINITY;

    /** Resets the state, because all tries of the property share one object. */
    @BeforeTry
    void reset() {
        tasks.clear();
        sentRequests.clear();
        runEndsAtMillis.clear();
        runStartedAtMillis.clear();
        drainingSinceMillis = Double.POSITIVE_INFINITY;
    }

    private double between(double min, double max) {
        return min + random.nextDouble() * (max - min);
    }

    private static <T> T pick(List<T> values, Random random) {
        return values.get(random.nextInt(values.size()));
    }

    private Site randomSite() {
        int classes = 1 + random.nextInt(5);
        List<Controller.RequestClass> requestClasses = new ArrayList<>();
        for (int i = 0; i < classes; i++) {
            double deadlineMillis = between(300, 9000);
            Idempotency idempotency = pick(List.of(Idempotency.values()), random);
            requestClasses.add(
                    new Controller.RequestClass(
                            deadlineMillis * between(0.2, 0.9),
                            0,
                            deadlineMillis,
                            between(0.5, 9),
                            between(0, 0.5),
                            idempotency,
                            idempotency == Idempotency.IDEMPOTENT_WITH_KEY
                                    ? between(200, 20_000)
                                    : 0,
                            false,
                            0));
        }
        int tenants = random.nextInt(5);
        Controller.Settings settings =
                new Controller.Settings(
                        requestClasses,
                        IntStream.range(0, tenants)
                                .mapToObj(
                                        i -> new Controller.Tenant(between(1, 100), 1.0 / tenants))
                                .toList(),
                        new Controller.ObjectiveWeights(0.4, 0.3, 0.2, 0.1),
                        new Controller.OperatingLimits(
                                between(20, 200),
                                between(0.1, 1),
                                between(0, 20_000),
                                between(100, 5000),
                                between(2, 12),
                                between(500, 3000)),
                        new Controller.Dependency(Controller.DependencyKind.NONE, 0, 0, 0),
                        pick(List.of(Controller.LoadHint.values()), random),
                        Controller.CancellationMode.NONE,
                        1 + random.nextInt(12),
                        1 + random.nextInt(40),
                        1 + random.nextInt(30),
                        random.nextBoolean(),
                        random.nextBoolean(),
                        between(100, 60_000),
                        between(2000, 60_000),
                        between(1, 20),
                        between(0, 200),
                        random.nextBoolean() ? 0 : between(10, 3000),
                        between(0, 3000),
                        random.nextBoolean(),
                        random.nextBoolean(),
                        random.nextDouble(),
                        between(1, 10),
                        random.nextBoolean());
        return new Site(
                settings,
                IntStream.range(0, classes)
                        .mapToObj(i -> "kind " + i + " of " + random.nextInt(1000))
                        .toList(),
                IntStream.range(0, tenants)
                        .mapToObj(i -> "t" + random.nextInt(1000) + "-" + i)
                        .toList(),
                List.of("core_use", "on_cores", "heap_share", "links"));
    }

    private final class CheckingEngine implements Engine {
        @Override
        public Progress run(String id, String className, ByteBuf body) {
            SentRequest sentRequest = sentRequests.get(id);
            assertTrue(Double.isNaN(sentRequest.ranAtMillis), "ran twice");
            assertTrue(
                    sentRequest.arrivedAtMillis
                            <= drainingSinceMillis
                                    + site.settings().operatingLimits().drainGraceMillis(),
                    "ran although it came after the grace period");
            if (sentRequest.idempotencyKey != null) {
                double windowMillis =
                        site.settings().classes().get(sentRequest.classIndex).keyRetentionMillis();
                sentRequests.values().stream()
                        .filter(
                                other ->
                                        other != sentRequest
                                                && sentRequest.idempotencyKey.equals(
                                                        other.idempotencyKey)
                                                && other.ranAtMillis > 0)
                        .forEach(
                                other ->
                                        assertTrue(
                                                sentRequest.arrivedAtMillis
                                                        > other.arrivedAtMillis + windowMillis,
                                                "ran again within its window"));
            }
            sentRequest.ranAtMillis = nowMillis;
            runEndsAtMillis.put(id, nowMillis + between(5, 400));
            runStartedAtMillis.put(id, nowMillis);
            return Progress.SENT;
        }

        @Override
        public boolean requestGauges(String tag) {
            gateway.onGauges(
                    tag,
                    new Gauges(
                            Math.min(1, runEndsAtMillis.size() / (double) site.settings().cores()),
                            runEndsAtMillis.size(),
                            0.2,
                            20));
            return true;
        }
    }

    private void sendRequest() {
        int classIndex = random.nextInt(site.classNames().size());
        Controller.RequestClass requestClass = site.settings().classes().get(classIndex);
        String id = String.format("%016x", ++lastSequence);
        String idempotencyKey =
                requestClass.idempotency() == Idempotency.IDEMPOTENT_WITH_KEY
                        ? String.format("%032x", classIndex * 1000 + random.nextInt(40))
                        : null;
        double clientTimeoutMillis =
                site.settings().requestsCarryDeadline() && random.nextBoolean()
                        ? between(0, requestClass.deadlineMillis())
                        : Double.NaN;
        double arrivedAtMillis = nowMillis - random.nextInt(60);
        SentRequest sentRequest =
                new SentRequest(
                        classIndex,
                        idempotencyKey,
                        arrivedAtMillis,
                        arrivedAtMillis
                                + (Double.isNaN(clientTimeoutMillis)
                                        ? requestClass.deadlineMillis()
                                        : clientTimeoutMillis));
        sentRequests.put(id, sentRequest);
        List<String> tenants = site.tenantNames();
        gateway.handle(
                new IncomingRequest(
                        id,
                        arrivedAtMillis,
                        site.classNames().get(classIndex),
                        tenants.isEmpty() ? "" : pick(tenants, random),
                        random.nextInt(site.settings().callers()),
                        between(1, 60),
                        random.nextDouble(),
                        requestClass.idempotency() == Idempotency.IDEMPOTENT
                                ? "k" + random.nextInt(50)
                                : null,
                        idempotencyKey,
                        clientTimeoutMillis,
                        site.settings().requestsMarkRetries() && random.nextInt(4) == 0,
                        Unpooled.wrappedBuffer(new byte[] {(byte) classIndex})),
                answer -> {
                    sentRequest.answers.add(answer.kind());
                    sentRequest.answeredAtMillis = nowMillis;
                    assertTrue(
                            answer.kind() != Response.Kind.REJECTED
                                    || Double.isNaN(sentRequest.ranAtMillis),
                            "rejected although it ran");
                });
    }

    @Property(seed = "20261205", tries = 60)
    void keepsTheRulesOnRandomSettings(@ForAll @LongRange(min = 1, max = 1_000_000) long seed) {
        random = new Random(seed);
        site = randomSite();
        gateway =
                new Gateway(
                        site,
                        seed,
                        () -> nowMillis,
                        (millis, task) ->
                                tasks.add(new Task(nowMillis + millis, lastSequence++, task)),
                        new CheckingEngine(),
                        OverloadController::new,
                        NOPLogger.NOP_LOGGER);
        gateway.onAttached(random.nextBoolean(), 0);
        double startedAtMillis = nowMillis;
        double requestsPerSecond = site.settings().cores() * between(1, 12);
        double shutdownMillis = between(1000, 6000);
        while (nowMillis < startedAtMillis + LOAD_MILLIS || !gateway.allAnswered()) {
            nowMillis += STEP_MILLIS;
            assertTrue(
                    nowMillis < startedAtMillis + LOAD_MILLIS + 30_000,
                    "not all requests were answered");
            while (!tasks.isEmpty() && tasks.peek().atMillis() <= nowMillis) {
                tasks.poll().run().run();
            }
            Set<String> ended = new HashSet<>();
            runEndsAtMillis.forEach(
                    (id, end) -> {
                        if (end <= nowMillis) {
                            ended.add(id);
                        }
                    });
            ended.stream()
                    .sorted()
                    .forEach(
                            id -> {
                                runEndsAtMillis.remove(id);
                                gateway.onRunEnded(
                                        id,
                                        random.nextInt(20) == 0
                                                ? Engine.RunOutcome.CRASHED
                                                : Engine.RunOutcome.DONE,
                                        nowMillis - runStartedAtMillis.remove(id),
                                        Unpooled.wrappedBuffer(new byte[] {1}));
                            });
            if (nowMillis < startedAtMillis + LOAD_MILLIS + shutdownMillis
                    && random.nextDouble() < requestsPerSecond * STEP_MILLIS / 1000) {
                sendRequest();
            }
            if (nowMillis >= startedAtMillis + LOAD_MILLIS
                    && drainingSinceMillis == Double.POSITIVE_INFINITY) {
                drainingSinceMillis = nowMillis;
                gateway.beginDraining(nowMillis, nowMillis + shutdownMillis);
            }
        }
        double slackMillis = site.settings().operatingLimits().answerSlackMillis();
        sentRequests
                .values()
                .forEach(
                        request -> {
                            assertEquals(1, request.answers.size(), "answers");
                            assertTrue(
                                    request.answeredAtMillis
                                            <= Math.max(
                                                            request.deadlineAtMillis,
                                                            request.arrivedAtMillis + 60)
                                                    + slackMillis,
                                    () ->
                                            "late by "
                                                    + (request.answeredAtMillis
                                                            - request.deadlineAtMillis));
                        });
        assertTrue(
                sentRequests.values().stream()
                        .anyMatch(request -> request.answers.get(0) == Response.Kind.SERVED),
                "nothing was served");
    }
}
