package tinroad.catalog;

/** A named class or tenant; the overload controller identifies it by its slot. */
public sealed interface CatalogEntry<S> permits Catalog.ClassEntry, Catalog.TenantEntry {
    /** The name in the settings. */
    String name();

    /** The index by which the overload controller identifies the entry. */
    int slot();

    /** The settings of the entry. */
    S spec();
}
