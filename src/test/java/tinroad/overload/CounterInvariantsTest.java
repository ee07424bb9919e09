package tinroad.overload;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.function.Predicate;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tuple;
import tinroad.overload.ActiveRequest.State;
import tinroad.overload.Controller.CancellationMode;
import tinroad.overload.Controller.ClassSlot;
import tinroad.overload.Controller.Dependency;
import tinroad.overload.Controller.DependencyKind;
import tinroad.overload.Controller.Gauges;
import tinroad.overload.Controller.Idempotency;
import tinroad.overload.Controller.LoadHint;
import tinroad.overload.Controller.ObjectiveWeights;
import tinroad.overload.Controller.Outcome;
import tinroad.overload.Controller.Request;
import tinroad.overload.Controller.RequestClass;
import tinroad.overload.Controller.Rules;
import tinroad.overload.Controller.Settings;
import tinroad.overload.Controller.Tenant;
import tinroad.overload.Controller.TenantSlot;

/**
 * Every count of the controller is the number of its active requests in that state, after each
 * event of random sequences. Guards against a count that is raised in one place and not lowered, or
 * lowered without having been raised, in another: a server that admits more and more, or nothing.
 */
class CounterInvariantsTest {
    private static final double TICK_MILLIS = 20;
    private static final double KB_TOLERANCE = 1e-6;
    private static final double KEY_KB = 20;
    private static final double RUN_MEMORY_FACTOR = 4;
    private static final Gauges GAUGES = new Gauges(0.7, 2, 0.3, 20);

    private enum Kind {
        ARRIVAL,
        DUPLICATE,
        CANCELLATION,
        RUN_COMPLETED,
        RUN_FAILED,
        RUN_LOST,
        REPLAY_COMPLETED,
        CALL_NEEDED,
        CALL_COMPLETED,
        CATALOG_CHANGE,
        DRAINING,
        TIME
    }

    /**
     * One event.
     *
     * @param pick which of the requests that it can happen to
     * @param millis so long after the event before, with the ticks that are due in between
     */
    private record Event(Kind kind, int pick, int millis) {}

    private record Sequence(boolean cold, boolean shared, int cores, List<Event> events) {}

    @Provide
    Arbitrary<Sequence> sequences() {
        Arbitrary<Event> event =
                Combinators.combine(
                                Arbitraries.of(Kind.class),
                                Arbitraries.integers().between(0, 50),
                                Arbitraries.frequencyOf(
                                        Tuple.of(20, Arbitraries.integers().between(0, 25)),
                                        Tuple.of(1, Arbitraries.integers().between(500, 2500))))
                        .as(Event::new);
        return Combinators.combine(
                        Arbitraries.of(true, false),
                        Arbitraries.of(true, false),
                        Arbitraries.integers().between(1, 4),
                        event.list().ofMinSize(1).ofMaxSize(60))
                .as(Sequence::new);
    }

    private static RequestClass requestClass(Idempotency idempotency, double degradedWeightShare) {
        return new RequestClass(600, 0, 2000, 1, 0, idempotency, 1500, true, degradedWeightShare);
    }

    private static Settings settings(Sequence sequence) {
        return new Settings(
                List.of(
                        requestClass(Idempotency.IDEMPOTENT, 0),
                        requestClass(Idempotency.IDEMPOTENT, 0.5),
                        requestClass(Idempotency.IDEMPOTENT_WITH_KEY, 0),
                        requestClass(Idempotency.NON_IDEMPOTENT, 0)),
                List.of(new Tenant(20, 0.5), new Tenant(20, 0.5)),
                new ObjectiveWeights(0.5, 0.2, 0.2, 0.1),
                new Rules(60, 0.25, 5000, 1000, 5, 1500),
                new Dependency(
                        sequence.shared ? DependencyKind.SHARED : DependencyKind.NEXT_HOP,
                        2,
                        1000,
                        200),
                LoadHint.NONE,
                CancellationMode.PAUSE,
                sequence.cores,
                4,
                3,
                sequence.cold,
                true,
                30_000,
                2000,
                RUN_MEMORY_FACTOR,
                KEY_KB,
                400,
                1000,
                true,
                true,
                0.1,
                5,
                false);
    }

    /** A server that plays a sequence: it does what the controller wants, and tells how it ends. */
    private static final class Server {
        private final RuleChecker machine;
        private final OverloadController controller;
        private double nextTickMillis;
        private boolean draining;

        Server(Sequence sequence) {
            Settings settings = settings(sequence);
            machine = new RuleChecker(settings);
            controller = new OverloadController(machine);
            machine.now = 1000;
            nextTickMillis = machine.now + TICK_MILLIS;
            controller.start(machine.now, 7, settings);
        }

        void play(Event event) {
            passTime(event.millis);
            switch (event.kind) {
                case ARRIVAL -> arrive(event.pick % 4, null);
                case DUPLICATE -> duplicate(event.pick);
                case CANCELLATION -> cancel(event.pick);
                case RUN_COMPLETED -> endRun(event.pick, Outcome.OK);
                case RUN_FAILED -> endRun(event.pick, Outcome.FAILED);
                case RUN_LOST -> endRun(event.pick, Outcome.IGNORED);
                case REPLAY_COMPLETED -> endReplay(event.pick);
                case CALL_NEEDED -> needCall(event.pick);
                case CALL_COMPLETED -> endCall(event.pick);
                case CATALOG_CHANGE -> changeCatalog(event.pick);
                case DRAINING -> drain();
                case TIME -> {}
            }
            assertInvariants();
        }

        private void passTime(int millis) {
            double untilMillis = machine.now + millis;
            while (nextTickMillis <= untilMillis) {
                machine.now = nextTickMillis;
                nextTickMillis += TICK_MILLIS;
                controller.timerFired(machine.now, "tick", GAUGES);
                assertInvariants();
            }
            machine.now = untilMillis;
        }

        private void arrive(int classSlot, String duplicateOf) {
            if (machine.classes.get(classSlot) == null) {
                return;
            }
            int number = machine.seen.size();
            Request request =
                    new Request(
                            "r" + number,
                            classSlot,
                            number % 2,
                            number % 3,
                            5 + number % 40,
                            machine.now + 300 + number * 37 % 1700,
                            number % 30,
                            number * 0.37 % 1,
                            0,
                            "k" + number,
                            duplicateOf,
                            number % 5 == 0,
                            classSlot >= 2);
            machine.arrive(request);
            controller.requestArrived(machine.now, request);
        }

        private List<RuleChecker.Seen> those(Predicate<RuleChecker.Seen> which) {
            return machine.seen.values().stream().filter(which).toList();
        }

        private static RuleChecker.Seen pick(List<RuleChecker.Seen> from, int number) {
            return from.isEmpty() ? null : from.get(number % from.size());
        }

        /** A duplicate of any earlier request: queued, running, paused, joined or over. */
        private void duplicate(int number) {
            RuleChecker.Seen original = pick(those(seen -> true), number);
            if (original != null) {
                arrive(original.request.classSlot(), original.request.id());
            }
        }

        private void cancel(int number) {
            RuleChecker.Seen request = pick(those(seen -> !seen.over), number);
            if (request != null) {
                request.answers = Math.max(1, request.answers);
                request.over = !request.running && !request.atCall;
                controller.cancelled(machine.now, request.request.id());
            }
        }

        private void endRun(int number, Outcome outcome) {
            RuleChecker.Seen request = pick(those(seen -> seen.running || seen.atCall), number);
            if (request != null) {
                request.calling = false;
                complete(request, outcome);
            }
        }

        private void endReplay(int number) {
            RuleChecker.Seen request =
                    pick(those(seen -> seen.joined != null && !seen.over), number);
            if (request != null) {
                complete(request, number % 2 == 0 ? Outcome.OK : Outcome.FAILED);
            }
        }

        private void complete(RuleChecker.Seen request, Outcome outcome) {
            machine.end(request.request.id(), outcome);
            controller.completed(machine.now, request.request.id(), 50, outcome);
        }

        private void needCall(int number) {
            RuleChecker.Seen request = pick(those(seen -> seen.running), number);
            if (request != null) {
                request.running = false;
                request.atCall = true;
                controller.dependencyCallNeeded(machine.now, request.request.id());
            }
        }

        /** Every outcome, those after which the call is made again among them. */
        private void endCall(int number) {
            RuleChecker.Seen request = pick(those(seen -> seen.calling), number);
            if (request != null) {
                Outcome outcome =
                        List.of(
                                        Outcome.OK,
                                        Outcome.FAILED,
                                        Outcome.QUEUE_FULL,
                                        Outcome.TIMED_OUT,
                                        Outcome.CONNECT_ERROR,
                                        Outcome.RESET)
                                .get(number % 6);
                machine.callEnds(request, outcome);
                controller.dependencyCallCompleted(machine.now, request.request.id(), 50, outcome);
            }
        }

        private void changeCatalog(int number) {
            int slot = number % 4;
            RequestClass changed =
                    number % 3 == 0
                            ? null
                            : requestClass(machine.settings.classes().get(slot).idempotency(), 0);
            controller.stage(
                    List.of(new ClassSlot(slot, changed)),
                    List.of(new TenantSlot(number % 2, new Tenant(1 + number, 0.5))));
            if (number % 5 == 0) {
                controller.discardStaged();
            } else {
                controller.commit(machine.now);
                machine.classes.set(slot, changed);
            }
        }

        private void drain() {
            if (!draining) {
                draining = true;
                controller.beginDraining(machine.now, machine.now + 3000);
            }
        }

        private void assertInvariants() {
            OverloadController.Tables tables = controller.tables();
            List<ActiveRequest> paused = in(tables, State.CALLING);
            List<ActiveRequest> calling =
                    tables.requests().stream().filter(request -> request.callInFlight).toList();
            assertEquals(in(tables, State.QUEUED).size(), tables.queue().size(), "queued");
            assertEquals(in(tables, State.RUNNING).size(), tables.cores().running(), "running");
            assertEquals(paused.size(), tables.cores().paused(), "paused");
            assertEquals(calling.size(), tables.calls().inFlight(), "calls in flight");
            assertTrue(paused.containsAll(calling), "a call of a request that is not paused");
            assertWaiting(tables, paused);
            assertMemory(tables);
        }

        private static List<ActiveRequest> in(OverloadController.Tables tables, State state) {
            return tables.requests().stream().filter(request -> request.state == state).toList();
        }

        private static void assertWaiting(
                OverloadController.Tables tables, List<ActiveRequest> paused) {
            List<ActiveRequest> waiting = tables.calls().waiting();
            assertEquals(new HashSet<>(waiting).size(), waiting.size(), "waits twice for a call");
            assertTrue(paused.containsAll(waiting), "waits for a call and is not paused");
            assertTrue(
                    waiting.stream().noneMatch(request -> request.callInFlight),
                    "waits for a call that was made");
            List<ActiveRequest> forgotten = new ArrayList<>(paused);
            forgotten.removeAll(waiting);
            forgotten.removeIf(request -> request.callInFlight || request.answered);
            assertEquals(List.of(), forgotten, "paused for no call");
        }

        private static void assertMemory(OverloadController.Tables tables) {
            double requestsKb =
                    tables.requests().stream()
                            .mapToDouble(
                                    request ->
                                            request.memoryKb
                                                    * (request.started ? RUN_MEMORY_FACTOR : 1))
                            .sum();
            assertEquals(
                    requestsKb + tables.memory().retainedKeys() * KEY_KB,
                    tables.memory().usedKb(),
                    KB_TOLERANCE,
                    "memory in KB");
        }
    }

    @Property(seed = "20261203", tries = 10_000)
    void everyCountIsTheNumberOfRequestsInThatState(@ForAll("sequences") Sequence sequence) {
        Server server = new Server(sequence);
        sequence.events.forEach(server::play);
    }
}
