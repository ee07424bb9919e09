package tinroad.operator;

import java.nio.file.Path;

/**
 * How classes and tenants change while a gateway runs.
 *
 * @param onReload those of the configuration count from the moment on at which it is read again;
 *     otherwise at the next start
 * @param log folder of a change log that is followed, or null
 * @param pollMillis time between two polls of it
 */
public record CatalogSettings(boolean onReload, Path log, double pollMillis) {
    /**
     * What holds without an operator file; {@code defaults.conf} says the same to one that leaves
     * it out.
     */
    public static final CatalogSettings DEFAULT = new CatalogSettings(false, null, 250);

    /**
     * Whether classes and tenants of the configuration count when it is read again: where a log is
     * followed, too.
     */
    public boolean inPlace() {
        return onReload || log != null;
    }
}
