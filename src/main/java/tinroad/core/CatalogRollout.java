package tinroad.core;

import java.util.ArrayDeque;
import java.util.List;
import java.util.function.Consumer;
import tinroad.catalog.Catalog;
import tinroad.catalog.CatalogDelta;
import tinroad.overload.Controller.ClassSlot;
import tinroad.overload.Controller.TenantSlot;

/**
 * Puts versions of the catalog into force, one after another. The changes of a version are staged
 * in slices with other events in between, committed at a single instant, and then finished in
 * slices, so that no request has to wait for a large change. All methods must be called on the
 * event loop.
 */
final class CatalogRollout {
    /**
     * The number of entries in a slice. It limits how long other events wait for a slice to well
     * under a millisecond.
     */
    static final int SLICE_ENTRIES = 256;

    /** Receives the steps by which a version comes into force. */
    interface Target {
        /** Prepares these entries without any effect yet; returns false if that failed. */
        boolean stage(List<ClassSlot> classes, List<TenantSlot> tenants);

        /** Puts everything that was staged into force; returns false if that failed. */
        boolean commit(Catalog next);

        /** Discards everything that was staged since the last commit. */
        void discardStaged();

        /** Does the remaining work for these entries after the commit. */
        void finish(List<ClassSlot> classes, List<TenantSlot> tenants);
    }

    private record PendingVersion(Catalog next, CatalogDelta delta, Consumer<Boolean> completion) {}

    private enum Step {
        STAGING,
        FINISHING
    }

    private final Target target;
    private final Timers timers;
    private final Clock clock;
    private final ArrayDeque<PendingVersion> pendingVersions = new ArrayDeque<>();
    private Step step = Step.STAGING;

    /** The number of entries of the first pending version that have passed the current step. */
    private int processedEntries;

    /**
     * The duration of the longest slice of the last version, in ms, which is how long another event
     * had to wait.
     */
    private double longestSliceMillis;

    CatalogRollout(Target target, Timers timers, Clock clock) {
        this.target = target;
        this.timers = timers;
        this.clock = clock;
    }

    /**
     * Applies a version once all earlier ones are done. {@code completion} is called when the
     * version is finished, and receives whether it came into force.
     */
    void add(Catalog next, CatalogDelta delta, Consumer<Boolean> completion) {
        pendingVersions.add(new PendingVersion(next, delta, completion));
        if (pendingVersions.size() == 1) {
            timers.after(0, this::processSlice);
        }
    }

    /** Returns how many versions are not in force yet. */
    int pendingVersions() {
        return pendingVersions.size() - (step == Step.FINISHING ? 1 : 0);
    }

    /**
     * Stages the first pending version again, as what was staged is lost. A version that is already
     * in force is finished at once instead.
     */
    void restage() {
        if (step == Step.STAGING) {
            processedEntries = 0;
        } else {
            while (step == Step.FINISHING) {
                finish(pendingVersions.element());
            }
        }
    }

    /** Returns how long the longest slice of the last version took, in ms; 0 before the first. */
    double longestSliceMillis() {
        return longestSliceMillis;
    }

    private void processSlice() {
        PendingVersion version = pendingVersions.peek();
        if (version == null) {
            return;
        }
        double startedAtMillis = clock.nowMillis();
        longestSliceMillis = step == Step.STAGING && processedEntries == 0 ? 0 : longestSliceMillis;
        if (step == Step.FINISHING) {
            finish(version);
        } else if (!target.stage(classSlice(version.delta), tenantSlice(version.delta))) {
            fail();
        } else {
            processedEntries += SLICE_ENTRIES;
            if (processedEntries >= version.delta.size()) {
                commit(version);
            }
        }
        longestSliceMillis = Math.max(longestSliceMillis, clock.nowMillis() - startedAtMillis);
        if (!pendingVersions.isEmpty()) {
            timers.after(0, this::processSlice);
        }
    }

    private void commit(PendingVersion version) {
        processedEntries = 0;
        if (target.commit(version.next)) {
            step = Step.FINISHING;
        } else {
            fail();
        }
    }

    private void finish(PendingVersion version) {
        target.finish(classSlice(version.delta), tenantSlice(version.delta));
        processedEntries += SLICE_ENTRIES;
        if (processedEntries >= version.delta.size()) {
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
        pendingVersions.remove().completion.accept(inForce);
    }

    private List<ClassSlot> classSlice(CatalogDelta delta) {
        return slice(delta.classes(), processedEntries);
    }

    private List<TenantSlot> tenantSlice(CatalogDelta delta) {
        return slice(delta.tenants(), processedEntries - delta.classes().size());
    }

    /**
     * Returns the entries of the slice that begins at {@code from}, which may lie outside of the
     * list.
     */
    private static <T> List<T> slice(List<T> all, int from) {
        int begin = Math.min(all.size(), Math.max(0, from));
        int end = Math.min(all.size(), Math.max(0, from + SLICE_ENTRIES));
        return all.subList(begin, end);
    }
}
