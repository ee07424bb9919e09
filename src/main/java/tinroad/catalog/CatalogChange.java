package tinroad.catalog;

import java.util.Map;
import java.util.Set;
import tinroad.overload.Controller.RequestClass;
import tinroad.overload.Controller.Tenant;

/**
 * A change of the catalog: a batch of puts and removals, all or nothing. It follows the version
 * {@code number - 1} of the same epoch, or begins a higher epoch with number 1. A name is put or
 * removed, never both.
 *
 * @param epoch of the publisher: changes of a lower one than the catalog's are fenced
 * @param number of the version that it leads to, within the epoch
 * @param hashBefore the hash of the content that it follows, or null where it is not known
 * @param hashAfter the hash of the content that it leads to, or null where it is not known
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

    /** A change whose content hashes are not known. */
    public CatalogChange(
            long epoch,
            long number,
            Map<String, RequestClass> putClasses,
            Set<String> removedClasses,
            Map<String, Tenant> putTenants,
            Set<String> removedTenants) {
        this(epoch, number, putClasses, removedClasses, putTenants, removedTenants, null, null);
    }

    /** How many entries it puts or removes. */
    public int size() {
        return putClasses.size()
                + removedClasses.size()
                + putTenants.size()
                + removedTenants.size();
    }
}
