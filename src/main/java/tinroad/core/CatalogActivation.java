package tinroad.core;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.slf4j.Logger;
import tinroad.catalog.Catalog;
import tinroad.catalog.CatalogDelta;
import tinroad.overload.Controller.ClassSlot;
import tinroad.overload.Controller.TenantSlot;

/**
 * Puts later versions of the catalog into force, in the controller and in the gateway, and records
 * which versions were rejected. Changes that come into force before the controller is started are
 * passed to the controller once it is. All methods must be called on the event loop.
 */
final class CatalogActivation implements CatalogRollout.Target {
    /**
     * The maximum length, in characters, of the rejection reason that is retained for operators.
     */
    static final int MAX_REASON_LENGTH = 500;

    private final ActiveCatalog active;
    private final ControllerDriver driver;
    private final RequestTable requests;
    private final WarmStart warmStart;
    private final Clock clock;
    private final Logger log;
    private final CatalogRollout rollout;

    /** Classes that came into force before the controller was started, by slot. */
    private final Map<Integer, ClassSlot> earlyClasses = new LinkedHashMap<>();

    /** Tenants that came into force before the controller was started, by slot. */
    private final Map<Integer, TenantSlot> earlyTenants = new LinkedHashMap<>();

    /** Later versions that are known and that {@link #apply} was not called for yet. */
    private int unappliedChanges;

    private String lastRejectionReason;
    private double rejectedAtMillis;

    CatalogActivation(
            ActiveCatalog active,
            ControllerDriver driver,
            RequestTable requests,
            WarmStart warmStart,
            Timers timers,
            Clock clock,
            Logger log) {
        this.active = active;
        this.driver = driver;
        this.requests = requests;
        this.warmStart = warmStart;
        this.clock = clock;
        this.log = log;
        rollout = new CatalogRollout(this, timers, clock);
    }

    void apply(Catalog next, CatalogDelta delta, Consumer<Boolean> completion) {
        rollout.add(next, delta, completion);
    }

    /** Returns how many later versions are known that are not in force yet. */
    int pendingVersions() {
        return rollout.pendingVersions() + unappliedChanges;
    }

    void setUnappliedChanges(int versions) {
        unappliedChanges = versions;
    }

    double longestSliceMillis() {
        return rollout.longestSliceMillis();
    }

    void reject(String reason) {
        lastRejectionReason =
                reason.length() <= MAX_REASON_LENGTH
                        ? reason
                        : reason.substring(0, MAX_REASON_LENGTH) + "...";
        rejectedAtMillis = clock.nowMillis();
    }

    /** Returns why a later version was last rejected, or null if none was. */
    String lastRejectionReason() {
        return lastRejectionReason;
    }

    double rejectedAtMillis() {
        return rejectedAtMillis;
    }

    /**
     * Prepares for the start of the controller, at which everything that was staged so far is lost.
     */
    void beforeControllerStart() {
        rollout.restage();
    }

    /**
     * Passes the changes that came into force earlier to the controller, which was just started.
     */
    void applyEarlyChanges() {
        if (!earlyClasses.isEmpty() || !earlyTenants.isEmpty()) {
            driver.controller()
                    .stage(List.copyOf(earlyClasses.values()), List.copyOf(earlyTenants.values()));
            driver.controller().commit(clock.nowMillis());
            earlyClasses.clear();
            earlyTenants.clear();
        }
    }

    @Override
    public boolean stage(List<ClassSlot> classes, List<TenantSlot> tenants) {
        for (ClassSlot classSlot : classes) {
            if (classSlot.spec() != null) {
                active.widenBounds(classSlot.spec());
            }
        }
        return !driver.isStarted()
                || driver.tryDispatch(() -> driver.controller().stage(classes, tenants));
    }

    @Override
    public boolean commit(Catalog next) {
        if (driver.isStarted()
                && !driver.tryDispatch(() -> driver.controller().commit(clock.nowMillis()))) {
            return false;
        }
        active.replace(next, clock.nowMillis());
        warmStart.recoveryPhase().setExpectedRunMillis(active.expectedRunMillis());
        return true;
    }

    @Override
    public void discardStaged() {
        driver.tryDispatch(driver.controller()::discardStaged);
        log.error("settings unchanged: the controller failed at a change of them");
    }

    @Override
    public void finish(List<ClassSlot> classes, List<TenantSlot> tenants) {
        double nowMillis = clock.nowMillis();
        for (ClassSlot classSlot : classes) {
            if (classSlot.spec() == null) {
                requests.removeClassSlot(classSlot.slot(), nowMillis);
            }
            if (!driver.isStarted()) {
                earlyClasses.put(classSlot.slot(), classSlot);
            }
        }
        for (TenantSlot tenantSlot : tenants) {
            if (tenantSlot.spec() == null) {
                requests.removeTenantSlot(tenantSlot.slot(), nowMillis);
            }
            if (!driver.isStarted()) {
                earlyTenants.put(tenantSlot.slot(), tenantSlot);
            }
        }
    }
}
