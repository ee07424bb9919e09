package tinroad.catalog;

import java.util.BitSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import tinroad.config.SiteVisitor;
import tinroad.overload.Controller.RequestClass;
import tinroad.overload.Controller.Tenant;

/**
 * Compares a full snapshot of the settings, which is read entry by entry, with the catalog in use.
 * Stores only the differences, and one bit for each entry that was read; entries that were not read
 * by the end are removed. Used once, by one thread.
 */
public final class FullSnapshotDiff implements SiteVisitor {
    private final Catalog base;
    private final TableDiff<RequestClass, Catalog.ClassEntry> classes;
    private final TableDiff<Tenant, Catalog.TenantEntry> tenants;

    /** Starts a comparison with this catalog. */
    public FullSnapshotDiff(Catalog base) {
        this.base = base;
        classes = new TableDiff<>(base.classTable());
        tenants = new TableDiff<>(base.tenantTable());
    }

    @Override
    public boolean requestClass(String name, RequestClass spec) {
        return classes.add(name, spec);
    }

    @Override
    public boolean tenant(String name, Tenant spec) {
        return tenants.add(name, spec);
    }

    /**
     * Returns the change that leads from the catalog to the settings that were read, with this
     * version.
     */
    public CatalogChange change(long epoch, long number) {
        CatalogChange withoutHashes =
                new CatalogChange(
                        epoch,
                        number,
                        classes.put,
                        classes.removed(),
                        tenants.put,
                        tenants.removed());
        return new CatalogChange(
                epoch,
                number,
                withoutHashes.putClasses(),
                withoutHashes.removedClasses(),
                withoutHashes.putTenants(),
                withoutHashes.removedTenants(),
                base.contentHash(),
                base.hashAfter(withoutHashes));
    }

    /** The comparison of one table. */
    private static final class TableDiff<S, E extends CatalogEntry<S>> {
        private final EntryTable<S, E> table;
        private final BitSet seenSlots = new BitSet();
        private final Map<String, S> put = new HashMap<>();

        TableDiff(EntryTable<S, E> table) {
            this.table = table;
        }

        boolean add(String name, S spec) {
            E existing = table.get(name);
            if (existing == null) {
                return put.put(name, spec) == null;
            }
            if (seenSlots.get(existing.slot())) {
                return false;
            }
            seenSlots.set(existing.slot());
            if (!existing.spec().equals(spec)) {
                put.put(existing.name(), spec);
            }
            return true;
        }

        Set<String> removed() {
            Set<String> unseen = new HashSet<>();
            if (seenSlots.cardinality() < table.size()) {
                for (E entry : table.entries().values()) {
                    if (!seenSlots.get(entry.slot())) {
                        unseen.add(entry.name());
                    }
                }
            }
            return unseen;
        }
    }
}
