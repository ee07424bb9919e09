package tinroad.catalog;

/** What is known under a name, at the place by which the module knows it. */
public sealed interface Entry<S> permits Catalog.Route, Catalog.Account {
    /** Its name. */
    String name();

    /** Its place. */
    int place();

    /** What the module is told of it. */
    S spec();
}
