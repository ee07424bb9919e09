package tinroad.catalog;

import java.util.Collection;
import java.util.List;
import tinroad.overload.Controller.RequestClass;
import tinroad.overload.Controller.Tenant;

/**
 * One version of all routes and tenants, which never changes. A later version shares with it what
 * both have.
 */
public final class Catalog {
    private final long epoch;
    private final long number;
    private final EntryTable<RequestClass, ClassEntry> classCount;
    private final EntryTable<Tenant, TenantEntry> tenantCount;

    /** A route: a class of requests, at the place by which the module knows it. */
    public record ClassEntry(String name, int slot, RequestClass spec)
            implements CatalogEntry<RequestClass> {}

    /** A tenant, at the place by which the module knows it. */
    public record TenantEntry(String name, int slot, Tenant spec) implements CatalogEntry<Tenant> {}

    Catalog(
            long epoch,
            long number,
            EntryTable<RequestClass, ClassEntry> routes,
            EntryTable<Tenant, TenantEntry> tenants) {
        this.epoch = epoch;
        this.number = number;
        this.classCount = routes;
        this.tenantCount = tenants;
    }

    /** The catalog of settings read whole: the places are those of the lists. */
    public static Catalog of(
            long epoch,
            long number,
            List<String> routeNames,
            List<RequestClass> specs,
            List<String> tenantNames,
            List<Tenant> quotas) {
        return new Catalog(
                epoch,
                number,
                EntryTable.of(EntryType.ROUTES, routeNames, specs),
                EntryTable.of(EntryType.TENANTS, tenantNames, quotas));
    }

    /** The same content, known to be that of another version. */
    public Catalog withVersion(long otherEpoch, long otherNumber) {
        return new Catalog(otherEpoch, otherNumber, classCount, tenantCount);
    }

    /** The publisher's epoch. */
    public long epoch() {
        return epoch;
    }

    /** The version within the epoch. */
    public long number() {
        return number;
    }

    /**
     * What is in it, as a hash: two catalogs with the same routes and tenants, whatever their
     * places, have the same one.
     */
    public String contentHash() {
        return classCount.hash().plus(tenantCount.hash()).toString();
    }

    /** The hash of what a change, which may not have been checked, would lead to. */
    public String hashAfter(CatalogChange c) {
        return classCount
                .after(c.putClasses(), c.removedClasses())
                .plus(tenantCount.after(c.putTenants(), c.removedTenants()))
                .toString();
    }

    /** Whether it holds already what a change leads to. */
    boolean holds(CatalogChange c) {
        return c.hashAfter() != null
                ? c.hashAfter().equals(contentHash())
                : classCount.has(c.putClasses(), c.removedClasses())
                        && tenantCount.has(c.putTenants(), c.removedTenants());
    }

    /** How many routes there are. */
    public int classCount() {
        return classCount.size();
    }

    /** How many tenants there are. */
    public int tenantCount() {
        return tenantCount.size();
    }

    /** The route of this name, or null. */
    public ClassEntry classEntry(String name) {
        return classCount.get(name);
    }

    /** The tenant of this name, or null. */
    public TenantEntry tenantEntry(String name) {
        return tenantCount.get(name);
    }

    /** All routes, by name. */
    public Collection<ClassEntry> classEntries() {
        return classCount.entries().values();
    }

    /** All tenants, by name. */
    public Collection<TenantEntry> tenantEntries() {
        return tenantCount.entries().values();
    }

    EntryTable<RequestClass, ClassEntry> classTable() {
        return classCount;
    }

    EntryTable<Tenant, TenantEntry> tenantTable() {
        return tenantCount;
    }
}
