package tinroad.catalog;

import java.util.List;
import tinroad.Controller.ClassAt;
import tinroad.Controller.TenantAt;

/** What a version changes of the one before it, by place: what the module is told. */
public record Delta(List<ClassAt> classes, List<TenantAt> tenants) {
    /** How many entries it touches. */
    public int size() {
        return classes.size() + tenants.size();
    }
}
