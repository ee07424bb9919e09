package tinroad.catalog;

import java.util.Map;
import java.util.Set;
import tinroad.overload.Controller.RequestClass;
import tinroad.overload.Controller.Tenant;

/**
 * A batch of puts and removals, all or nothing. It follows the version {@code number - 1} of the
 * same epoch, or begins a higher epoch with number 1. A name is put or removed, never both.
 *
 * @param epoch of the publisher: lower ones than the catalog's are fenced off
 * @param before the hash of the content that it follows, or null: not told
 * @param after the hash of the content that it leads to, or null: not told
 */
public record CatalogChange(
        long epoch,
        long number,
        Map<String, RequestClass> putClasses,
        Set<String> removedClasses,
        Map<String, Tenant> putTenants,
        Set<String> removedTenants,
        String hashBefore,
        String hashAfter) {

    /** One that does not tell what it follows and leads to. */
    public CatalogChange(
            long epoch,
            long number,
            Map<String, RequestClass> putRoutes,
            Set<String> removedRoutes,
            Map<String, Tenant> putTenants,
            Set<String> removedTenants) {
        this(epoch, number, putRoutes, removedRoutes, putTenants, removedTenants, null, null);
    }

    /** How many entries it puts or removes. */
    public int size() {
        return putClasses.size()
                + removedClasses.size()
                + putTenants.size()
                + removedTenants.size();
    }
}
