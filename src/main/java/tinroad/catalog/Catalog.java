package tinroad.catalog;

import java.util.Collection;
import java.util.List;
import tinroad.overload.Controller.RequestClass;
import tinroad.overload.Controller.Tenant;

/**
 * One version of all classes and tenants. Immutable: a later version shares the parts that did not
 * change with it.
 */
public final class Catalog {
    private final long epoch;
    private final long number;
    private final EntryTable<RequestClass, ClassEntry> classes;
    private final EntryTable<Tenant, TenantEntry> tenants;

    /** A class of requests; the overload controller identifies it by its slot. */
    public record ClassEntry(String name, int slot, RequestClass spec)
            implements CatalogEntry<RequestClass> {}

    /** A tenant; the overload controller identifies it by its slot. */
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

    /**
     * Creates the catalog of a full snapshot of the settings. The slot of an entry is its index in
     * its list.
     */
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

    /** Returns the same content as another version. */
    public Catalog withVersion(long otherEpoch, long otherNumber) {
        return new Catalog(otherEpoch, otherNumber, classes, tenants);
    }

    /** The epoch of the publisher. */
    public long epoch() {
        return epoch;
    }

    /** The version within the epoch. */
    public long number() {
        return number;
    }

    /**
     * The hash of the content. Two catalogs with the same classes and tenants have the same hash,
     * even if the slots differ.
     */
    public String contentHash() {
        return classes.hash().plus(tenants.hash()).toString();
    }

    /** The hash of the content that a change leads to. The change need not be valid. */
    public String hashAfter(CatalogChange change) {
        return classes.hashAfter(change.putClasses(), change.removedClasses())
                .plus(tenants.hashAfter(change.putTenants(), change.removedTenants()))
                .toString();
    }

    /** Whether this catalog already has the content that a change leads to. */
    boolean contains(CatalogChange change) {
        return change.hashAfter() != null
                ? change.hashAfter().equals(contentHash())
                : classes.isUnchangedBy(change.putClasses(), change.removedClasses())
                        && tenants.isUnchangedBy(change.putTenants(), change.removedTenants());
    }

    /** The number of classes. */
    public int classCount() {
        return classes.size();
    }

    /** The number of tenants. */
    public int tenantCount() {
        return tenants.size();
    }

    /**
     * Returns the class of this name, or null. Allocates nothing, as it is called for each request.
     */
    public ClassEntry classEntry(String name) {
        return classes.get(name);
    }

    /**
     * Returns the tenant of this name, or null. Allocates nothing, as it is called for each
     * request.
     */
    public TenantEntry tenantEntry(String name) {
        return tenants.get(name);
    }

    /** All classes, sorted by name. */
    public Collection<ClassEntry> classEntries() {
        return classes.entries().values();
    }

    /** All tenants, sorted by name. */
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
