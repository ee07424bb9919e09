package tinroad.catalog;

/** What is known under a name, at the place by which the module knows it. */
public sealed interface CatalogEntry<S> permits Catalog.ClassEntry, Catalog.TenantEntry {
    /** Its name. */
    String name();

    /** Its place. */
    int slot();

    /** What the module is told of it. */
    S spec();
}
