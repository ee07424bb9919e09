package tinroad.overload;

import java.util.List;
import tinroad.overload.Controller.Tenant;
import tinroad.overload.Controller.TenantSlot;

/**
 * The tenants by slot and the recent rate of requests of each. A change is staged in a version
 * beside the current one.
 */
final class TenantTable {
    private final DecayingRates rates;
    private SlotTable<Tenant> current;
    private SlotTable<Tenant> staged;

    /** {@code spanMillis}: time in which a rate falls to its e-th part. */
    TenantTable(List<Tenant> tenants, double spanMillis) {
        current = SlotTable.of(tenants);
        rates = new DecayingRates(spanMillis);
    }

    /** The tenant in this slot, or null. */
    Tenant at(int slot) {
        return current.get(slot);
    }

    /** Its requests a second, lately. */
    double rate(int slot, double nowMillis) {
        return rates.at(slot, nowMillis);
    }

    /** Adds to its rate. */
    void add(int slot, double amount, double nowMillis) {
        rates.add(slot, amount, nowMillis);
    }

    /** Stages a part of a change. */
    void stage(List<TenantSlot> changes) {
        if (changes.isEmpty()) {
            return;
        }
        staged = staged == null ? current.nextVersion() : staged;
        for (TenantSlot change : changes) {
            if (at(change.slot()) == null) {
                // The slot is free before the change, so no rate is lost if the change is dropped.
                rates.clear(change.slot());
            }
            staged.set(change.slot(), change.spec());
        }
    }

    /** The staged version becomes the current one. */
    void commit() {
        current = staged == null ? current : staged;
        staged = null;
    }

    /** Drops the staged version. */
    void discardStaged() {
        staged = null;
    }

    /** How often a slot was read. */
    long reads() {
        return current.reads();
    }
}
