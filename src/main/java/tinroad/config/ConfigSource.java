package tinroad.config;

/** Where the configuration is read from, at the start and at each reload. */
@FunctionalInterface
public interface ConfigSource {
    /** The configuration as it is now; classes and tenants go to {@code visitor} as they come. */
    GatewayConfig read(SiteVisitor visitor) throws ConfigException;

    /** Whether the configuration may have changed since it was read last. */
    default boolean changed() {
        return true;
    }
}
