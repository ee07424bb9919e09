package tinroad.catalog;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
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
 * Tests the application of changes in any order, with repeats, gaps, crashes and invalid changes.
 */
class CatalogTest {
    static RequestClass withDeadline(double deadline) {
        return new RequestClass(0, 0, deadline, 1, 0, Idempotency.IDEMPOTENT, 0, false, 0);
    }

    static Catalog of(
            long epoch,
            long number,
            Map<String, RequestClass> classes,
            Map<String, Tenant> tenants) {
        return Catalog.of(
                epoch,
                number,
                List.copyOf(classes.keySet()),
                List.copyOf(classes.values()),
                List.copyOf(tenants.keySet()),
                List.copyOf(tenants.values()));
    }

    private final CatalogBuilder builder =
            new CatalogBuilder(
                    of(1, 5, Map.of("a", withDeadline(10)), Map.of("t", new Tenant(3, 1))));

    private static CatalogChange put(long epoch, long number, Map<String, RequestClass> classes) {
        return new CatalogChange(epoch, number, classes, Set.of(), Map.of(), Set.of());
    }

    private static CatalogChange remove(long number, String... classNames) {
        return new CatalogChange(1, number, Map.of(), Set.of(classNames), Map.of(), Set.of());
    }

    private void assertRejected(String error, CatalogChange change) {
        Catalog before = builder.current();
        assertEquals(new ChangeResult.Rejected(List.of(error)), builder.apply(change));
        assertSame(before, builder.current());
    }

    @Test
    void fencesEarlierEpochsDetectsGapsAndIgnoresRepeats() {
        assertEquals(
                new ChangeResult.Fenced(1), builder.apply(put(0, 6, Map.of("b", withDeadline(1)))));
        assertEquals(
                new ChangeResult.Gap(6), builder.apply(put(1, 7, Map.of("b", withDeadline(1)))));
        assertEquals(
                new ChangeResult.Gap(1), builder.apply(put(2, 2, Map.of("b", withDeadline(1)))));
        assertInstanceOf(
                ChangeResult.Applied.class, builder.apply(put(1, 6, Map.of("b", withDeadline(1)))));
        assertEquals(
                new ChangeResult.AlreadyApplied(),
                builder.apply(put(1, 6, Map.of("b", withDeadline(1)))));
        assertEquals(
                new ChangeResult.AlreadyApplied(),
                builder.apply(put(1, 5, Map.of("b", withDeadline(7)))));
        assertInstanceOf(
                ChangeResult.Applied.class, builder.apply(put(2, 1, Map.of("b", withDeadline(2)))));
        assertEquals(
                new ChangeResult.Fenced(2), builder.apply(put(1, 7, Map.of("b", withDeadline(1)))));
        assertEquals(2, builder.current().epoch());
    }

    @Test
    void detectsTwoPublishersWithOneEpoch() {
        String before = builder.current().contentHash();
        builder.apply(put(1, 6, Map.of("b", withDeadline(1))));
        String now = builder.current().contentHash();
        // A different change under the same number, whether its hashes are known or not.
        assertEquals(
                new ChangeResult.Diverged(now),
                builder.apply(put(1, 6, Map.of("b", withDeadline(2)))));
        assertEquals(new ChangeResult.Diverged(now), builder.apply(remove(6, "b")));
        assertEquals(
                new ChangeResult.Diverged(now),
                builder.apply(
                        new CatalogChange(
                                1,
                                6,
                                Map.of(),
                                Set.of(),
                                Map.of(),
                                Set.of(),
                                before,
                                "0".repeat(32))));
        // Or a change that does not follow the current content.
        assertEquals(
                new ChangeResult.Diverged(now),
                builder.apply(
                        new CatalogChange(
                                1,
                                7,
                                Map.of("c", withDeadline(1)),
                                Set.of(),
                                Map.of(),
                                Set.of(),
                                before,
                                null)));
        CatalogChange next =
                new CatalogChange(
                        1,
                        7,
                        Map.of("c", withDeadline(1)),
                        Set.of(),
                        Map.of(),
                        Set.of(),
                        now,
                        before);
        assertRejected(
                "it leads to content " + builder.current().hashAfter(next) + ", not to " + before,
                next);
    }

    @Test
    void rejectsAnInvalidChangeCompletelyWithALineForEachError() {
        assertRejected("class b can't be removed: there is none", remove(6, "b"));
        assertRejected("no class would be left", remove(6, "a"));
        assertRejected(
                "class a is both put and removed",
                new CatalogChange(
                        1, 6, Map.of("a", withDeadline(2)), Set.of("a"), Map.of(), Set.of()));
        assertRejected("put of class has no name", put(1, 6, Map.of("", withDeadline(2))));
        assertRejected(
                "org t: share has to be from 0 to 1, not 2",
                new CatalogChange(
                        1, 6, Map.of(), Set.of(), Map.of("t", new Tenant(1, 2)), Set.of()));
        String longest = "\u20ac".repeat(SettingsValidator.MAX_NAME_BYTES / 3);
        assertRejected(
                "put of class: the name "
                        + longest.substring(0, 80)
                        + "... (1367 characters) is longer than 4096 bytes",
                put(1, 6, Map.of(longest + "xx", withDeadline(2))));
        assertInstanceOf(
                ChangeResult.Applied.class,
                builder.apply(
                        put(1, 6, Map.of(longest + "x", withDeadline(2), "x", withDeadline(3)))));
        assertEquals(3, builder.current().classCount());
    }

    @Test
    void rejectsTenThousandEntriesForOneErrorAndCountsManyErrors() {
        Map<String, Tenant> quotas = new HashMap<>();
        for (int i = 0; i < 10_000; i++) {
            quotas.put("t" + i, new Tenant(i, i == 7007 ? -1 : 0.5));
        }
        assertRejected(
                "org t7007: share has to be from 0 to 1, not -1",
                new CatalogChange(1, 6, Map.of(), Set.of(), quotas, Set.of()));
        quotas.replaceAll((name, t) -> new Tenant(-1, 0));
        List<String> errors =
                ((ChangeResult.Rejected)
                                builder.apply(
                                        new CatalogChange(
                                                1, 6, Map.of(), Set.of(), quotas, Set.of())))
                        .errors();
        assertEquals(ValidationErrors.MAX_REPORTED + 1, errors.size());
        assertEquals("and 9900 more", errors.get(ValidationErrors.MAX_REPORTED));
        quotas.replaceAll((name, t) -> new Tenant(1, 0));
        assertInstanceOf(
                ChangeResult.Applied.class,
                builder.apply(new CatalogChange(1, 6, Map.of(), Set.of(), quotas, Set.of())));
    }

    @Test
    void boundsTheTables() {
        Map<String, RequestClass> newClasses = new HashMap<>();
        for (int i = 0; i < SettingsValidator.MAX_CLASSES; i++) {
            newClasses.put("r" + i, withDeadline(1));
        }
        List<String> errors =
                ((ChangeResult.Rejected) builder.apply(put(1, 6, newClasses))).errors();
        assertTrue(errors.contains("classes: 65537 are more than 65536"), errors::toString);
        newClasses.remove("r0");
        assertInstanceOf(ChangeResult.Applied.class, builder.apply(put(1, 6, newClasses)));
        // The table is full: a slot is available only after a retired one was released.
        builder.apply(remove(7, "r1"));
        assertRejected(
                "class: no place for 1 new ones before what still runs under 1 removed ones has"
                        + " ended",
                put(1, 8, Map.of("x", withDeadline(1))));
        builder.releaseClassSlot(0);
        assertRejected(
                "class: no place for 1 new ones before what still runs under 1 removed ones has"
                        + " ended",
                put(1, 8, Map.of("x", withDeadline(1))));
        for (int slot = 0; slot <= SettingsValidator.MAX_CLASSES; slot++) {
            builder.releaseClassSlot(slot);
        }
        assertInstanceOf(
                ChangeResult.Applied.class, builder.apply(put(1, 8, Map.of("x", withDeadline(1)))));
    }

    @Test
    void sharesEqualSpecsAndNames() {
        builder.apply(put(1, 6, Map.of("b", withDeadline(1), "c", withDeadline(1))));
        assertSame(
                builder.current().classEntry("b").spec(), builder.current().classEntry("c").spec());
        String name = builder.current().classEntry("b").name();
        builder.apply(put(1, 7, Map.of(new String("b"), withDeadline(4))));
        assertSame(name, builder.current().classEntry("b").name());
    }

    @Test
    void reachesTheContentOfAFullSnapshotThroughADiff() {
        Map<String, RequestClass> classes = new HashMap<>(Map.of("a", withDeadline(10)));
        for (int i = 0; i < 1000; i++) {
            classes.put("r" + i, withDeadline(i + 1));
        }
        builder.apply(put(1, 6, classes));
        FullSnapshotDiff same = new FullSnapshotDiff(builder.current());
        classes.forEach(same::requestClass);
        assertTrue(same.tenant("t", new Tenant(3, 1)));
        assertEquals(0, same.change(1, 7).size());
        assertEquals(builder.current().contentHash(), same.change(1, 7).hashAfter());

        classes.remove("r3");
        classes.put("r4", withDeadline(9999));
        classes.put("new", withDeadline(1));
        FullSnapshotDiff other = new FullSnapshotDiff(builder.current());
        classes.forEach((name, spec) -> assertTrue(other.requestClass(name, spec)));
        assertFalse(other.requestClass("new", withDeadline(1)));
        assertFalse(other.requestClass("r5", withDeadline(6)));
        CatalogChange c = other.change(1, 7);
        assertEquals(
                new CatalogChange(
                        1,
                        7,
                        Map.of("r4", withDeadline(9999), "new", withDeadline(1)),
                        Set.of("r3"),
                        Map.of(),
                        Set.of("t"),
                        builder.current().contentHash(),
                        of(0, 0, classes, Map.of()).contentHash()),
                c);
        // The same difference as a version far ahead.
        CatalogChange ahead = other.change(3, 40);
        assertEquals(new ChangeResult.Gap(1), builder.apply(ahead));
        assertInstanceOf(ChangeResult.Applied.class, builder.applyFullSnapshot(ahead));
        assertEquals(new ChangeResult.AlreadyApplied(), builder.applyFullSnapshot(ahead));
        assertEquals(ahead.hashAfter(), builder.current().contentHash());
        assertEquals(
                List.of(3L, 40L), List.of(builder.current().epoch(), builder.current().number()));
        assertEquals(new ChangeResult.Fenced(3), builder.applyFullSnapshot(c));
    }

    @Test
    void hashesEveryPartButNotTheOrder() {
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
                Catalog.of(
                                0,
                                0,
                                List.of("a", "b"),
                                List.of(c, withDeadline(1)),
                                List.of(),
                                List.of())
                        .contentHash(),
                Catalog.of(
                                9,
                                9,
                                List.of("b", "a"),
                                List.of(withDeadline(1), c),
                                List.of(),
                                List.of())
                        .contentHash());
        assertNotEquals(
                of(0, 0, Map.of("a", c), Map.of("t", new Tenant(1, 0))).contentHash(),
                of(0, 0, Map.of("a", c), Map.of("t", new Tenant(0, 1))).contentHash());
        ContentHash highest = new ContentHash(-1, -1);
        ContentHash one = new ContentHash(0, 1);
        assertEquals(ContentHash.EMPTY, highest.plus(one));
        assertEquals(highest, ContentHash.EMPTY.minus(one));
    }

    /**
     * Changes come late, early, repeatedly and with errors, and the process restarts from a file.
     * The final content is that of the full snapshot.
     */
    @Property(tries = 300, seed = "30")
    void endsInTheHashOfTheFileForAnyOrderOfChangesRepeatsAndCrashes(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        Map<String, RequestClass> classes = new HashMap<>(Map.of("a", withDeadline(10)));
        Map<String, Tenant> tenants = new HashMap<>();
        List<Catalog> files = new ArrayList<>(List.of(of(1, 0, classes, tenants)));
        List<CatalogChange> log = new ArrayList<>();
        for (int n = 1; n <= 30; n++) {
            FullSnapshotDiff next = new FullSnapshotDiff(files.get(n - 1));
            for (int k = random.nextInt(6); k > 0; k--) {
                String name = "n" + random.nextInt(12);
                if (random.nextBoolean()) {
                    classes.put(name, withDeadline(1 + random.nextInt(3)));
                    tenants.put(name, new Tenant(random.nextInt(3), 0));
                } else {
                    classes.remove(name);
                    tenants.remove(name);
                }
            }
            classes.forEach(next::requestClass);
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
            files.add(of(1, n, classes, tenants));
        }
        CatalogBuilder restarted = new CatalogBuilder(files.get(0));
        Set<Integer> retired = new HashSet<>();
        while (restarted.current().number() < log.size()) {
            int currentNumber = (int) restarted.current().number();
            switch (random.nextInt(8)) {
                // The process ends, and restarts from the file of that moment.
                case 0 -> {
                    restarted = new CatalogBuilder(files.get(currentNumber));
                    retired.clear();
                }
                case 1 -> {
                    CatalogBuilder same = restarted;
                    retired.forEach(same::releaseClassSlot);
                    retired.clear();
                }
                case 2 ->
                        assertInstanceOf(
                                ChangeResult.Rejected.class,
                                restarted.apply(
                                        new CatalogChange(
                                                1,
                                                currentNumber + 1,
                                                Map.of("bad", withDeadline(-1)),
                                                Set.of(),
                                                Map.of(),
                                                Set.of())));
                default -> {
                    ChangeResult result =
                            restarted.apply(
                                    log.get(
                                            random.nextInt(
                                                    Math.max(0, currentNumber - 3),
                                                    Math.min(log.size(), currentNumber + 4))));
                    if (result instanceof ChangeResult.Applied applied) {
                        assertSlotsAreUnique(applied, retired);
                    }
                }
            }
            assertEquals(
                    files.get((int) restarted.current().number()).contentHash(),
                    restarted.current().contentHash());
        }
        assertEquals(of(0, 0, classes, tenants).contentHash(), restarted.current().contentHash());
        for (Map.Entry<String, RequestClass> r : classes.entrySet()) {
            assertEquals(r.getValue(), restarted.current().classEntry(r.getKey()).spec());
        }
    }

    /**
     * Checks that no two entries share a slot, and that no entry has a slot that was retired but
     * not released.
     */
    private static void assertSlotsAreUnique(ChangeResult.Applied applied, Set<Integer> retired) {
        Set<Integer> used = new HashSet<>();
        applied.next()
                .classEntries()
                .forEach(r -> assertTrue(used.add(r.slot()), "slot allocated twice"));
        retired.forEach(
                slot ->
                        assertTrue(
                                !used.contains(slot),
                                "slot allocated again before it was released"));
        applied.delta().classes().stream()
                .filter(c -> c.spec() == null)
                .forEach(c -> retired.add(c.slot()));
        assertEquals(applied.next().classCount(), used.size());
    }
}
