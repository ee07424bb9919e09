package tinroad.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tuple;
import tinroad.catalog.Catalog;
import tinroad.catalog.CatalogBuilder;
import tinroad.catalog.CatalogChange;
import tinroad.overload.Controller.RequestClass;
import tinroad.overload.OverloadController;

/**
 * Tests that the counts of the gateway's tables are those of the requests in them, after each event
 * of random sequences, and that nothing is left in any table once all is over. Guards against a
 * slot, a result's bytes or capacity of the controller that is taken once and released twice, or
 * never.
 */
class TableInvariantsTest {
    private static final double RESULT_FRESH_MILLIS = 400;

    /**
     * The time after which everything is over: the longest deadline, and what is retained beyond
     * it.
     */
    private static final double QUIET_MILLIS = 10_000;

    private static final List<String> CLASSES = List.of("read", "order", "pay");

    private enum Kind {
        ARRIVAL,
        DUPLICATE,
        CANCELLATION,
        RUN_DONE,
        RUN_CRASHED,
        RUN_STALE,
        RUN_REJECTED,
        RUN_ENDED_TWICE,
        COMMAND_NOT_WRITTEN,
        LINK_LOST,
        LINK_BACK,
        ENGINE_RESTARTED,
        CLASS_CHANGE,
        DRAINING,
        TIME
    }

    /**
     * One event.
     *
     * @param pick selects one of the requests, runs or variants that the event can apply to
     * @param millis the time since the previous event
     */
    private record Event(Kind kind, int pick, int millis) {}

    @Provide
    Arbitrary<List<Event>> sequences() {
        Arbitrary<Kind> kinds =
                Arbitraries.frequencyOf(
                        Tuple.of(3, Arbitraries.of(Kind.ARRIVAL, Kind.DUPLICATE)),
                        Tuple.of(2, Arbitraries.of(Kind.class)));
        Arbitrary<Integer> millis =
                Arbitraries.frequencyOf(
                        Tuple.of(20, Arbitraries.integers().between(0, 40)),
                        Tuple.of(1, Arbitraries.integers().between(400, 3000)));
        return Combinators.combine(kinds, Arbitraries.integers().between(0, 50), millis)
                .as(Event::new)
                .list()
                .ofMinSize(1)
                .ofMaxSize(60);
    }

    /** A request that a client sent. */
    private record SentRequest(
            String id, String className, int key, GatewayHarness.ResponseRecorder recorder) {}

    private static final class Scenario {
        private final OverloadController[] controller = new OverloadController[1];
        private final GatewayHarness harness =
                GatewayHarness.withOverloadController(RESULT_FRESH_MILLIS, controller);
        private final CatalogBuilder catalogBuilder = new CatalogBuilder(harness.gateway.catalog());
        private final List<SentRequest> sent = new ArrayList<>();

        /** The runs that the engine has begun and not reported. */
        private final Set<String> running = new LinkedHashSet<>();

        private final List<String> ended = new ArrayList<>();
        private int commandsRead;
        private boolean draining;

        Scenario() {
            harness.gateway.onAttached(false, 0);
        }

        void apply(Event event) {
            harness.advance(event.millis);
            readCommands();
            switch (event.kind) {
                case ARRIVAL -> send(event.pick % 3, event.pick);
                case DUPLICATE -> sendDuplicate(event.pick);
                case CANCELLATION -> cancel(event.pick);
                case RUN_DONE -> endRun(event.pick, Engine.RunOutcome.DONE);
                case RUN_CRASHED -> endRun(event.pick, Engine.RunOutcome.CRASHED);
                case RUN_STALE -> endRun(event.pick, Engine.RunOutcome.STALE);
                case RUN_REJECTED -> endRun(event.pick, Engine.RunOutcome.REJECTED);
                case RUN_ENDED_TWICE -> reportEndAgain(event.pick);
                case COMMAND_NOT_WRITTEN -> harness.failNextRunOutOfMemory = true;
                case LINK_LOST -> loseLink(event.pick % 2 == 0);
                case LINK_BACK -> reattach();
                case ENGINE_RESTARTED -> restartEngine();
                case CLASS_CHANGE -> changeClass(event.pick);
                case DRAINING -> drain();
                case TIME -> {}
            }
            readCommands();
            assertCounts();
        }

        private void readCommands() {
            List<String> commands = harness.runs;
            while (commandsRead < commands.size()) {
                String command = commands.get(commandsRead++);
                running.add(command.substring("RUN ".length(), command.indexOf(' ', 4)));
            }
        }

        private void send(int classIndex, int key) {
            SentRequest request =
                    new SentRequest(
                            String.format("%016x", sent.size()),
                            CLASSES.get(classIndex),
                            key,
                            new GatewayHarness.ResponseRecorder());
            sent.add(request);
            boolean keyed = request.className.equals("pay");
            harness.gateway.handle(
                    new IncomingRequest(
                            request.id,
                            harness.now - sent.size() % 20,
                            request.className,
                            "acme",
                            sent.size() % 3,
                            5 + sent.size() % 30,
                            sent.size() * 0.37 % 1,
                            classIndex == 0 ? "k" + key : null,
                            keyed ? String.format("%032x", key) : null,
                            Double.NaN,
                            false,
                            Unpooled.wrappedBuffer(new byte[] {(byte) key})),
                    request.recorder);
        }

        private void sendDuplicate(int pick) {
            if (!sent.isEmpty()) {
                SentRequest original = sent.get(pick % sent.size());
                send(CLASSES.indexOf(original.className), original.key);
            }
        }

        private void cancel(int pick) {
            if (!sent.isEmpty()) {
                SentRequest request = sent.get(pick % sent.size());
                harness.gateway.cancel(request.id, request.recorder);
            }
        }

        private void endRun(int pick, Engine.RunOutcome outcome) {
            if (harness.linkUp && !running.isEmpty()) {
                String id = List.copyOf(running).get(pick % running.size());
                running.remove(id);
                ended.add(id);
                report(id, outcome);
            }
        }

        private void reportEndAgain(int pick) {
            if (harness.linkUp && !ended.isEmpty()) {
                report(ended.get(pick % ended.size()), Engine.RunOutcome.DONE);
            }
        }

        private void report(String id, Engine.RunOutcome outcome) {
            harness.gateway.onRunEnded(id, outcome, 50, Unpooled.wrappedBuffer(new byte[300]));
        }

        private void loseLink(boolean lastCommandLost) {
            if (harness.linkUp) {
                harness.linkUp = false;
                harness.gateway.onDetached();
                if (lastCommandLost && !running.isEmpty()) {
                    running.remove(List.copyOf(running).get(running.size() - 1));
                }
            }
        }

        private void reattach() {
            if (!harness.linkUp) {
                harness.linkUp = true;
                harness.gateway.onAttached(false, harness.now);
                catchUp();
            }
        }

        private void restartEngine() {
            loseLink(false);
            running.clear();
            harness.linkUp = true;
            harness.gateway.onAttached(true, 0);
            catchUp();
        }

        /** Catches up as the engine's connection does, which ends if this throws. */
        private void catchUp() {
            try {
                harness.gateway.onCaughtUp();
            } catch (OutOfMemoryError e) {
                loseLink(false);
            }
        }

        /** Removes the class {@code order}, or adds it, perhaps with another deadline. */
        private void changeClass(int pick) {
            Catalog current = catalogBuilder.current();
            RequestClass template = current.classEntry("read").spec();
            boolean present = current.classEntry("order") != null;
            CatalogBuilder.ChangeResult result =
                    catalogBuilder.apply(
                            new CatalogChange(
                                    current.epoch(),
                                    current.number() + 1,
                                    present && pick % 2 == 0 ? Map.of() : Map.of("order", template),
                                    present && pick % 2 == 0 ? Set.of("order") : Set.of(),
                                    Map.of(),
                                    Set.of()));
            if (result instanceof CatalogBuilder.ChangeResult.Applied applied) {
                harness.gateway.applyChange(applied.next(), applied.delta(), done -> {});
            }
        }

        private void drain() {
            if (!draining) {
                draining = true;
                harness.gateway.beginDraining(harness.now, harness.now + 4000);
            }
        }

        /** Lets everything end that may still run, and the last deadline pass. */
        void settle() {
            harness.failNextRunOutOfMemory = false;
            reattach();
            endAllRuns();
            harness.advance(QUIET_MILLIS);
            endAllRuns();
            harness.advance(QUIET_MILLIS);
        }

        /**
         * Ends all runs. Each run that ends may let another one start, but at most as many as were
         * sent.
         */
        private void endAllRuns() {
            for (int i = 0; i <= sent.size(); i++) {
                readCommands();
                endRun(0, Engine.RunOutcome.DONE);
            }
        }

        void assertCounts() {
            RequestTable table = harness.gateway.requestTable();
            Map<Integer, Integer> classSlots = new HashMap<>();
            Map<Integer, Integer> tenantSlots = new HashMap<>();
            for (ActiveRequest request : table.all()) {
                classSlots.merge(request.classEntry.slot(), 1, Integer::sum);
                tenantSlots.merge(request.tenantSlot, 1, Integer::sum);
                assertTrue(
                        !request.answered || request.progress != Progress.NOT_SENT,
                        "still in the table although it was answered and never sent");
            }
            for (int slot = 0; slot < 8; slot++) {
                assertEquals(
                        classSlots.getOrDefault(slot, 0),
                        table.classSlotReferences(slot),
                        "class slot " + slot);
                assertEquals(
                        tenantSlots.getOrDefault(slot, 0),
                        table.tenantSlotReferences(slot),
                        "tenant slot " + slot);
            }
            for (ActiveRequest request : table.awaitingLink()) {
                assertSame(request, table.find(request.id), "awaits the link although it is over");
                assertEquals(Progress.NOT_SENT, request.progress);
            }
            assertRetainedResults();
        }

        private void assertRetainedResults() {
            IdempotencyTable table = harness.gateway.idempotencyTable();
            int bytes = 0;
            for (IdempotencyTable.Entry entry : table.keyedResults()) {
                assertTrue(
                        entry.completed() && table.isCurrent(entry),
                        "a retained result without a current key");
                bytes += entry.result().length;
            }
            assertEquals(bytes, table.resultBytes(), "bytes of results");
        }

        void assertEmpty() {
            assertEquals(0, harness.gateway.requestTable().size(), "in the request table");
            assertEquals(0, controller[0].activeRequests(), "in the controller");
            for (SentRequest request : sent) {
                assertEquals(1, request.recorder.responses.size(), "answers to " + request);
            }
        }
    }

    @Property(seed = "20261204", tries = 3000)
    void everyCountIsThatOfTheRequestsAndNothingIsLeftAtTheEnd(
            @ForAll("sequences") List<Event> sequence) {
        Scenario scenario = new Scenario();
        sequence.forEach(scenario::apply);
        scenario.settle();
        scenario.assertCounts();
        scenario.assertEmpty();
    }
}
