package tinroad.catalog;

import java.util.List;
import tinroad.overload.Controller.ClassSlot;
import tinroad.overload.Controller.TenantSlot;

/** What a version changes of the one before it, by place: what the module is told. */
public record CatalogDelta(List<ClassSlot> classes, List<TenantSlot> tenants) {
    /** How many entries it touches. */
    public int size() {
        return classes.size() + tenants.size();
    }
}
