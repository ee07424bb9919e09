package tinroad.catalog;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import org.pcollections.TreePMap;
import tinroad.config.Interner;
import tinroad.config.SettingsValidator;
import tinroad.config.ValidationErrors;
import tinroad.overload.Controller.ClassSlot;
import tinroad.overload.Controller.RequestClass;
import tinroad.overload.Controller.Tenant;
import tinroad.overload.Controller.TenantSlot;

/**
 * Makes one version of the catalog from the one before it, and gives out places. Used by one thread
 * at a time, beside the event loop. A place is given anew only after {@link #releaseClassSlot} or
 * {@link #tenantFree}: the loop says so once nothing in hand names it.
 */
public final class CatalogBuilder {
    private final Side<RequestClass, Catalog.ClassEntry> routes;
    private final Side<Tenant, Catalog.TenantEntry> tenants;
    private Catalog current;

    /** What became of a change. */
    public sealed interface ChangeResult {
        /** The next version, and what it changes. */
        record Applied(Catalog next, CatalogDelta delta) implements ChangeResult {}

        /** Nothing of it counts; a line for each fault. */
        record Rejected(List<String> errors) implements ChangeResult {}

        /** It was taken before: nothing changes. */
        record AlreadyApplied() implements ChangeResult {}

        /** Its publisher's epoch is over. */
        record Fenced(long epoch) implements ChangeResult {}

        /** Versions before it are missing, from this number on. */
        record Gap(long missing) implements ChangeResult {}

        /**
         * It follows another content than the one that serves, or is another change under a number
         * that was taken: two publish with one epoch, or the log and the settings file don't belong
         * together. {@code known} is the hash of what serves.
         */
        record Diverged(String known) implements ChangeResult {}
    }

    /**
     * Begins with a catalog whose places are all taken in turn, as {@link Catalog#of} leaves them.
     */
    public CatalogBuilder(Catalog first) {
        current = first;
        routes =
                new Side<>(
                        new SlotAllocator(
                                first.classTable().places(), SettingsValidator.MAX_CLASSES));
        tenants =
                new Side<>(
                        new SlotAllocator(
                                first.tenantTable().places(), SettingsValidator.MAX_TENANTS));
    }

    /** The version that was made last. */
    public Catalog current() {
        return current;
    }

    /** Nothing in hand names this place any more. */
    public void releaseClassSlot(int place) {
        routes.places.free(place);
    }

    /** The same of a tenant's place. */
    public void releaseTenantSlot(int place) {
        tenants.places.free(place);
    }

    /** Takes the change that comes next, or says why not. */
    public ChangeResult apply(CatalogChange c) {
        if (c.epoch() == current.epoch() && c.number() > current.number() + 1) {
            return new ChangeResult.Gap(current.number() + 1);
        }
        if (c.epoch() > current.epoch() && c.number() != 1) {
            return new ChangeResult.Gap(1);
        }
        return applyFullSnapshot(c);
    }

    /**
     * Takes a change that leads from the current version to a file read whole, as {@link
     * FullSnapshotDiff} makes it: it may leave out numbers, and begin a higher epoch with any.
     */
    public ChangeResult applyFullSnapshot(CatalogChange c) {
        if (c.epoch() < current.epoch()) {
            return new ChangeResult.Fenced(current.epoch());
        }
        if (c.epoch() == current.epoch() && c.number() <= current.number()) {
            return c.number() < current.number() || current.holds(c)
                    ? new ChangeResult.AlreadyApplied()
                    : new ChangeResult.Diverged(current.contentHash());
        }
        if (c.hashAfter() != null && c.hashAfter().equals(current.contentHash())) {
            // A file that was brought first: what it leads to serves already.
            current = current.withVersion(c.epoch(), c.number());
            return new ChangeResult.Applied(current, new CatalogDelta(List.of(), List.of()));
        }
        if (c.hashBefore() != null && !c.hashBefore().equals(current.contentHash())) {
            return new ChangeResult.Diverged(current.contentHash());
        }
        ValidationErrors faults = new ValidationErrors();
        int classes =
                routes.check(current.classTable(), c.putClasses(), c.removedClasses(), faults);
        int orgs = tenants.check(current.tenantTable(), c.putTenants(), c.removedTenants(), faults);
        SettingsValidator.counts(classes, orgs, faults);
        if (classes == 0) {
            faults.add("no class would be left");
        }
        String after = current.hashAfter(c);
        if (faults.isEmpty() && c.hashAfter() != null && !c.hashAfter().equals(after)) {
            faults.add("it leads to content " + after + ", and says " + c.hashAfter());
        }
        if (!faults.isEmpty()) {
            return new ChangeResult.Rejected(faults.lines());
        }
        List<ClassSlot> changedClasses =
                new ArrayList<>(c.putClasses().size() + c.removedClasses().size());
        List<TenantSlot> changedTenants =
                new ArrayList<>(c.putTenants().size() + c.removedTenants().size());
        current =
                new Catalog(
                        c.epoch(),
                        c.number(),
                        routes.take(
                                current.classTable(),
                                c.putClasses(),
                                c.removedClasses(),
                                (at, spec) -> changedClasses.add(new ClassSlot(at, spec))),
                        tenants.take(
                                current.tenantTable(),
                                c.putTenants(),
                                c.removedTenants(),
                                (at, spec) -> changedTenants.add(new TenantSlot(at, spec))));
        return new ChangeResult.Applied(current, new CatalogDelta(changedClasses, changedTenants));
    }

    /** One of the two tables: its places, and the specs that it shares. */
    private static final class Side<S, E extends CatalogEntry<S>> {
        private final SlotAllocator places;
        private final Interner<S> specs = new Interner<>();

        Side(SlotAllocator places) {
            this.places = places;
        }

        /** Tells what can't be meant; returns how many entries there would be. */
        int check(
                EntryTable<S, E> table,
                Map<String, S> put,
                Set<String> removed,
                ValidationErrors faults) {
            String word = table.kind().word();
            int gone = 0;
            for (String name : removed) {
                if (table.get(name) == null) {
                    faults.add(
                            word
                                    + " "
                                    + SettingsValidator.shown(name)
                                    + " can't be removed: there is none");
                } else if (put.containsKey(name)) {
                    faults.add(
                            word
                                    + " "
                                    + SettingsValidator.shown(name)
                                    + " is both put and removed");
                } else {
                    gone++;
                }
            }
            int added = 0;
            for (Map.Entry<String, S> e : put.entrySet()) {
                SettingsValidator.name("put of " + word, -1, e.getKey(), false, faults);
                table.kind().check(e.getKey(), e.getValue(), faults);
                added += table.get(e.getKey()) == null ? 1 : 0;
            }
            if (added > places.room()) {
                faults.add(
                        word
                                + ": no place for "
                                + added
                                + " new ones before what still runs under "
                                + (places.waiting() + gone)
                                + " removed ones has ended");
            }
            return table.size() - gone + added;
        }

        /** The next table; each change of a place is told. */
        EntryTable<S, E> take(
                EntryTable<S, E> table,
                Map<String, S> put,
                Set<String> removed,
                BiConsumer<Integer, S> told) {
            TreePMap<String, E> entries = table.entries();
            for (String name : removed) {
                int place = entries.get(name).slot();
                entries = entries.minus(name);
                places.leave(place);
                told.accept(place, null);
            }
            for (Map.Entry<String, S> e : put.entrySet()) {
                E there = entries.get(e.getKey());
                String name = there == null ? e.getKey() : there.name();
                S spec = specs.intern(e.getValue());
                int place = there == null ? places.give() : there.slot();
                entries = entries.plus(name, table.kind().entry(name, place, spec));
                told.accept(place, spec);
            }
            return new EntryTable<>(
                    table.kind(), entries, table.after(put, removed), table.places());
        }
    }
}
