package tinroad.core;

import java.util.ArrayList;
import java.util.List;
import tinroad.catalog.Catalog;
import tinroad.config.Site;
import tinroad.overload.Controller.Idempotency;
import tinroad.overload.Controller.RequestClass;

/**
 * The catalog in force, which defines the classes and tenants that requests may name, together with
 * bounds derived from all classes that were ever staged. {@link CatalogActivation} replaces the
 * catalog as a whole. All methods must be called on the event loop.
 */
final class ActiveCatalog {
    /**
     * The maximum difference, in ms, between the arrival time that a request states and the
     * gateway's clock, in either direction. It is extended where a class has a longer deadline.
     */
    static final double MAX_ARRIVAL_OFFSET_MILLIS = 60_000;

    /**
     * The share of a class's latency objective that a run is expected to take before any has ended.
     */
    private static final double EXPECTED_RUN_SHARE = 0.25;

    private Catalog catalog;
    private double activatedAtMillis;

    /**
     * Class names by slot. The name of a class that was added later is recorded at its first
     * request.
     */
    private final List<String> classNames;

    private double maxArrivalOffsetMillis = MAX_ARRIVAL_OFFSET_MILLIS;
    private double shortestObjectiveMillis = Double.MAX_VALUE;
    private boolean hasKeyedClass;

    ActiveCatalog(Site site, Catalog catalog, double nowMillis) {
        this.catalog = catalog;
        classNames = new ArrayList<>(site.classNames());
        activatedAtMillis = nowMillis;
        site.settings().classes().forEach(this::widenBounds);
    }

    Catalog catalog() {
        return catalog;
    }

    /** Returns when this catalog came into force, in Unix ms. */
    double activatedAtMillis() {
        return activatedAtMillis;
    }

    void replace(Catalog next, double nowMillis) {
        catalog = next;
        activatedAtMillis = nowMillis;
    }

    /** Returns the class with this name, or null if there is none. */
    Catalog.ClassEntry classEntry(String name) {
        return catalog.classEntry(name);
    }

    /**
     * Returns the tenant's slot: 0 for every tenant if the catalog has none, and a negative number
     * if the tenant is unknown.
     */
    int tenantSlot(String name) {
        if (catalog.tenantCount() == 0) {
            return 0;
        }
        Catalog.TenantEntry entry = catalog.tenantEntry(name);
        return entry == null ? -1 : entry.slot();
    }

    /**
     * Extends the bounds by the deadline and objective of a class. The bounds never shrink again.
     */
    void widenBounds(RequestClass requestClass) {
        hasKeyedClass |= requestClass.idempotency() == Idempotency.IDEMPOTENT_WITH_KEY;
        maxArrivalOffsetMillis = Math.max(maxArrivalOffsetMillis, requestClass.deadlineMillis());
        shortestObjectiveMillis = Math.min(shortestObjectiveMillis, requestClass.objectiveMillis());
    }

    /**
     * Returns the maximum difference between a stated arrival time and the gateway's clock, in ms.
     */
    double maxArrivalOffsetMillis() {
        return maxArrivalOffsetMillis;
    }

    /** Returns whether any class is keyed, or was. */
    boolean hasKeyedClass() {
        return hasKeyedClass;
    }

    /** Returns the expected time, in ms, of a run of the class with the shortest objective. */
    double expectedRunMillis() {
        return EXPECTED_RUN_SHARE
                * (shortestObjectiveMillis == Double.MAX_VALUE ? 1 : shortestObjectiveMillis);
    }

    /** Returns the expected time, in ms, of a run of this class before any has ended. */
    static double expectedRunMillis(RequestClass requestClass) {
        return EXPECTED_RUN_SHARE * requestClass.objectiveMillis();
    }

    /**
     * Records the name of a requested class, under which the values learned at its slot are stored.
     */
    void recordClassName(Catalog.ClassEntry classEntry) {
        int slot = classEntry.slot();
        while (classNames.size() <= slot) {
            classNames.add(null);
        }
        classNames.set(slot, classEntry.name());
    }

    /**
     * Returns the name under which a learned value is stored. The controller names a class by its
     * slot, such as {@code run.0}; values that outlive the process use the class's name, such as
     * {@code run.read}. Returns null if the class was removed or never requested, since nothing was
     * learned of it then.
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
