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
 * A settings file that comes in entry by entry, against the catalog that serves. Holds only what
 * differs, and a bit for each entry that was seen again; what was not seen by the end is removed.
 * Used once, by one thread.
 */
public final class FullSnapshotDiff implements SiteVisitor {
    private final Catalog base;
    private final Seen<RequestClass, Catalog.ClassEntry> routes;
    private final Seen<Tenant, Catalog.TenantEntry> tenants;

    /** Against this catalog, which stays what it is. */
    public FullSnapshotDiff(Catalog base) {
        this.base = base;
        routes = new Seen<>(base.classTable());
        tenants = new Seen<>(base.tenantTable());
    }

    @Override
    public boolean requestClass(String name, RequestClass spec) {
        return routes.take(name, spec);
    }

    @Override
    public boolean tenant(String name, Tenant spec) {
        return tenants.take(name, spec);
    }

    /** What leads from the catalog to the file, as this version. */
    public CatalogChange change(long epoch, long number) {
        CatalogChange c =
                new CatalogChange(
                        epoch,
                        number,
                        routes.put,
                        routes.removed(),
                        tenants.put,
                        tenants.removed());
        return new CatalogChange(
                epoch,
                number,
                c.putClasses(),
                c.removedClasses(),
                c.putTenants(),
                c.removedTenants(),
                base.contentHash(),
                base.hashAfter(c));
    }

    /** One table of it. */
    private static final class Seen<S, E extends CatalogEntry<S>> {
        private final EntryTable<S, E> table;
        private final BitSet places = new BitSet();
        private final Map<String, S> put = new HashMap<>();

        Seen(EntryTable<S, E> table) {
            this.table = table;
        }

        boolean take(String name, S spec) {
            E there = table.get(name);
            if (there == null) {
                return put.put(name, spec) == null;
            }
            if (places.get(there.slot())) {
                return false;
            }
            places.set(there.slot());
            if (!there.spec().equals(spec)) {
                put.put(there.name(), spec);
            }
            return true;
        }

        Set<String> removed() {
            Set<String> unseen = new HashSet<>();
            if (places.cardinality() < table.size()) {
                for (E e : table.entries().values()) {
                    if (!places.get(e.slot())) {
                        unseen.add(e.name());
                    }
                }
            }
            return unseen;
        }
    }
}
