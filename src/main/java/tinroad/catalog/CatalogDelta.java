package tinroad.catalog;

import java.util.List;
import tinroad.overload.Controller.ClassSlot;
import tinroad.overload.Controller.TenantSlot;

/** What a version changes compared with the one before it, by slot, as the module needs it. */
public record CatalogDelta(List<ClassSlot> classes, List<TenantSlot> tenants) {
    /** How many slots it changes. */
    public int size() {
        return classes.size() + tenants.size();
    }
}
