package tinroad.catalog;

/** A named class or tenant; the overload controller knows it by its slot. */
public sealed interface CatalogEntry<S> permits Catalog.ClassEntry, Catalog.TenantEntry {
    /** The name in the settings. */
    String name();

    /** The index by which the overload controller knows the entry. */
    int slot();

    /** The settings of the entry. */
    S spec();
}
