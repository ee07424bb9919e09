package tinroad.catalog;

import java.util.Map;
import java.util.Set;
import tinroad.Controller.RequestClass;
import tinroad.Controller.Tenant;

/**
 * A batch of puts and removals, all or nothing. It follows the version {@code number - 1} of the same epoch, or begins
 * a higher epoch.
 *
 * @param epoch of the publisher: lower ones than the catalog's are fenced off
 */
public record Change(long epoch, long number, Map<String, RequestClass> putRoutes, Set<String> removedRoutes,
        Map<String, Tenant> putTenants, Set<String> removedTenants) { }
