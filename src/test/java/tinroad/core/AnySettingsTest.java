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
 * The whole gateway, module and table, on settings drawn at random: classes of every effect, their
 * names, limits, deadlines, windows and worths, tenants, cores, memory, what the protocol offers.
 * Whatever they are, each request gets one answer by its due time, nothing runs twice, nothing that
 * ran is called unrun, nothing runs that came after the grace, and something is served.
 */
class AnySettingsTest {
    private static final double DAY = 12_000;
    private static final double STEP = 5;

    private record Task(double at, long order, Runnable run) {}

    /** What was asked, and what became of it. */
    private static final class Asked {
        private final int cls;
        private final String token;
        private final double at;
        private final double due;
        private final List<Response.Kind> answers = new ArrayList<>();
        private double answeredAt;
        private double ranAt = Double.NaN;

        Asked(int cls, String token, double at, double due) {
            this.cls = cls;
            this.token = token;
            this.at = at;
            this.due = due;
        }
    }

    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>(
                    Comparator.comparingDouble(Task::at).thenComparingLong(Task::order));
    private final Map<String, Asked> all = new HashMap<>();
    private final Map<String, Double> running = new HashMap<>();
    private final Map<String, Double> since = new HashMap<>();
    private double now = 5_000_000;
    private long order;
    private Random random;
    private Site site;
    private Gateway gateway;
    private double drainedAt = Double.POSITIVE_INFINITY;

    /** One object plays all days. */
    @BeforeTry
    void anotherDay() {
        tasks.clear();
        all.clear();
        running.clear();
        since.clear();
        drainedAt = Double.POSITIVE_INFINITY;
    }

    private double between(double least, double most) {
        return least + random.nextDouble() * (most - least);
    }

    private static <T> T one(List<T> of, Random random) {
        return of.get(random.nextInt(of.size()));
    }

    private Site draw() {
        int classes = 1 + random.nextInt(5);
        List<Controller.RequestClass> drawn = new ArrayList<>();
        for (int i = 0; i < classes; i++) {
            double deadline = between(300, 9000);
            Idempotency semantics = one(List.of(Idempotency.values()), random);
            drawn.add(
                    new Controller.RequestClass(
                            deadline * between(0.2, 0.9),
                            0,
                            deadline,
                            between(0.5, 9),
                            between(0, 0.5),
                            semantics,
                            semantics == Idempotency.IDEMPOTENT_WITH_KEY ? between(200, 20_000) : 0,
                            false,
                            0));
        }
        int tenants = random.nextInt(5);
        Controller.Settings settings =
                new Controller.Settings(
                        drawn,
                        IntStream.range(0, tenants)
                                .mapToObj(
                                        i -> new Controller.Tenant(between(1, 100), 1.0 / tenants))
                                .toList(),
                        new Controller.ObjectiveWeights(0.4, 0.3, 0.2, 0.1),
                        new Controller.Rules(
                                between(20, 200),
                                between(0.1, 1),
                                between(0, 20_000),
                                between(100, 5000),
                                between(2, 12),
                                between(500, 3000)),
                        new Controller.Dependency(Controller.DependencyKind.NONE, 0, 0, 0),
                        one(List.of(Controller.LoadHint.values()), random),
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

    private final class Cores implements Engine {
        @Override
        public Progress run(String id, String kind, ByteBuf body) {
            Asked asked = all.get(id);
            assertTrue(Double.isNaN(asked.ranAt), "ran twice");
            assertTrue(
                    asked.at <= drainedAt + site.settings().rules().drainGraceMillis(),
                    "ran after the grace");
            if (asked.token != null) {
                double window = site.settings().classes().get(asked.cls).keyWindowMillis();
                all.values().stream()
                        .filter(a -> a != asked && asked.token.equals(a.token) && a.ranAt > 0)
                        .forEach(
                                a ->
                                        assertTrue(
                                                asked.at > a.at + window,
                                                "ran again in its window"));
            }
            asked.ranAt = now;
            running.put(id, now + between(5, 400));
            since.put(id, now);
            return Progress.SENT;
        }

        @Override
        public boolean requestGauges(String tag) {
            gateway.onGauges(
                    tag,
                    new Gauges(
                            Math.min(1, running.size() / (double) site.settings().cores()),
                            running.size(),
                            0.2,
                            20));
            return true;
        }
    }

    private void ask() {
        int cls = random.nextInt(site.classNames().size());
        Controller.RequestClass c = site.settings().classes().get(cls);
        String id = String.format("%016x", ++order);
        String token =
                c.idempotency() == Idempotency.IDEMPOTENT_WITH_KEY
                        ? String.format("%032x", cls * 1000 + random.nextInt(40))
                        : null;
        double wait =
                site.settings().requestsCarryDeadline() && random.nextBoolean()
                        ? between(0, c.deadlineMillis())
                        : Double.NaN;
        double at = now - random.nextInt(60);
        Asked asked =
                new Asked(cls, token, at, at + (Double.isNaN(wait) ? c.deadlineMillis() : wait));
        all.put(id, asked);
        List<String> tenants = site.tenantNames();
        gateway.handle(
                new IncomingRequest(
                        id,
                        at,
                        site.classNames().get(cls),
                        tenants.isEmpty() ? "" : one(tenants, random),
                        random.nextInt(site.settings().callers()),
                        between(1, 60),
                        random.nextDouble(),
                        c.idempotency() == Idempotency.IDEMPOTENT ? "k" + random.nextInt(50) : null,
                        token,
                        wait,
                        site.settings().requestsMarkRetries() && random.nextInt(4) == 0,
                        Unpooled.wrappedBuffer(new byte[] {(byte) cls})),
                answer -> {
                    asked.answers.add(answer.kind());
                    asked.answeredAt = now;
                    assertTrue(
                            answer.kind() != Response.Kind.REJECTED || Double.isNaN(asked.ranAt),
                            "called unrun, and ran");
                });
    }

    @Property(seed = "20261205", tries = 60)
    void theRulesHoldOnAnySettings(@ForAll @LongRange(min = 1, max = 1_000_000) long seed) {
        random = new Random(seed);
        site = draw();
        gateway =
                new Gateway(
                        site,
                        seed,
                        () -> now,
                        (ms, task) -> tasks.add(new Task(now + ms, order++, task)),
                        new Cores(),
                        OverloadController::new,
                        NOPLogger.NOP_LOGGER);
        gateway.onAttached(random.nextBoolean(), 0);
        double begun = now;
        double load = site.settings().cores() * between(1, 12);
        double stop = between(1000, 6000);
        while (now < begun + DAY || !gateway.allAnswered()) {
            now += STEP;
            assertTrue(now < begun + DAY + 30_000, "never all answered");
            while (!tasks.isEmpty() && tasks.peek().at() <= now) {
                tasks.poll().run().run();
            }
            Set<String> over = new HashSet<>();
            running.forEach(
                    (id, end) -> {
                        if (end <= now) {
                            over.add(id);
                        }
                    });
            over.stream()
                    .sorted()
                    .forEach(
                            id -> {
                                running.remove(id);
                                gateway.onRunEnded(
                                        id,
                                        random.nextInt(20) == 0
                                                ? Engine.RunOutcome.CRASHED
                                                : Engine.RunOutcome.DONE,
                                        now - since.remove(id),
                                        Unpooled.wrappedBuffer(new byte[] {1}));
                            });
            if (now < begun + DAY + stop && random.nextDouble() < load * STEP / 1000) {
                ask();
            }
            if (now >= begun + DAY && drainedAt == Double.POSITIVE_INFINITY) {
                drainedAt = now;
                gateway.beginDraining(now, now + stop);
            }
        }
        double slack = site.settings().rules().answerSlackMillis();
        all.values()
                .forEach(
                        a -> {
                            assertEquals(1, a.answers.size(), "answers");
                            assertTrue(
                                    a.answeredAt <= Math.max(a.due, a.at + 60) + slack,
                                    () -> "late by " + (a.answeredAt - a.due));
                        });
        assertTrue(
                all.values().stream().anyMatch(a -> a.answers.get(0) == Response.Kind.SERVED),
                "nothing was served");
    }
}
