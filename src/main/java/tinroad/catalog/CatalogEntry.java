package tinroad.catalog;

/** A named class or tenant, in the slot by which the module knows it. */
public sealed interface CatalogEntry<S> permits Catalog.ClassEntry, Catalog.TenantEntry {
    /** The name in the settings. */
    String name();

    /** The index by which the module knows it. */
    int slot();

    /** Its settings. */
    S spec();
}
