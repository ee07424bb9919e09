package tinroad.config;

/** Source of the configuration, which is read at the start and at each reload. */
@FunctionalInterface
public interface ConfigSource {
    /**
     * Reads the current configuration; classes and tenants are passed to {@code visitor} one by
     * one.
     */
    GatewayConfig read(SiteVisitor visitor) throws ConfigException;

    /** Whether the configuration may have changed since it was last read. */
    default boolean changed() {
        return true;
    }
}
