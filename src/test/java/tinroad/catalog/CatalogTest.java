package tinroad.catalog;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import tinroad.catalog.CatalogBuilder.ChangeResult;
import tinroad.config.SettingsValidator;
import tinroad.config.ValidationErrors;
import tinroad.overload.Controller.Idempotency;
import tinroad.overload.Controller.RequestClass;
import tinroad.overload.Controller.Tenant;

/**
 * What becomes of changes: in any order, with repeats, gaps and crashes, and of batches that can't
 * be meant.
 */
class CatalogTest {
    static RequestClass due(double deadline) {
        return new RequestClass(0, 0, deadline, 1, 0, Idempotency.IDEMPOTENT, 0, false, 0);
    }

    static Catalog of(
            long epoch,
            long number,
            Map<String, RequestClass> routes,
            Map<String, Tenant> tenants) {
        return Catalog.of(
                epoch,
                number,
                List.copyOf(routes.keySet()),
                List.copyOf(routes.values()),
                List.copyOf(tenants.keySet()),
                List.copyOf(tenants.values()));
    }

    private final CatalogBuilder editor =
            new CatalogBuilder(of(1, 5, Map.of("a", due(10)), Map.of("t", new Tenant(3, 1))));

    private static CatalogChange put(long epoch, long number, Map<String, RequestClass> routes) {
        return new CatalogChange(epoch, number, routes, Set.of(), Map.of(), Set.of());
    }

    private static CatalogChange remove(long number, String... routes) {
        return new CatalogChange(1, number, Map.of(), Set.of(routes), Map.of(), Set.of());
    }

    private void refused(String fault, CatalogChange c) {
        Catalog before = editor.current();
        assertEquals(new ChangeResult.Rejected(List.of(fault)), editor.apply(c));
        assertSame(before, editor.current());
    }

    @Test
    void epochsAreFencedGapsAreSeenAndRepeatsDoNothing() {
        assertEquals(new ChangeResult.Fenced(1), editor.apply(put(0, 6, Map.of("b", due(1)))));
        assertEquals(new ChangeResult.Gap(6), editor.apply(put(1, 7, Map.of("b", due(1)))));
        assertEquals(new ChangeResult.Gap(1), editor.apply(put(2, 2, Map.of("b", due(1)))));
        assertInstanceOf(ChangeResult.Applied.class, editor.apply(put(1, 6, Map.of("b", due(1)))));
        assertEquals(
                new ChangeResult.AlreadyApplied(), editor.apply(put(1, 6, Map.of("b", due(1)))));
        assertEquals(
                new ChangeResult.AlreadyApplied(), editor.apply(put(1, 5, Map.of("b", due(7)))));
        assertInstanceOf(ChangeResult.Applied.class, editor.apply(put(2, 1, Map.of("b", due(2)))));
        assertEquals(new ChangeResult.Fenced(2), editor.apply(put(1, 7, Map.of("b", due(1)))));
        assertEquals(2, editor.current().epoch());
    }

    @Test
    void twoPublishersWithOneEpochAreTold() {
        String before = editor.current().contentHash();
        editor.apply(put(1, 6, Map.of("b", due(1))));
        String now = editor.current().contentHash();
        // Another change under the same number, whether it tells what it leads to or not.
        assertEquals(new ChangeResult.Diverged(now), editor.apply(put(1, 6, Map.of("b", due(2)))));
        assertEquals(new ChangeResult.Diverged(now), editor.apply(remove(6, "b")));
        assertEquals(
                new ChangeResult.Diverged(now),
                editor.apply(
                        new CatalogChange(
                                1,
                                6,
                                Map.of(),
                                Set.of(),
                                Map.of(),
                                Set.of(),
                                before,
                                "0".repeat(32))));
        // Or one that goes on from what the other one wrote.
        assertEquals(
                new ChangeResult.Diverged(now),
                editor.apply(
                        new CatalogChange(
                                1,
                                7,
                                Map.of("c", due(1)),
                                Set.of(),
                                Map.of(),
                                Set.of(),
                                before,
                                null)));
        CatalogChange next =
                new CatalogChange(
                        1, 7, Map.of("c", due(1)), Set.of(), Map.of(), Set.of(), now, before);
        refused(
                "it leads to content " + editor.current().hashAfter(next) + ", and says " + before,
                next);
    }

    @Test
    void whatCanNotBeMeantIsRefusedWholeALineForEachFault() {
        refused("class b can't be removed: there is none", remove(6, "b"));
        refused("no class would be left", remove(6, "a"));
        refused(
                "class a is both put and removed",
                new CatalogChange(1, 6, Map.of("a", due(2)), Set.of("a"), Map.of(), Set.of()));
        refused("put of class has no name", put(1, 6, Map.of("", due(2))));
        refused(
                "org t: share has to be from 0 to 1, not 2",
                new CatalogChange(
                        1, 6, Map.of(), Set.of(), Map.of("t", new Tenant(1, 2)), Set.of()));
        String longest = "\u20ac".repeat(SettingsValidator.MAX_NAME_BYTES / 3);
        refused(
                "put of class: the name "
                        + longest.substring(0, 80)
                        + "... (1367 characters) is longer than 4096 bytes",
                put(1, 6, Map.of(longest + "xx", due(2))));
        assertInstanceOf(
                ChangeResult.Applied.class,
                editor.apply(put(1, 6, Map.of(longest + "x", due(2), "x", due(3)))));
        assertEquals(3, editor.current().classCount());
    }

    @Test
    void oneFaultInTenThousandEntriesRefusesAllAndManyFaultsAreCounted() {
        Map<String, Tenant> quotas = new HashMap<>();
        for (int i = 0; i < 10_000; i++) {
            quotas.put("t" + i, new Tenant(i, i == 7007 ? -1 : 0.5));
        }
        refused(
                "org t7007: share has to be from 0 to 1, not -1",
                new CatalogChange(1, 6, Map.of(), Set.of(), quotas, Set.of()));
        quotas.replaceAll((name, t) -> new Tenant(-1, 0));
        List<String> faults =
                ((ChangeResult.Rejected)
                                editor.apply(
                                        new CatalogChange(
                                                1, 6, Map.of(), Set.of(), quotas, Set.of())))
                        .errors();
        assertEquals(ValidationErrors.MAX_REPORTED + 1, faults.size());
        assertEquals("and 9900 more", faults.get(ValidationErrors.MAX_REPORTED));
        quotas.replaceAll((name, t) -> new Tenant(1, 0));
        assertInstanceOf(
                ChangeResult.Applied.class,
                editor.apply(new CatalogChange(1, 6, Map.of(), Set.of(), quotas, Set.of())));
    }

    @Test
    void tablesHaveBounds() {
        Map<String, RequestClass> many = new HashMap<>();
        for (int i = 0; i < SettingsValidator.MAX_CLASSES; i++) {
            many.put("r" + i, due(1));
        }
        List<String> faults = ((ChangeResult.Rejected) editor.apply(put(1, 6, many))).errors();
        assertTrue(faults.contains("classes: 65537 are more than 65536"), faults::toString);
        many.remove("r0");
        assertInstanceOf(ChangeResult.Applied.class, editor.apply(put(1, 6, many)));
        // Full: one more place there is only after one that was left is free.
        editor.apply(remove(7, "r1"));
        refused(
                "class: no place for 1 new ones before what still runs under 1 removed ones has"
                        + " ended",
                put(1, 8, Map.of("x", due(1))));
        editor.releaseClassSlot(0);
        refused(
                "class: no place for 1 new ones before what still runs under 1 removed ones has"
                        + " ended",
                put(1, 8, Map.of("x", due(1))));
        for (int place = 0; place <= SettingsValidator.MAX_CLASSES; place++) {
            editor.releaseClassSlot(place);
        }
        assertInstanceOf(ChangeResult.Applied.class, editor.apply(put(1, 8, Map.of("x", due(1)))));
    }

    @Test
    void equalSpecsAndNamesAreShared() {
        editor.apply(put(1, 6, Map.of("b", due(1), "c", due(1))));
        assertSame(
                editor.current().classEntry("b").spec(), editor.current().classEntry("c").spec());
        String name = editor.current().classEntry("b").name();
        editor.apply(put(1, 7, Map.of(new String("b"), due(4))));
        assertSame(name, editor.current().classEntry("b").name());
    }

    @Test
    void aWholeFileLeadsToItsContentAndHoldsOnlyWhatDiffers() {
        Map<String, RequestClass> routes = new HashMap<>(Map.of("a", due(10)));
        for (int i = 0; i < 1000; i++) {
            routes.put("r" + i, due(i + 1));
        }
        editor.apply(put(1, 6, routes));
        FullSnapshotDiff same = new FullSnapshotDiff(editor.current());
        routes.forEach(same::requestClass);
        assertTrue(same.tenant("t", new Tenant(3, 1)));
        assertEquals(0, same.change(1, 7).size());
        assertEquals(editor.current().contentHash(), same.change(1, 7).hashAfter());

        routes.remove("r3");
        routes.put("r4", due(9999));
        routes.put("new", due(1));
        FullSnapshotDiff other = new FullSnapshotDiff(editor.current());
        routes.forEach((name, spec) -> assertTrue(other.requestClass(name, spec)));
        assertEquals(false, other.requestClass("new", due(1)));
        assertEquals(false, other.requestClass("r5", due(6)));
        CatalogChange c = other.change(1, 7);
        assertEquals(
                new CatalogChange(
                        1,
                        7,
                        Map.of("r4", due(9999), "new", due(1)),
                        Set.of("r3"),
                        Map.of(),
                        Set.of("t"),
                        editor.current().contentHash(),
                        of(0, 0, routes, Map.of()).contentHash()),
                c);
        // It stands for a version far ahead.
        CatalogChange ahead = other.change(3, 40);
        assertEquals(new ChangeResult.Gap(1), editor.apply(ahead));
        assertInstanceOf(ChangeResult.Applied.class, editor.applyFullSnapshot(ahead));
        assertEquals(new ChangeResult.AlreadyApplied(), editor.applyFullSnapshot(ahead));
        assertEquals(ahead.hashAfter(), editor.current().contentHash());
        assertEquals(
                List.of(3L, 40L), List.of(editor.current().epoch(), editor.current().number()));
        assertEquals(new ChangeResult.Fenced(3), editor.applyFullSnapshot(c));
    }

    @Test
    void theHashTellsEveryPartAndNoOrder() {
        RequestClass c = new RequestClass(1, 2, 3, 4, 0.5, Idempotency.IDEMPOTENT, 6, false, 7);
        List<RequestClass> others =
                List.of(
                        c,
                        new RequestClass(9, 2, 3, 4, 0.5, Idempotency.IDEMPOTENT, 6, false, 7),
                        new RequestClass(1, 9, 3, 4, 0.5, Idempotency.IDEMPOTENT, 6, false, 7),
                        new RequestClass(1, 2, 9, 4, 0.5, Idempotency.IDEMPOTENT, 6, false, 7),
                        new RequestClass(1, 2, 3, 9, 0.5, Idempotency.IDEMPOTENT, 6, false, 7),
                        new RequestClass(1, 2, 3, 4, 0.9, Idempotency.IDEMPOTENT, 6, false, 7),
                        new RequestClass(
                                1, 2, 3, 4, 0.5, Idempotency.IDEMPOTENT_WITH_KEY, 6, false, 7),
                        new RequestClass(1, 2, 3, 4, 0.5, Idempotency.IDEMPOTENT, 9, false, 7),
                        new RequestClass(1, 2, 3, 4, 0.5, Idempotency.NON_IDEMPOTENT, 6, false, 7),
                        new RequestClass(1, 2, 3, 4, 0.5, Idempotency.IDEMPOTENT, 6, true, 7),
                        new RequestClass(1, 2, 3, 4, 0.5, Idempotency.IDEMPOTENT, 6, false, 9));
        Set<String> hashes = new HashSet<>();
        others.forEach(spec -> hashes.add(of(0, 0, Map.of("a", spec), Map.of()).contentHash()));
        assertEquals(others.size(), hashes.size());
        assertEquals(
                Catalog.of(0, 0, List.of("a", "b"), List.of(c, due(1)), List.of(), List.of())
                        .contentHash(),
                Catalog.of(9, 9, List.of("b", "a"), List.of(due(1), c), List.of(), List.of())
                        .contentHash());
        assertNotEquals(
                of(0, 0, Map.of("a", c), Map.of("t", new Tenant(1, 0))).contentHash(),
                of(0, 0, Map.of("a", c), Map.of("t", new Tenant(0, 1))).contentHash());
        ContentHash most = new ContentHash(-1, -1);
        ContentHash one = new ContentHash(0, 1);
        assertEquals(ContentHash.EMPTY, most.plus(one));
        assertEquals(most, ContentHash.EMPTY.minus(one));
    }

    /**
     * Changes come late, early, twice, with faults; the process is started anew on a file: the end
     * is that of the file read whole.
     */
    @Property(tries = 300, seed = "30")
    void anyOrderOfChangesRepeatsAndCrashesEndsInTheHashOfTheFile(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        Map<String, RequestClass> routes = new HashMap<>(Map.of("a", due(10)));
        Map<String, Tenant> tenants = new HashMap<>();
        List<Catalog> files = new ArrayList<>(List.of(of(1, 0, routes, tenants)));
        List<CatalogChange> log = new ArrayList<>();
        for (int n = 1; n <= 30; n++) {
            FullSnapshotDiff next = new FullSnapshotDiff(files.get(n - 1));
            for (int k = random.nextInt(6); k > 0; k--) {
                String name = "n" + random.nextInt(12);
                if (random.nextBoolean()) {
                    routes.put(name, due(1 + random.nextInt(3)));
                    tenants.put(name, new Tenant(random.nextInt(3), 0));
                } else {
                    routes.remove(name);
                    tenants.remove(name);
                }
            }
            routes.forEach(next::requestClass);
            tenants.forEach(next::tenant);
            CatalogChange c = next.change(1, n);
            log.add(
                    random.nextBoolean()
                            ? c
                            : new CatalogChange(
                                    1,
                                    n,
                                    c.putClasses(),
                                    c.removedClasses(),
                                    c.putTenants(),
                                    c.removedTenants()));
            files.add(of(1, n, routes, tenants));
        }
        CatalogBuilder e = new CatalogBuilder(files.get(0));
        Set<Integer> left = new HashSet<>();
        while (e.current().number() < log.size()) {
            int at = (int) e.current().number();
            switch (random.nextInt(8)) {
                // The process ends, and begins with the file of then.
                case 0 -> {
                    e = new CatalogBuilder(files.get(at));
                    left.clear();
                }
                case 1 -> {
                    CatalogBuilder same = e;
                    left.forEach(same::releaseClassSlot);
                    left.clear();
                }
                case 2 ->
                        assertInstanceOf(
                                ChangeResult.Rejected.class,
                                e.apply(
                                        new CatalogChange(
                                                1,
                                                at + 1,
                                                Map.of("bad", due(-1)),
                                                Set.of(),
                                                Map.of(),
                                                Set.of())));
                default -> {
                    ChangeResult o =
                            e.apply(
                                    log.get(
                                            random.nextInt(
                                                    Math.max(0, at - 3),
                                                    Math.min(log.size(), at + 4))));
                    if (o instanceof ChangeResult.Applied taken) {
                        assertPlaces(taken, left);
                    }
                }
            }
            assertEquals(
                    files.get((int) e.current().number()).contentHash(), e.current().contentHash());
        }
        assertEquals(of(0, 0, routes, tenants).contentHash(), e.current().contentHash());
        for (Map.Entry<String, RequestClass> r : routes.entrySet()) {
            assertEquals(r.getValue(), e.current().classEntry(r.getKey()).spec());
        }
    }

    /** No two entries at one place, and none at one that was left and is not free. */
    private static void assertPlaces(ChangeResult.Applied taken, Set<Integer> left) {
        Set<Integer> used = new HashSet<>();
        taken.next()
                .classEntries()
                .forEach(r -> assertTrue(used.add(r.slot()), "place given twice"));
        left.forEach(
                place -> assertTrue(!used.contains(place), "place given anew before it was free"));
        taken.delta().classes().stream()
                .filter(c -> c.spec() == null)
                .forEach(c -> left.add(c.slot()));
        assertEquals(taken.next().classCount(), used.size());
    }
}
