package tinroad.core;

import java.util.ArrayList;
import java.util.List;
import tinroad.catalog.Catalog;
import tinroad.config.Site;
import tinroad.overload.Controller.RequestClass;

/**
 * The catalog in force: which classes and tenants requests may name, and the bounds that follow
 * from all classes ever staged. Replaced as a whole by {@link CatalogActivation}. Owned by the
 * event loop.
 */
final class ActiveCatalog {
    /**
     * Bounds how far, in ms, the time of arrival that a request states may lie from the gateway's
     * clock, either way; longer where a class has a longer deadline.
     */
    static final double MAX_ARRIVAL_OFFSET_MILLIS = 60_000;

    /** Part of its class's latency objective that a run is expected to take before any ended. */
    private static final double EXPECTED_RUN_SHARE = 0.25;

    private Catalog catalog;
    private double sinceMillis;

    /** Names by slot; of a class that was added later, from its first request on. */
    private final List<String> classNames;

    private double maxArrivalOffsetMillis = MAX_ARRIVAL_OFFSET_MILLIS;
    private double shortestObjectiveMillis = Double.MAX_VALUE;

    ActiveCatalog(Site site, Catalog catalog, double nowMillis) {
        this.catalog = catalog;
        classNames = new ArrayList<>(site.classNames());
        sinceMillis = nowMillis;
        site.settings().classes().forEach(this::widenBounds);
    }

    Catalog catalog() {
        return catalog;
    }

    /** Since when this catalog is in force, in Unix ms. */
    double sinceMillis() {
        return sinceMillis;
    }

    void replace(Catalog next, double nowMillis) {
        catalog = next;
        sinceMillis = nowMillis;
    }

    /** The class with this name, or null. */
    Catalog.ClassEntry classEntry(String name) {
        return catalog.classEntry(name);
    }

    /** The tenant's slot: 0 for all where there are no tenants, negative where it is unknown. */
    int tenantSlot(String name) {
        if (catalog.tenantCount() == 0) {
            return 0;
        }
        Catalog.TenantEntry entry = catalog.tenantEntry(name);
        return entry == null ? -1 : entry.slot();
    }

    /** Takes a class's deadline and objective into the bounds, which never shrink again. */
    void widenBounds(RequestClass requestClass) {
        maxArrivalOffsetMillis = Math.max(maxArrivalOffsetMillis, requestClass.deadlineMillis());
        shortestObjectiveMillis = Math.min(shortestObjectiveMillis, requestClass.objectiveMillis());
    }

    /** How far a stated time of arrival may lie from the gateway's clock, in ms. */
    double maxArrivalOffsetMillis() {
        return maxArrivalOffsetMillis;
    }

    /** How long a run of the class with the shortest objective is expected to take, in ms. */
    double expectedRunMillis() {
        return EXPECTED_RUN_SHARE
                * (shortestObjectiveMillis == Double.MAX_VALUE ? 1 : shortestObjectiveMillis);
    }

    /** How long a run of this class is expected to take before any has ended, in ms. */
    static double expectedRunMillis(RequestClass requestClass) {
        return EXPECTED_RUN_SHARE * requestClass.objectiveMillis();
    }

    /** A request of this class came: what is learned at its slot goes by the class's name. */
    void recordClassName(Catalog.ClassEntry classEntry) {
        int slot = classEntry.slot();
        while (classNames.size() <= slot) {
            classNames.add(null);
        }
        classNames.set(slot, classEntry.name());
    }

    /**
     * The name under which a learned value is stored. The controller names a class by its slot,
     * {@code run.0}; what outlives the process goes by the class's name, {@code run.read}. Null
     * where the class was removed, or never requested: nothing was learned of it.
     */
    String storedName(String learnedName) {
        int dot = learnedName.indexOf('.');
        if (dot < 0) {
            return learnedName;
        }
        int slot = Integer.parseInt(learnedName.substring(dot + 1));
        String className = slot < classNames.size() ? classNames.get(slot) : null;
        Catalog.ClassEntry classEntry = className == null ? null : catalog.classEntry(className);
        return classEntry != null && classEntry.slot() == slot
                ? learnedName.substring(0, dot + 1) + classEntry.name()
                : null;
    }
}
