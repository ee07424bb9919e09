package tinroad.catalog;

import java.util.List;
import tinroad.overload.Controller.ClassSlot;
import tinroad.overload.Controller.TenantSlot;

/**
 * The changes of a version against the one before, by slot, in the form that the overload
 * controller takes.
 */
public record CatalogDelta(List<ClassSlot> classes, List<TenantSlot> tenants) {
    /** The number of slots that change. */
    public int size() {
        return classes.size() + tenants.size();
    }
}
