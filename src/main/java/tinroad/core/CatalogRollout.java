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
    static final int SLICE = 256;

    /** Whose catalog it is. */
    interface Target {
        /** Prepares these entries; false where that failed. */
        boolean stage(List<ClassSlot> classes, List<TenantSlot> tenants);

        /** All that was prepared counts from now on; false where that failed. */
        boolean commit(Catalog next);

        /** What was prepared never counts. */
        void unstage();

        /** Does for these entries what can wait until after the commit. */
        void settle(List<ClassSlot> classes, List<TenantSlot> tenants);
    }

    private record Pending(Catalog next, CatalogDelta delta, Consumer<Boolean> end) {}

    private enum Step {
        STAGING,
        SETTLING
    }

    private final Target target;
    private final Timers timers;
    private final Clock clock;
    private final ArrayDeque<Pending> waiting = new ArrayDeque<>();
    private Step step = Step.STAGING;

    /** So many entries of the first that waits are through this step. */
    private int through;

    /** The longest slice of the version that came last, in ms: what an event had to wait for. */
    private double longestSlice;

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
        waiting.add(new Pending(next, delta, end));
        if (waiting.size() == 1) {
            timers.after(0, this::slice);
        }
    }

    /** How many versions are not in force yet. */
    int waiting() {
        return waiting.size() - (step == Step.SETTLING ? 1 : 0);
    }

    /** What was prepared is lost: it begins anew. What counts already is settled to its end. */
    void restage() {
        if (step == Step.STAGING) {
            through = 0;
        } else {
            while (step == Step.SETTLING) {
                settle(waiting.element());
            }
        }
    }

    /** How long the longest slice of the last version took, in ms; 0 before the first. */
    double longestSlice() {
        return longestSlice;
    }

    private void slice() {
        Pending p = waiting.peek();
        if (p == null) {
            return;
        }
        double begun = clock.nowMillis();
        longestSlice = step == Step.STAGING && through == 0 ? 0 : longestSlice;
        if (step == Step.SETTLING) {
            settle(p);
        } else if (!target.stage(classes(p.delta), tenants(p.delta))) {
            fail(p);
        } else {
            through += SLICE;
            if (through >= p.delta.size()) {
                commit(p);
            }
        }
        longestSlice = Math.max(longestSlice, clock.nowMillis() - begun);
        if (!waiting.isEmpty()) {
            timers.after(0, this::slice);
        }
    }

    private void commit(Pending p) {
        through = 0;
        if (target.commit(p.next)) {
            step = Step.SETTLING;
        } else {
            fail(p);
        }
    }

    private void settle(Pending p) {
        target.settle(classes(p.delta), tenants(p.delta));
        through += SLICE;
        if (through >= p.delta.size()) {
            end(true);
        }
    }

    private void fail(Pending p) {
        target.unstage();
        end(false);
    }

    private void end(boolean inForce) {
        step = Step.STAGING;
        through = 0;
        waiting.remove().end.accept(inForce);
    }

    private List<ClassSlot> classes(CatalogDelta d) {
        return part(d.classes(), through);
    }

    private List<TenantSlot> tenants(CatalogDelta d) {
        return part(d.tenants(), through - d.classes().size());
    }

    /** What of these the slice holds that begins at {@code from}, counted from their first. */
    private static <T> List<T> part(List<T> all, int from) {
        int begin = Math.min(all.size(), Math.max(0, from));
        int end = Math.min(all.size(), Math.max(0, from + SLICE));
        return all.subList(begin, end);
    }
}
