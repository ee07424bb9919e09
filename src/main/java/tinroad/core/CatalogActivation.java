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
 * Brings later versions of the catalog in force, in the controller and in the gateway, and knows
 * which were rejected. What comes in force before the controller is started is handed to it once it
 * is. Owned by the event loop.
 */
final class CatalogActivation implements CatalogRollout.Target {
    /** Bounds the reason of a rejection that is retained for operators, in characters. */
    static final int MAX_REASON_LENGTH = 500;

    private final ActiveCatalog active;
    private final ControllerDriver driver;
    private final RequestTable requests;
    private final WarmStart warmStart;
    private final Clock clock;
    private final Logger log;
    private final CatalogRollout rollout;

    /** Classes that came in force before the controller was started, by slot. */
    private final Map<Integer, ClassSlot> earlyClasses = new LinkedHashMap<>();

    /** The same of tenants. */
    private final Map<Integer, TenantSlot> earlyTenants = new LinkedHashMap<>();

    private int unappliedChanges;
    private String lastRejection;
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

    /** How many later versions are known that are not in force yet. */
    int pending() {
        return rollout.pending() + unappliedChanges;
    }

    void setUnappliedChanges(int versions) {
        unappliedChanges = versions;
    }

    double longestSliceMillis() {
        return rollout.longestSliceMillis();
    }

    void reject(String reason) {
        lastRejection =
                reason.length() <= MAX_REASON_LENGTH
                        ? reason
                        : reason.substring(0, MAX_REASON_LENGTH) + "...";
        rejectedAtMillis = clock.nowMillis();
    }

    /** Why a later version was rejected last; null where none was. */
    String lastRejection() {
        return lastRejection;
    }

    double rejectedAtMillis() {
        return rejectedAtMillis;
    }

    /** The controller is about to be started: what it was prepared for so far is lost. */
    void beforeControllerStart() {
        rollout.restage();
    }

    /** Hands the controller, which has just been started, what came in force before. */
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
    public void settle(List<ClassSlot> classes, List<TenantSlot> tenants) {
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
