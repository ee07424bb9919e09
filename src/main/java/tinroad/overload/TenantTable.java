package tinroad.overload;

import java.util.List;
import tinroad.overload.Controller.Tenant;
import tinroad.overload.Controller.TenantSlot;

/**
 * The tenants by place and what each asks for lately. A change is prepared in a version beside the
 * one that counts.
 */
final class TenantTable {
    private final DecayingRates rates;
    private SlotTable<Tenant> now;
    private SlotTable<Tenant> staged;

    /** {@code span}: ms in which a rate falls to its e-th part. */
    TenantTable(List<Tenant> tenants, double span) {
        now = SlotTable.of(tenants);
        rates = new DecayingRates(span);
    }

    /** The tenant at this place, or null. */
    Tenant at(int place) {
        return now.get(place);
    }

    /** Its rate. */
    double rate(int place, double clock) {
        return rates.at(place, clock);
    }

    /** Adds to its rate. */
    void ask(int place, double amount, double clock) {
        rates.add(place, amount, clock);
    }

    /** Prepares a part of a change. */
    void stage(List<TenantSlot> changes) {
        if (changes.isEmpty()) {
            return;
        }
        staged = staged == null ? now.next() : staged;
        for (TenantSlot change : changes) {
            if (at(change.slot()) == null) {
                // Nobody is there before the change, so nobody's rate is lost if it is dropped.
                rates.clear(change.slot());
            }
            staged.set(change.slot(), change.spec());
        }
    }

    /** What was prepared counts. */
    void commit() {
        now = staged == null ? now : staged;
        staged = null;
    }

    /** It does not. */
    void unstage() {
        staged = null;
    }

    /** How often a place was read. */
    long reads() {
        return now.reads();
    }
}
