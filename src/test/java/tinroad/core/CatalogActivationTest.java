package tinroad.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import tinroad.catalog.Catalog;
import tinroad.catalog.CatalogBuilder;
import tinroad.catalog.CatalogChange;
import tinroad.overload.Controller.Idempotency;
import tinroad.overload.Controller.RequestClass;
import tinroad.overload.Controller.Tenant;

/** Tests changes of classes and tenants while requests are queued, run, and have duplicates. */
class CatalogActivationTest {
    private static final String KEY = "00000000000000000000000000000001";

    private GatewayHarness harness = GatewayHarness.started();
    private final GatewayHarness.ResponseRecorder answers = new GatewayHarness.ResponseRecorder();
    private CatalogBuilder catalogBuilder = new CatalogBuilder(harness.gateway.catalog());
    private final List<Boolean> completions = new ArrayList<>();
    private final List<Integer> freeClasses = new ArrayList<>();
    private final List<Integer> freeTenants = new ArrayList<>();
    private int lastId;

    private void useHarness(GatewayHarness other) {
        harness = other;
        catalogBuilder = new CatalogBuilder(harness.gateway.catalog());
        harness.gateway.onSlotsFree(
                all -> Arrays.stream(all).forEach(freeClasses::add),
                all -> Arrays.stream(all).forEach(freeTenants::add));
    }

    CatalogActivationTest() {
        useHarness(harness);
    }

    private static RequestClass spec(double deadlineMillis, Idempotency idempotency) {
        return new RequestClass(
                deadlineMillis / 2,
                0,
                deadlineMillis,
                1,
                0,
                idempotency,
                idempotency == Idempotency.IDEMPOTENT_WITH_KEY ? 3000 : 0,
                false,
                0);
    }

    private void change(
            Map<String, RequestClass> put,
            Set<String> removed,
            Map<String, Tenant> putTenants,
            Set<String> removedTenants) {
        Catalog current = catalogBuilder.current();
        CatalogBuilder.ChangeResult result =
                catalogBuilder.apply(
                        new CatalogChange(
                                current.epoch(),
                                current.number() + 1,
                                put,
                                removed,
                                putTenants,
                                removedTenants));
        CatalogBuilder.ChangeResult.Applied applied = (CatalogBuilder.ChangeResult.Applied) result;
        harness.gateway.applyChange(applied.next(), applied.delta(), completions::add);
    }

    private void put(String name, RequestClass spec) {
        change(Map.of(name, spec), Set.of(), Map.of(), Set.of());
    }

    private void remove(String name) {
        change(Map.of(), Set.of(name), Map.of(), Set.of());
    }

    private static Map<String, RequestClass> manyClasses(int count) {
        Map<String, RequestClass> all = new HashMap<>();
        for (int i = 0; i < count; i++) {
            all.put("c" + i, spec(700, Idempotency.NON_IDEMPOTENT));
        }
        return all;
    }

    private String send(String className, String tenantName, String idempotencyKey) {
        String id = String.format("%016x", ++lastId);
        harness.gateway.handle(
                new IncomingRequest(
                        id,
                        harness.now,
                        className,
                        tenantName,
                        4,
                        20,
                        0.5,
                        "k",
                        idempotencyKey,
                        Double.NaN,
                        false,
                        Unpooled.copiedBuffer("body", StandardCharsets.ISO_8859_1)),
                answers);
        return id;
    }

    private String send(String className) {
        return send(className, "acme", null);
    }

    private void completeRun(String id) {
        harness.gateway.onRunEnded(
                id,
                Engine.RunOutcome.DONE,
                5,
                Unpooled.copiedBuffer("result", StandardCharsets.ISO_8859_1));
    }

    @Test
    void appliesVersionAtOneInstantAfterTheEventThatBringsIt() {
        change(
                Map.of("pay", spec(500, Idempotency.IDEMPOTENT)),
                Set.of("order"),
                Map.of("globex", new Tenant(5, 0.1)),
                Set.of());
        send("pay");
        harness.controller.onRequest = r -> harness.controller.actions.run(r.id());
        completeRun(send("order"));
        harness.advance(0);
        completeRun(send("pay", "globex", null));
        send("order");
        assertEquals(
                List.of(
                        "INVALID NOT_SENT",
                        "SERVED RAN result",
                        "SERVED RAN result",
                        "INVALID NOT_SENT"),
                answers.responses);
        assertEquals(List.of(true), completions);
        assertEquals(1, harness.gateway.catalog().number());
        assertEquals(harness.now, harness.gateway.catalogSinceMillis());
        assertEquals(2, harness.controller.lastRequest.classSlot());
        assertEquals(1, harness.controller.lastRequest.tenantSlot());
        assertNull(harness.controller.classes.get(1));
    }

    @Test
    void stagesLargeChangeInSlicesWithOtherEventsBetween() {
        int n = 3 * CatalogRollout.SLICE_ENTRIES + 1;
        change(manyClasses(n), Set.of(), Map.of(), Set.of());
        harness.controller.onRequest = r -> harness.controller.actions.reject(r.id(), 0, false);
        // No time passes between the slices: the test counts what they do, not how long it takes.
        while (harness.controller.commits == 0) {
            assertEquals(0, harness.gateway.catalog().number());
            assertEquals(1, harness.gateway.pendingCatalogs());
            send("c0");
            send("read");
            assertTrue(harness.runNextDueTask());
        }
        assertEquals(4, harness.controller.stagedEntries.size());
        assertTrue(
                harness.controller.stagedEntries.stream()
                        .allMatch(entries -> entries <= CatalogRollout.SLICE_ENTRIES));
        assertEquals(
                n, harness.controller.stagedEntries.stream().mapToInt(Integer::intValue).sum());
        assertEquals(0, harness.gateway.pendingCatalogs());
        assertEquals("INVALID NOT_SENT", answers.responses.get(6));
        send("c" + (n - 1));
        assertEquals("REJECTED NOT_SENT", answers.responses.get(8));
        harness.advance(0);
        assertEquals(List.of(true), completions);
    }

    @Test
    void numberOfSlicesFollowsTheChangeNotTheTable() {
        change(manyClasses(10_000), Set.of(), Map.of(), Set.of());
        harness.advance(0);
        harness.controller.stagedEntries.clear();
        change(manyClasses(100), Set.of(), Map.of(), Set.of());
        harness.advance(0);
        assertEquals(List.of(100), harness.controller.stagedEntries);
        harness.controller.stagedEntries.clear();
        change(Map.of(), new HashSet<>(manyClasses(10_000).keySet()), Map.of(), Set.of());
        harness.advance(0);
        assertEquals(
                (10_000 + CatalogRollout.SLICE_ENTRIES - 1) / CatalogRollout.SLICE_ENTRIES,
                harness.controller.stagedEntries.size());
        assertEquals(3, harness.controller.commits);
        harness.advance(
                SlotReferences.REUSE_DELAY_MILLIS
                        + 2
                                * DeadlineGuard.PERIOD_MILLIS
                                * 10_000
                                / SlotReferences.MAX_FREED_PER_CHECK);
        assertEquals(10_000, new HashSet<>(freeClasses).size());
        assertEquals(10_000, freeClasses.size());
    }

    @Test
    void appliesVersionsOneAfterTheOther() {
        change(manyClasses(300), Set.of(), Map.of(), Set.of());
        put("read", spec(100, Idempotency.IDEMPOTENT));
        assertEquals(2, harness.gateway.pendingCatalogs());
        harness.advance(0);
        assertEquals(List.of(256, 44, 1), harness.controller.stagedEntries);
        assertEquals(List.of(true, true), completions);
        assertSame(catalogBuilder.current(), harness.gateway.catalog());
        assertEquals(0, harness.gateway.pendingCatalogs());
    }

    @Test
    void queuedRequestKeepsItsDeadline() {
        send("read");
        harness.advance(500);
        put("read", spec(200, Idempotency.IDEMPOTENT));
        harness.advance(400);
        assertEquals(List.of(), answers.responses);
        send("read");
        harness.advance(101 + DeadlineGuard.PERIOD_MILLIS);
        assertEquals(List.of("FAILED NOT_SENT"), answers.responses);
        harness.advance(100 + DeadlineGuard.PERIOD_MILLIS);
        assertEquals(2, answers.responses.size());
    }

    @Test
    void acceptsOlderArrivalsForLongerDeadlineAddedLater() {
        put("slow", spec(10 * ActiveCatalog.MAX_ARRIVAL_OFFSET_MILLIS, Idempotency.IDEMPOTENT));
        harness.advance(0);
        harness.controller.onRequest = r -> harness.controller.actions.run(r.id());
        harness.gateway.handle(
                new IncomingRequest(
                        "00000000000000aa",
                        harness.now - 5 * ActiveCatalog.MAX_ARRIVAL_OFFSET_MILLIS,
                        "slow",
                        "acme",
                        4,
                        20,
                        0.5,
                        null,
                        Unpooled.EMPTY_BUFFER),
                answers);
        completeRun("00000000000000aa");
        assertEquals(List.of("SERVED RAN result"), answers.responses);
    }

    @Test
    void freesSlotOnceNoRequestInFlightRefersToIt() {
        String queued = send("order");
        String running = send("order");
        harness.controller.actions.run(running);
        change(Map.of(), Set.of("order"), Map.of(), Set.of("acme"));
        harness.advance(100);
        harness.controller.actions.reject(queued, 0, false);
        harness.advance(SlotReferences.REUSE_DELAY_MILLIS * 4);
        // The client of the running request has its answer, but the run may still end.
        assertEquals(List.of("REJECTED NOT_SENT", "FAILED SENT"), answers.responses);
        assertEquals(List.of(), freeClasses);
        completeRun(running);
        harness.advance(SlotReferences.REUSE_DELAY_MILLIS - 1);
        assertEquals(List.of(), freeClasses);
        harness.advance(1 + DeadlineGuard.PERIOD_MILLIS);
        assertEquals(List.of(1), freeClasses);
        assertEquals(List.of(0), freeTenants);
        harness.advance(SlotReferences.REUSE_DELAY_MILLIS * 4);
        assertEquals(List.of(1), freeClasses);
    }

    @Test
    void unsentRunKeepsItsSlotAndItsClassName() {
        harness.linkUp = false;
        harness.gateway.onDetached();
        String waiting = send("order");
        harness.controller.actions.run(waiting);
        remove("order");
        harness.advance(DeadlineGuard.PERIOD_MILLIS);
        assertEquals(1, harness.gateway.catalog().number());
        assertEquals(List.of(), freeClasses);
        harness.linkUp = true;
        harness.gateway.onAttached(false, 1e6);
        assertEquals(List.of("RUN " + waiting + " order body"), harness.runs);
        completeRun(waiting);
        harness.advance(SlotReferences.REUSE_DELAY_MILLIS + 2 * DeadlineGuard.PERIOD_MILLIS);
        assertEquals(List.of(1), freeClasses);
        assertEquals(List.of("SERVED RAN result"), answers.responses);
    }

    @Test
    void classRemovedAndAddedAgainIsNewAndOldRequestsGoOn() {
        String before = send("order");
        remove("order");
        put("order", spec(300, Idempotency.NON_IDEMPOTENT));
        harness.advance(0);
        String after = send("order");
        assertEquals(2, harness.controller.lastRequest.classSlot());
        harness.controller.actions.run(before);
        harness.controller.actions.run(after);
        completeRun(before);
        completeRun(after);
        assertEquals(List.of("SERVED RAN result", "SERVED RAN result"), answers.responses);
        assertEquals(
                List.of("read", "order"),
                harness.gateway.metrics().rows().stream().map(GatewayMetrics.Row::name).toList());
        assertEquals(2, harness.gateway.metrics().rows().get(1).served());
    }

    @Test
    void keepsCountsOfRemovedClassUntilItsSlotIsReused() {
        harness.controller.onRequest = r -> harness.controller.actions.reject(r.id(), 0, false);
        send("order");
        remove("order");
        harness.advance(SlotReferences.REUSE_DELAY_MILLIS + 2 * DeadlineGuard.PERIOD_MILLIS);
        freeClasses.forEach(catalogBuilder::releaseClassSlot);
        put("other", spec(500, Idempotency.IDEMPOTENT));
        harness.advance(0);
        assertEquals(
                new GatewayMetrics.Row("order", 0, 1, 0), harness.gateway.metrics().rows().get(1));
        send("other");
        assertEquals(1, harness.controller.lastRequest.classSlot());
        assertEquals(
                List.of(
                        new GatewayMetrics.Row("read", 0, 0, 0),
                        new GatewayMetrics.Row("other", 0, 1, 0)),
                harness.gateway.metrics().rows());
    }

    @Test
    void neverRunsKeyAgainWhateverBecomesOfItsClass() {
        useHarness(GatewayHarness.keyed());
        harness.controller.onRequest = r -> harness.controller.actions.run(r.id());
        completeRun(send("pay", "acme", KEY));
        put("pay", spec(2000, Idempotency.NON_IDEMPOTENT));
        harness.advance(0);
        send("pay", "acme", KEY);
        remove("pay");
        harness.advance(0);
        send("pay", "acme", KEY);
        send("pay", "acme", null);
        assertEquals(1, harness.runs.size());
        assertEquals(
                List.of("SERVED RAN result", "FAILED NOT_SENT", "FAILED SENT", "INVALID NOT_SENT"),
                answers.responses);
    }

    @Test
    void startsControllerWithChangesFromBeforeTheEngine() {
        useHarness(new GatewayHarness(0));
        change(manyClasses(300), Set.of("order"), Map.of("globex", new Tenant(7, 1)), Set.of());
        harness.advance(0);
        assertEquals(List.of(true), completions);
        assertEquals(1, harness.gateway.catalog().number());
        remove("c0");
        harness.gateway.onAttached(true, 0);
        assertEquals(1, harness.controller.commits);
        assertEquals(new Tenant(7, 1), harness.controller.tenants.get(1));
        assertNull(harness.controller.classes.get(1));
        harness.advance(0);
        assertEquals(2, harness.controller.commits);
        assertEquals(List.of(true, true), completions);
    }

    @Test
    void losesNothingOfChangeWhenTheEngineAttachesMeanwhile() {
        for (int steps = 1; steps < 8; steps++) {
            completions.clear();
            useHarness(new GatewayHarness(0));
            change(manyClasses(600), Set.of("order"), Map.of(), Set.of());
            for (int i = 0; i < steps; i++) {
                harness.runNextDueTask();
            }
            harness.gateway.onAttached(true, 0);
            harness.advance(0);
            assertEquals(List.of(true), completions);
            assertEquals(1, harness.gateway.catalog().number());
            assertEquals(602, harness.controller.classes.size());
            assertNull(harness.controller.classes.get(1));
        }
    }

    @Test
    void appliesChangesWhileDraining() {
        String queued = send("order");
        harness.gateway.beginDraining(harness.now, harness.now + 3000);
        change(manyClasses(300), Set.of("order"), Map.of(), Set.of());
        harness.advance(0);
        assertEquals(List.of(true), completions);
        harness.controller.actions.run(queued);
        completeRun(queued);
        assertEquals(List.of("SERVED RAN result"), answers.responses);
    }

    @Test
    void keepsCatalogWhereTheControllerFailsToStage() {
        Catalog before = harness.gateway.catalog();
        harness.controller.failNextStage = true;
        change(manyClasses(300), Set.of("order"), Map.of(), Set.of());
        harness.advance(0);
        assertEquals(List.of(false), completions);
        assertSame(before, harness.gateway.catalog());
        assertEquals(0, harness.controller.commits);
        send("order");
        assertEquals(1, harness.controller.lastRequest.classSlot());
    }

    @Test
    void countsEveryTenantAsTheFirstWhereAllAreRemoved() {
        change(Map.of(), Set.of(), Map.of(), Set.of("acme"));
        harness.advance(0);
        harness.controller.onRequest = r -> harness.controller.actions.run(r.id());
        completeRun(send("read", "whoever", null));
        assertEquals(List.of("SERVED RAN result"), answers.responses);
        assertEquals(0, harness.controller.lastRequest.tenantSlot());
    }
}
