package tinroad.catalog;

import java.util.Collection;
import java.util.List;
import tinroad.overload.Controller.RequestClass;
import tinroad.overload.Controller.Tenant;

/**
 * One version of all classes and tenants; immutable. A later version shares with it what both have.
 */
public final class Catalog {
    private final long epoch;
    private final long number;
    private final EntryTable<RequestClass, ClassEntry> classes;
    private final EntryTable<Tenant, TenantEntry> tenants;

    /** A class of requests, in the slot by which the module knows it. */
    public record ClassEntry(String name, int slot, RequestClass spec)
            implements CatalogEntry<RequestClass> {}

    /** A tenant, in the slot by which the module knows it. */
    public record TenantEntry(String name, int slot, Tenant spec) implements CatalogEntry<Tenant> {}

    Catalog(
            long epoch,
            long number,
            EntryTable<RequestClass, ClassEntry> classes,
            EntryTable<Tenant, TenantEntry> tenants) {
        this.epoch = epoch;
        this.number = number;
        this.classes = classes;
        this.tenants = tenants;
    }

    /** The catalog of a full snapshot of the settings: slots are the indexes in the lists. */
    public static Catalog of(
            long epoch,
            long number,
            List<String> classNames,
            List<RequestClass> classSpecs,
            List<String> tenantNames,
            List<Tenant> tenantSpecs) {
        return new Catalog(
                epoch,
                number,
                EntryTable.of(EntryType.CLASSES, classNames, classSpecs),
                EntryTable.of(EntryType.TENANTS, tenantNames, tenantSpecs));
    }

    /** The same content, known to be that of another version. */
    public Catalog withVersion(long otherEpoch, long otherNumber) {
        return new Catalog(otherEpoch, otherNumber, classes, tenants);
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
     * The hash of its content: two catalogs with the same classes and tenants, whatever their
     * slots, have the same one.
     */
    public String contentHash() {
        return classes.hash().plus(tenants.hash()).toString();
    }

    /** The hash of the content after a change, which need not be valid. */
    public String hashAfter(CatalogChange change) {
        return classes.hashAfter(change.putClasses(), change.removedClasses())
                .plus(tenants.hashAfter(change.putTenants(), change.removedTenants()))
                .toString();
    }

    /** Whether a change leads to the content that it has already. */
    boolean contains(CatalogChange change) {
        return change.hashAfter() != null
                ? change.hashAfter().equals(contentHash())
                : classes.isUnchangedBy(change.putClasses(), change.removedClasses())
                        && tenants.isUnchangedBy(change.putTenants(), change.removedTenants());
    }

    /** How many classes there are. */
    public int classCount() {
        return classes.size();
    }

    /** How many tenants there are. */
    public int tenantCount() {
        return tenants.size();
    }

    /** The class of this name, or null; per request, so nothing is allocated. */
    public ClassEntry classEntry(String name) {
        return classes.get(name);
    }

    /** The tenant of this name, or null; per request, so nothing is allocated. */
    public TenantEntry tenantEntry(String name) {
        return tenants.get(name);
    }

    /** All classes, ordered by name. */
    public Collection<ClassEntry> classEntries() {
        return classes.entries().values();
    }

    /** All tenants, ordered by name. */
    public Collection<TenantEntry> tenantEntries() {
        return tenants.entries().values();
    }

    EntryTable<RequestClass, ClassEntry> classTable() {
        return classes;
    }

    EntryTable<Tenant, TenantEntry> tenantTable() {
        return tenants;
    }
}
