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
import tinroad.overload.Controller.OperatingLimits;
import tinroad.overload.Controller.Outcome;
import tinroad.overload.Controller.Request;
import tinroad.overload.Controller.RequestClass;
import tinroad.overload.Controller.Settings;
import tinroad.overload.Controller.Tenant;
import tinroad.overload.Controller.TenantSlot;

/**
 * Every count of the controller equals the number of its active requests in that state, after each
 * event of random sequences. Guards against a count that is raised in one code path but not lowered
 * in another, or lowered without having been raised: the server then admits more and more requests,
 * or none.
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
     * @param pick which of the requests to which it can happen
     * @param millis time since the previous event, with the ticks that are due in between
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
                new OperatingLimits(60, 0.25, 5000, 1000, 5, 1500),
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

    /**
     * A server that plays a sequence of events: it carries out the actions of the controller and
     * reports how runs and calls end.
     */
    private static final class Server {
        private final RuleChecker checker;
        private final OverloadController controller;
        private double nextTickMillis;
        private boolean draining;

        Server(Sequence sequence) {
            Settings settings = settings(sequence);
            checker = new RuleChecker(settings);
            controller = new OverloadController(checker);
            checker.nowMillis = 1000;
            nextTickMillis = checker.nowMillis + TICK_MILLIS;
            controller.start(checker.nowMillis, 7, settings);
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
            double untilMillis = checker.nowMillis + millis;
            while (nextTickMillis <= untilMillis) {
                checker.nowMillis = nextTickMillis;
                nextTickMillis += TICK_MILLIS;
                controller.timerFired(checker.nowMillis, "tick", GAUGES);
                assertInvariants();
            }
            checker.nowMillis = untilMillis;
        }

        private void arrive(int classSlot, String duplicateOf) {
            if (checker.classes.get(classSlot) == null) {
                return;
            }
            int number = checker.requestsById.size();
            Request request =
                    new Request(
                            "r" + number,
                            classSlot,
                            number % 2,
                            number % 3,
                            5 + number % 40,
                            checker.nowMillis + 300 + number * 37 % 1700,
                            number % 30,
                            number * 0.37 % 1,
                            0,
                            "k" + number,
                            duplicateOf,
                            number % 5 == 0,
                            classSlot >= 2);
            checker.arrive(request);
            controller.requestArrived(checker.nowMillis, request);
        }

        private List<RuleChecker.TrackedRequest> requestsWhere(
                Predicate<RuleChecker.TrackedRequest> condition) {
            return checker.requestsById.values().stream().filter(condition).toList();
        }

        private static RuleChecker.TrackedRequest pick(
                List<RuleChecker.TrackedRequest> candidates, int number) {
            return candidates.isEmpty() ? null : candidates.get(number % candidates.size());
        }

        /**
         * A duplicate of any earlier request, whether that one is queued, running, paused, joined
         * or over.
         */
        private void duplicate(int number) {
            RuleChecker.TrackedRequest original = pick(requestsWhere(tracked -> true), number);
            if (original != null) {
                arrive(original.request.classSlot(), original.request.id());
            }
        }

        private void cancel(int number) {
            RuleChecker.TrackedRequest request =
                    pick(requestsWhere(tracked -> !tracked.ended), number);
            if (request != null) {
                request.answerCount = Math.max(1, request.answerCount);
                request.ended = !request.running && !request.paused;
                controller.cancelled(checker.nowMillis, request.request.id());
            }
        }

        private void endRun(int number, Outcome outcome) {
            RuleChecker.TrackedRequest request =
                    pick(requestsWhere(tracked -> tracked.running || tracked.paused), number);
            if (request != null) {
                request.callInFlight = false;
                complete(request, outcome);
            }
        }

        private void endReplay(int number) {
            RuleChecker.TrackedRequest request =
                    pick(
                            requestsWhere(tracked -> tracked.joinedTo != null && !tracked.ended),
                            number);
            if (request != null) {
                complete(request, number % 2 == 0 ? Outcome.OK : Outcome.FAILED);
            }
        }

        private void complete(RuleChecker.TrackedRequest request, Outcome outcome) {
            checker.end(request.request.id(), outcome);
            controller.completed(checker.nowMillis, request.request.id(), 50, outcome);
        }

        private void needCall(int number) {
            RuleChecker.TrackedRequest request =
                    pick(requestsWhere(tracked -> tracked.running), number);
            if (request != null) {
                request.running = false;
                request.paused = true;
                controller.dependencyCallNeeded(checker.nowMillis, request.request.id());
            }
        }

        /** Ends a call with any outcome, including those after which the call is made again. */
        private void endCall(int number) {
            RuleChecker.TrackedRequest request =
                    pick(requestsWhere(tracked -> tracked.callInFlight), number);
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
                checker.callEnded(request, outcome);
                controller.dependencyCallCompleted(
                        checker.nowMillis, request.request.id(), 50, outcome);
            }
        }

        private void changeCatalog(int number) {
            int slot = number % 4;
            RequestClass changed =
                    number % 3 == 0
                            ? null
                            : requestClass(checker.settings.classes().get(slot).idempotency(), 0);
            controller.stage(
                    List.of(new ClassSlot(slot, changed)),
                    List.of(new TenantSlot(number % 2, new Tenant(1 + number, 0.5))));
            if (number % 5 == 0) {
                controller.discardStaged();
            } else {
                controller.commit(checker.nowMillis);
                checker.classes.set(slot, changed);
            }
        }

        private void drain() {
            if (!draining) {
                draining = true;
                controller.beginDraining(checker.nowMillis, checker.nowMillis + 3000);
            }
        }

        private void assertInvariants() {
            OverloadController.Tables tables = controller.tables();
            List<ActiveRequest> paused = requestsIn(tables, State.CALLING);
            List<ActiveRequest> calling =
                    tables.requests().stream().filter(request -> request.callInFlight).toList();
            assertEquals(requestsIn(tables, State.QUEUED).size(), tables.queue().size(), "queued");
            assertEquals(
                    requestsIn(tables, State.RUNNING).size(), tables.cores().running(), "running");
            assertEquals(paused.size(), tables.cores().paused(), "paused");
            assertEquals(calling.size(), tables.calls().inFlight(), "calls in flight");
            assertTrue(paused.containsAll(calling), "a call of a request that is not paused");
            assertWaiting(tables, paused);
            assertMemory(tables);
        }

        private static List<ActiveRequest> requestsIn(
                OverloadController.Tables tables, State state) {
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
            List<ActiveRequest> unaccounted = new ArrayList<>(paused);
            unaccounted.removeAll(waiting);
            unaccounted.removeIf(request -> request.callInFlight || request.answered);
            assertEquals(List.of(), unaccounted, "paused for no call");
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
