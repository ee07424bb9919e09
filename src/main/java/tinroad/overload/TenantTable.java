package tinroad.overload;

import java.util.List;
import tinroad.overload.Controller.Tenant;
import tinroad.overload.Controller.TenantSlot;

/**
 * The tenants by slot, and the recent rate of requests of each. A change is staged in a version
 * beside the current one.
 */
final class TenantTable {
    private final DecayingRates rates;
    private SlotTable<Tenant> current;
    private SlotTable<Tenant> staged;

    /** Creates the table; rates decay to 1/e in {@code timeConstantMillis}. */
    TenantTable(List<Tenant> tenants, double timeConstantMillis) {
        current = SlotTable.of(tenants);
        rates = new DecayingRates(timeConstantMillis);
    }

    /** Returns the tenant in this slot, or null. */
    Tenant at(int slot) {
        return current.get(slot);
    }

    /** Returns the recent requests per second of the tenant in this slot. */
    double rate(int slot, double nowMillis) {
        return rates.at(slot, nowMillis);
    }

    /** Adds to the rate of the tenant in this slot. */
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
                // The slot is free before the change, so no rate is lost if the change is
                // discarded.
                rates.clear(change.slot());
            }
            staged.set(change.slot(), change.spec());
        }
    }

    /** Makes the staged version the current one. */
    void commit() {
        current = staged == null ? current : staged;
        staged = null;
    }

    /** Discards the staged version. */
    void discardStaged() {
        staged = null;
    }

    /** Number of slot reads so far. */
    long reads() {
        return current.reads();
    }
}
