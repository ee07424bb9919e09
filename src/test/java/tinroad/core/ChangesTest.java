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

/** Classes and tenants that change while requests are held, run, and are repeated. */
class ChangesTest {
    private static final String TOKEN = "00000000000000000000000000000001";

    private Harness h = Harness.started();
    private final Harness.Answers answers = new Harness.Answers();
    private CatalogBuilder editor = new CatalogBuilder(h.gateway.catalog());
    private final List<Boolean> ends = new ArrayList<>();
    private final List<Integer> freeClasses = new ArrayList<>();
    private final List<Integer> freeTenants = new ArrayList<>();
    private int ids;

    private void on(Harness other) {
        h = other;
        editor = new CatalogBuilder(h.gateway.catalog());
        h.gateway.onSlotsFree(
                all -> Arrays.stream(all).forEach(freeClasses::add),
                all -> Arrays.stream(all).forEach(freeTenants::add));
    }

    ChangesTest() {
        on(h);
    }

    private static RequestClass spec(double deadline, Idempotency semantics) {
        return new RequestClass(
                deadline / 2,
                0,
                deadline,
                1,
                0,
                semantics,
                semantics == Idempotency.IDEMPOTENT_WITH_KEY ? 3000 : 0,
                false,
                0);
    }

    private void change(
            Map<String, RequestClass> put,
            Set<String> removed,
            Map<String, Tenant> putTenants,
            Set<String> removedTenants) {
        Catalog now = editor.current();
        CatalogBuilder.ChangeResult outcome =
                editor.apply(
                        new CatalogChange(
                                now.epoch(),
                                now.number() + 1,
                                put,
                                removed,
                                putTenants,
                                removedTenants));
        CatalogBuilder.ChangeResult.Applied taken = (CatalogBuilder.ChangeResult.Applied) outcome;
        h.gateway.applyChange(taken.next(), taken.delta(), ends::add);
    }

    private void put(String name, RequestClass spec) {
        change(Map.of(name, spec), Set.of(), Map.of(), Set.of());
    }

    private void remove(String name) {
        change(Map.of(), Set.of(name), Map.of(), Set.of());
    }

    private static Map<String, RequestClass> many(int n) {
        Map<String, RequestClass> all = new HashMap<>();
        for (int i = 0; i < n; i++) {
            all.put("c" + i, spec(700, Idempotency.NON_IDEMPOTENT));
        }
        return all;
    }

    private String ask(String kind, String owner, String token) {
        String id = String.format("%016x", ++ids);
        h.gateway.handle(
                new IncomingRequest(
                        id,
                        h.now,
                        kind,
                        owner,
                        4,
                        20,
                        0.5,
                        "k",
                        token,
                        Double.NaN,
                        false,
                        Unpooled.copiedBuffer("body", StandardCharsets.ISO_8859_1)),
                answers);
        return id;
    }

    private String ask(String kind) {
        return ask(kind, "acme", null);
    }

    private void done(String id) {
        h.gateway.onRunEnded(
                id,
                Engine.RunOutcome.DONE,
                5,
                Unpooled.copiedBuffer("result", StandardCharsets.ISO_8859_1));
    }

    @Test
    void aVersionCountsWholeAndAfterTheEventThatBringsIt() {
        change(
                Map.of("pay", spec(500, Idempotency.IDEMPOTENT)),
                Set.of("order"),
                Map.of("globex", new Tenant(5, 0.1)),
                Set.of());
        ask("pay");
        h.module.onRequest = r -> h.module.act.run(r.id());
        done(ask("order"));
        h.pass(0);
        done(ask("pay", "globex", null));
        ask("order");
        assertEquals(
                List.of(
                        "INVALID NOT_SENT",
                        "SERVED RAN result",
                        "SERVED RAN result",
                        "INVALID NOT_SENT"),
                answers.got);
        assertEquals(List.of(true), ends);
        assertEquals(1, h.gateway.catalog().number());
        assertEquals(h.now, h.gateway.catalogSinceMillis());
        assertEquals(2, h.module.last.classSlot());
        assertEquals(1, h.module.last.tenantSlot());
        assertNull(h.module.classes.get(1));
    }

    @Test
    void aLargeChangeComesInBoundedSlicesWithOtherEventsBetweenAndCountsAtOneInstant() {
        int n = 3 * CatalogRollout.SLICE_ENTRIES + 1;
        change(many(n), Set.of(), Map.of(), Set.of());
        h.module.onRequest = r -> h.module.act.reject(r.id(), 0, false);
        // No time passes between the slices: what they do is counted, not how long it takes.
        while (h.module.commits == 0) {
            assertEquals(0, h.gateway.catalog().number());
            assertEquals(1, h.gateway.pendingCatalogs());
            ask("c0");
            ask("read");
            assertTrue(h.step());
        }
        assertEquals(4, h.module.staged.size());
        assertTrue(
                h.module.staged.stream()
                        .allMatch(entries -> entries <= CatalogRollout.SLICE_ENTRIES));
        assertEquals(n, h.module.staged.stream().mapToInt(Integer::intValue).sum());
        assertEquals(0, h.gateway.pendingCatalogs());
        assertEquals("INVALID NOT_SENT", answers.got.get(6));
        ask("c" + (n - 1));
        assertEquals("REJECTED NOT_SENT", answers.got.get(8));
        h.pass(0);
        assertEquals(List.of(true), ends);
    }

    @Test
    void asManySlicesAsTheEntriesNeedWhateverPartOfTheTableTheyAre() {
        change(many(10_000), Set.of(), Map.of(), Set.of());
        h.pass(0);
        h.module.staged.clear();
        change(many(100), Set.of(), Map.of(), Set.of());
        h.pass(0);
        assertEquals(List.of(100), h.module.staged);
        h.module.staged.clear();
        change(Map.of(), new HashSet<>(many(10_000).keySet()), Map.of(), Set.of());
        h.pass(0);
        assertEquals(
                (10_000 + CatalogRollout.SLICE_ENTRIES - 1) / CatalogRollout.SLICE_ENTRIES,
                h.module.staged.size());
        assertEquals(3, h.module.commits);
        h.pass(
                SlotReferences.REUSE_DELAY_MILLIS
                        + 2
                                * DeadlineGuard.PERIOD_MILLIS
                                * 10_000
                                / SlotReferences.MAX_FREED_PER_SWEEP);
        assertEquals(10_000, new HashSet<>(freeClasses).size());
        assertEquals(10_000, freeClasses.size());
    }

    @Test
    void aSecondVersionWaitsItsTurn() {
        change(many(300), Set.of(), Map.of(), Set.of());
        put("read", spec(100, Idempotency.IDEMPOTENT));
        assertEquals(2, h.gateway.pendingCatalogs());
        h.pass(0);
        assertEquals(List.of(256, 44, 1), h.module.staged);
        assertEquals(List.of(true, true), ends);
        assertSame(editor.current(), h.gateway.catalog());
        assertEquals(0, h.gateway.pendingCatalogs());
    }

    @Test
    void whatIsHeldKeepsTheDueTimeItCameUnder() {
        ask("read");
        h.pass(500);
        put("read", spec(200, Idempotency.IDEMPOTENT));
        h.pass(400);
        assertEquals(List.of(), answers.got);
        ask("read");
        h.pass(101 + DeadlineGuard.PERIOD_MILLIS);
        assertEquals(List.of("FAILED NOT_SENT"), answers.got);
        h.pass(100 + DeadlineGuard.PERIOD_MILLIS);
        assertEquals(2, answers.got.size());
    }

    @Test
    void anArrivalIsNotTooFarOffForALongerDeadlineThatCameLater() {
        put("slow", spec(10 * ActiveCatalog.MAX_ARRIVAL_OFFSET_MILLIS, Idempotency.IDEMPOTENT));
        h.pass(0);
        h.module.onRequest = r -> h.module.act.run(r.id());
        h.gateway.handle(
                new IncomingRequest(
                        "00000000000000aa",
                        h.now - 5 * ActiveCatalog.MAX_ARRIVAL_OFFSET_MILLIS,
                        "slow",
                        "acme",
                        4,
                        20,
                        0.5,
                        null,
                        Unpooled.EMPTY_BUFFER),
                answers);
        done("00000000000000aa");
        assertEquals(List.of("SERVED RAN result"), answers.got);
    }

    @Test
    void aPlaceIsFreeOnlyOnceNothingInHandNamesIt() {
        String held = ask("order");
        String running = ask("order");
        h.module.act.run(running);
        change(Map.of(), Set.of("order"), Map.of(), Set.of("acme"));
        h.pass(100);
        h.module.act.reject(held, 0, false);
        h.pass(SlotReferences.REUSE_DELAY_MILLIS * 4);
        // Its caller has its answer, and its run may still end.
        assertEquals(List.of("REJECTED NOT_SENT", "FAILED SENT"), answers.got);
        assertEquals(List.of(), freeClasses);
        done(running);
        h.pass(SlotReferences.REUSE_DELAY_MILLIS - 1);
        assertEquals(List.of(), freeClasses);
        h.pass(1 + DeadlineGuard.PERIOD_MILLIS);
        assertEquals(List.of(1), freeClasses);
        assertEquals(List.of(0), freeTenants);
        h.pass(SlotReferences.REUSE_DELAY_MILLIS * 4);
        assertEquals(List.of(1), freeClasses);
    }

    @Test
    void anOrderThatWaitsForTheLinkHoldsItsPlaceAndRunsUnderItsOwnName() {
        h.linkUp = false;
        h.gateway.onDetached();
        String waiting = ask("order");
        h.module.act.run(waiting);
        remove("order");
        h.pass(DeadlineGuard.PERIOD_MILLIS);
        assertEquals(1, h.gateway.catalog().number());
        assertEquals(List.of(), freeClasses);
        h.linkUp = true;
        h.gateway.onAttached(false, 1e6);
        assertEquals(List.of("RUN " + waiting + " order body"), h.runs);
        done(waiting);
        h.pass(SlotReferences.REUSE_DELAY_MILLIS + 2 * DeadlineGuard.PERIOD_MILLIS);
        assertEquals(List.of(1), freeClasses);
        assertEquals(List.of("SERVED RAN result"), answers.got);
    }

    @Test
    void aClassThatIsRemovedAndPutBackWithinATickIsNewAndTheOldOneGoesOn() {
        String before = ask("order");
        remove("order");
        put("order", spec(300, Idempotency.NON_IDEMPOTENT));
        h.pass(0);
        String after = ask("order");
        assertEquals(2, h.module.last.classSlot());
        h.module.act.run(before);
        h.module.act.run(after);
        done(before);
        done(after);
        assertEquals(List.of("SERVED RAN result", "SERVED RAN result"), answers.got);
        assertEquals(
                List.of("read", "order"),
                h.gateway.metrics().rows().stream().map(GatewayMetrics.Row::name).toList());
        assertEquals(2, h.gateway.metrics().rows().get(1).served());
    }

    @Test
    void countsOfARemovedClassStayUntilItsPlaceIsGivenAnew() {
        h.module.onRequest = r -> h.module.act.reject(r.id(), 0, false);
        ask("order");
        remove("order");
        h.pass(SlotReferences.REUSE_DELAY_MILLIS + 2 * DeadlineGuard.PERIOD_MILLIS);
        freeClasses.forEach(editor::releaseClassSlot);
        put("other", spec(500, Idempotency.IDEMPOTENT));
        h.pass(0);
        assertEquals(new GatewayMetrics.Row("order", 0, 1, 0), h.gateway.metrics().rows().get(1));
        ask("other");
        assertEquals(1, h.module.last.classSlot());
        assertEquals(
                List.of(
                        new GatewayMetrics.Row("read", 0, 0, 0),
                        new GatewayMetrics.Row("other", 0, 1, 0)),
                h.gateway.metrics().rows());
    }

    @Test
    void whatRanOfAKeyedClassNeverRunsAgainWhateverBecomesOfTheClass() {
        on(Harness.keyed());
        h.module.onRequest = r -> h.module.act.run(r.id());
        done(ask("pay", "acme", TOKEN));
        put("pay", spec(2000, Idempotency.NON_IDEMPOTENT));
        h.pass(0);
        ask("pay", "acme", TOKEN);
        remove("pay");
        h.pass(0);
        ask("pay", "acme", TOKEN);
        ask("pay", "acme", null);
        assertEquals(1, h.runs.size());
        assertEquals(
                List.of("SERVED RAN result", "FAILED NOT_SENT", "FAILED SENT", "INVALID NOT_SENT"),
                answers.got);
    }

    @Test
    void aChangeBeforeTheEngineIsThereIsWhatTheModuleBeginsWith() {
        on(new Harness(0));
        change(many(300), Set.of("order"), Map.of("globex", new Tenant(7, 1)), Set.of());
        h.pass(0);
        assertEquals(List.of(true), ends);
        assertEquals(1, h.gateway.catalog().number());
        remove("c0");
        h.gateway.onAttached(true, 0);
        assertEquals(1, h.module.commits);
        assertEquals(new Tenant(7, 1), h.module.tenants.get(1));
        assertNull(h.module.classes.get(1));
        h.pass(0);
        assertEquals(2, h.module.commits);
        assertEquals(List.of(true, true), ends);
    }

    @Test
    void anEngineThatComesWhileAChangeIsAppliedLosesNothingOfIt() {
        for (int steps = 1; steps < 8; steps++) {
            ends.clear();
            on(new Harness(0));
            change(many(600), Set.of("order"), Map.of(), Set.of());
            for (int i = 0; i < steps; i++) {
                h.step();
            }
            h.gateway.onAttached(true, 0);
            h.pass(0);
            assertEquals(List.of(true), ends);
            assertEquals(1, h.gateway.catalog().number());
            assertEquals(602, h.module.classes.size());
            assertNull(h.module.classes.get(1));
        }
    }

    @Test
    void aDrainHindersNoChange() {
        String held = ask("order");
        h.gateway.beginDraining(h.now, h.now + 3000);
        change(many(300), Set.of("order"), Map.of(), Set.of());
        h.pass(0);
        assertEquals(List.of(true), ends);
        h.module.act.run(held);
        done(held);
        assertEquals(List.of("SERVED RAN result"), answers.got);
    }

    @Test
    void aChangeThatTheModuleFailsAtLeavesAllAsItWas() {
        Catalog before = h.gateway.catalog();
        h.module.failsToStage = true;
        change(many(300), Set.of("order"), Map.of(), Set.of());
        h.pass(0);
        assertEquals(List.of(false), ends);
        assertSame(before, h.gateway.catalog());
        assertEquals(0, h.module.commits);
        ask("order");
        assertEquals(1, h.module.last.classSlot());
    }

    @Test
    void whereAllTenantsAreRemovedEveryOwnerIsTheFirst() {
        change(Map.of(), Set.of(), Map.of(), Set.of("acme"));
        h.pass(0);
        h.module.onRequest = r -> h.module.act.run(r.id());
        done(ask("read", "whoever", null));
        assertEquals(List.of("SERVED RAN result"), answers.got);
        assertEquals(0, h.module.last.tenantSlot());
    }
}
