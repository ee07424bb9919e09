package tinroad.core;

import java.util.ArrayDeque;
import java.util.List;
import java.util.function.Consumer;
import tinroad.catalog.Catalog;
import tinroad.catalog.CatalogDelta;
import tinroad.overload.Controller.ClassSlot;
import tinroad.overload.Controller.TenantSlot;

/**
 * Brings versions of the catalog in force, one after the other: what a version changes is prepared
 * in slices, with other events between them, and counts at one instant. Guards the requests against
 * a wait for a large change. Owned by the event loop.
 */
final class CatalogRollout {
    /**
     * Entries that one slice prepares. Bounds what an event waits for: well under a millisecond.
     */
    static final int SLICE_ENTRIES = 256;

    /** Whose catalog it is. */
    interface Target {
        /** Prepares these entries; false where that failed. */
        boolean stage(List<ClassSlot> classes, List<TenantSlot> tenants);

        /** All that was prepared counts from now on; false where that failed. */
        boolean commit(Catalog next);

        /** What was prepared never counts. */
        void discardStaged();

        /** Does for these entries what can wait until after the commit. */
        void settle(List<ClassSlot> classes, List<TenantSlot> tenants);
    }

    private record Pending(Catalog next, CatalogDelta delta, Consumer<Boolean> completion) {}

    private enum Step {
        STAGING,
        SETTLING
    }

    private final Target target;
    private final Timers timers;
    private final Clock clock;
    private final ArrayDeque<Pending> pending = new ArrayDeque<>();
    private Step step = Step.STAGING;

    /** So many entries of the first that waits are through this step. */
    private int processedEntries;

    /** The longest slice of the version that came last, in ms: what an event had to wait for. */
    private double longestSliceMillis;

    CatalogRollout(Target target, Timers timers, Clock clock) {
        this.target = target;
        this.timers = timers;
        this.clock = clock;
    }

    /**
     * Takes a version in its turn; {@code end} hears whether it came in force, once nothing is left
     * to do for it.
     */
    void add(Catalog next, CatalogDelta delta, Consumer<Boolean> end) {
        pending.add(new Pending(next, delta, end));
        if (pending.size() == 1) {
            timers.after(0, this::processSlice);
        }
    }

    /** How many versions are not in force yet. */
    int pending() {
        return pending.size() - (step == Step.SETTLING ? 1 : 0);
    }

    /** What was prepared is lost: it begins anew. What counts already is settled to its end. */
    void restage() {
        if (step == Step.STAGING) {
            processedEntries = 0;
        } else {
            while (step == Step.SETTLING) {
                settle(pending.element());
            }
        }
    }

    /** How long the longest slice of the last version took, in ms; 0 before the first. */
    double longestSliceMillis() {
        return longestSliceMillis;
    }

    private void processSlice() {
        Pending change = pending.peek();
        if (change == null) {
            return;
        }
        double startedAtMillis = clock.nowMillis();
        longestSliceMillis = step == Step.STAGING && processedEntries == 0 ? 0 : longestSliceMillis;
        if (step == Step.SETTLING) {
            settle(change);
        } else if (!target.stage(classes(change.delta), tenants(change.delta))) {
            fail(change);
        } else {
            processedEntries += SLICE_ENTRIES;
            if (processedEntries >= change.delta.size()) {
                commit(change);
            }
        }
        longestSliceMillis = Math.max(longestSliceMillis, clock.nowMillis() - startedAtMillis);
        if (!pending.isEmpty()) {
            timers.after(0, this::processSlice);
        }
    }

    private void commit(Pending change) {
        processedEntries = 0;
        if (target.commit(change.next)) {
            step = Step.SETTLING;
        } else {
            fail(change);
        }
    }

    private void settle(Pending change) {
        target.settle(classes(change.delta), tenants(change.delta));
        processedEntries += SLICE_ENTRIES;
        if (processedEntries >= change.delta.size()) {
            complete(true);
        }
    }

    private void fail(Pending change) {
        target.discardStaged();
        complete(false);
    }

    private void complete(boolean inForce) {
        step = Step.STAGING;
        processedEntries = 0;
        pending.remove().completion.accept(inForce);
    }

    private List<ClassSlot> classes(CatalogDelta delta) {
        return slice(delta.classes(), processedEntries);
    }

    private List<TenantSlot> tenants(CatalogDelta delta) {
        return slice(delta.tenants(), processedEntries - delta.classes().size());
    }

    /** What of these the slice holds that begins at {@code from}, counted from their first. */
    private static <T> List<T> slice(List<T> all, int from) {
        int begin = Math.min(all.size(), Math.max(0, from));
        int end = Math.min(all.size(), Math.max(0, from + SLICE_ENTRIES));
        return all.subList(begin, end);
    }
}
