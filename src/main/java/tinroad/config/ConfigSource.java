package tinroad.config;

/** Where the configuration is read from, again and again. */
@FunctionalInterface
public interface ConfigSource {
    /** The configuration as it is now; classes and tenants go to {@code visitor} as they come. */
    GatewayConfig read(SiteVisitor visitor) throws ConfigException;

    /** Whether it may say something else than when it was read last. */
    default boolean changed() {
        return true;
    }
}
