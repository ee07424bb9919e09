package tinroad.core;

import java.util.ArrayDeque;
import java.util.List;
import java.util.function.Consumer;
import tinroad.catalog.Catalog;
import tinroad.catalog.CatalogDelta;
import tinroad.overload.Controller.ClassSlot;
import tinroad.overload.Controller.TenantSlot;

/**
 * Brings versions of the catalog in force, one after the other: the changes of a version are staged
 * in slices, with other events between them, committed at one instant, and then settled in slices.
 * Guards requests against waiting for a large change. Owned by the event loop.
 */
final class CatalogRollout {
    /** Entries in a slice. Bounds how long other events wait for it: well under a millisecond. */
    static final int SLICE_ENTRIES = 256;

    /** What a version of the catalog is applied to. */
    interface Target {
        /** Prepares these entries, with no effect yet; false where that failed. */
        boolean stage(List<ClassSlot> classes, List<TenantSlot> tenants);

        /** Puts all that was staged in force; false where that failed. */
        boolean commit(Catalog next);

        /** Drops all that was staged since the last commit. */
        void discardStaged();

        /** Does what remains to be done for these entries after the commit. */
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

    /** How many entries of the first pending version are through the current step. */
    private int processedEntries;

    /** The longest slice of the last version, in ms: so long another event had to wait. */
    private double longestSliceMillis;

    CatalogRollout(Target target, Timers timers, Clock clock) {
        this.target = target;
        this.timers = timers;
        this.clock = clock;
    }

    /**
     * Applies a version once those before it are done. {@code completion} gets whether it came in
     * force, once it is settled.
     */
    void add(Catalog next, CatalogDelta delta, Consumer<Boolean> completion) {
        pending.add(new Pending(next, delta, completion));
        if (pending.size() == 1) {
            timers.after(0, this::processSlice);
        }
    }

    /** How many versions are not in force yet. */
    int pending() {
        return pending.size() - (step == Step.SETTLING ? 1 : 0);
    }

    /**
     * What was staged is lost, and is staged again; a version that is in force already is settled
     * at once.
     */
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
            fail();
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
            fail();
        }
    }

    private void settle(Pending change) {
        target.settle(classes(change.delta), tenants(change.delta));
        processedEntries += SLICE_ENTRIES;
        if (processedEntries >= change.delta.size()) {
            complete(true);
        }
    }

    private void fail() {
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

    /** The entries of the slice that begins at {@code from}, which may lie outside of the list. */
    private static <T> List<T> slice(List<T> all, int from) {
        int begin = Math.min(all.size(), Math.max(0, from));
        int end = Math.min(all.size(), Math.max(0, from + SLICE_ENTRIES));
        return all.subList(begin, end);
    }
}
