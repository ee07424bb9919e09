package tinroad.operator;

import java.nio.file.Path;

/**
 * Settings for changes of classes and tenants while a gateway runs.
 *
 * @param onReload whether classes and tenants of the configuration take effect when it is reloaded;
 *     otherwise they take effect at the next start
 * @param log the folder of a change log to follow, or null
 * @param pollMillis the time between two polls of the change log
 */
public record CatalogSettings(boolean onReload, Path log, double pollMillis) {
    /** The settings without an operator file, the same as in {@code defaults.conf}. */
    public static final CatalogSettings DEFAULT = new CatalogSettings(false, null, 250);

    /**
     * Whether classes and tenants of the configuration take effect when it is reloaded. This is
     * also so if a change log is followed.
     */
    public boolean inPlace() {
        return onReload || log != null;
    }
}
