package tinroad.catalog;

import java.util.Map;
import java.util.Set;
import tinroad.overload.Controller.RequestClass;
import tinroad.overload.Controller.Tenant;

/**
 * A change of the catalog: a batch of puts and removals that is applied as a whole or not at all.
 * It follows the version {@code number - 1} of the same epoch, or begins a higher epoch with number
 * 1. A name is either put or removed, never both.
 *
 * @param epoch of the publisher; a change of a lower epoch than the catalog's is rejected as fenced
 * @param number of the version that the change leads to, within the epoch
 * @param hashBefore hash of the content that the change follows, or null if unknown
 * @param hashAfter hash of the content that the change leads to, or null if unknown
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

    /** Creates a change with unknown content hashes. */
    public CatalogChange(
            long epoch,
            long number,
            Map<String, RequestClass> putClasses,
            Set<String> removedClasses,
            Map<String, Tenant> putTenants,
            Set<String> removedTenants) {
        this(epoch, number, putClasses, removedClasses, putTenants, removedTenants, null, null);
    }

    /** The number of entries that the change puts or removes. */
    public int size() {
        return putClasses.size()
                + removedClasses.size()
                + putTenants.size()
                + removedTenants.size();
    }
}
