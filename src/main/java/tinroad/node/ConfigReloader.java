package tinroad.node;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import tinroad.config.ConfigDiff;
import tinroad.config.ConfigException;
import tinroad.config.ConfigSource;
import tinroad.config.GatewayConfig;
import tinroad.core.Clock;
import tinroad.discovery.LoadReporter;
import tinroad.engine.EngineLink;
import tinroad.log.LogKeyValues;
import tinroad.operator.CatalogSettings;
import tinroad.recovery.ConfigReloadBackoff;

/**
 * Reloads the configuration while the gateway serves: when a signal requests it, and without a
 * request while the engine is unreachable. Changed addresses take effect at once, changed classes
 * and tenants as {@link CatalogSettings} determines, and everything else at the next start.
 *
 * <p>Called on the signal's thread and on the thread that waits for the end of the node. It blocks
 * either of them while it reads, and hands the changes to the event loop.
 */
final class ConfigReloader implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger("server");

    /** The configuration that this process started with. */
    private final GatewayConfig startConfig;

    private final Clock clock;
    private final CatalogSettings catalogSettings;
    private final EventLoop eventLoop;
    private final EngineLink engine;
    private final LoadReporter reporter;
    private final ConfigReloadBackoff backoff;
    private final Supplier<CatalogUpdater> newUpdater;

    /**
     * Created at the first reload or when a change log is followed, so that a gateway that does
     * neither needs no thread for it; null until then.
     */
    private CatalogUpdater updater;

    /** Address of the engine in the configuration that was read last. */
    private volatile InetSocketAddress engineAddress;

    /** Address of the service registry in the configuration that was read last. */
    private volatile InetSocketAddress registryAddress;

    ConfigReloader(
            GatewayConfig startConfig,
            Clock clock,
            CatalogSettings catalogSettings,
            EventLoop eventLoop,
            EngineLink engine,
            LoadReporter reporter,
            Supplier<CatalogUpdater> newUpdater) {
        this.startConfig = startConfig;
        this.clock = clock;
        this.catalogSettings = catalogSettings;
        this.eventLoop = eventLoop;
        this.engine = engine;
        this.reporter = reporter;
        this.newUpdater = newUpdater;
        backoff = new ConfigReloadBackoff(startConfig.name(), startConfig.seed());
        engineAddress = startConfig.engine();
        registryAddress = startConfig.roster();
    }

    /** Starts polling the change log for new versions. */
    void followChangeLog() {
        updater().follow(catalogSettings.pollMillis());
    }

    /**
     * Reads the configuration because an operator requested it, and applies it.
     *
     * @throws ConfigException if it is invalid; the configuration in force then stays
     */
    void reload(ConfigSource source) throws ConfigException {
        apply(read(source, true));
    }

    /**
     * Reads the configuration, paced by a backoff, if the engine is unreachable and the file has
     * changed. The engine may have moved to another address, and the signal that requests a reload
     * may never have arrived.
     */
    void reloadWhileEngineIsUnreachable(ConfigSource source) {
        if (!backoff.due(clock.nowMillis(), engine.engineReachable()) || !source.changed()) {
            return;
        }
        try {
            CatalogUpdater.Reload next = read(source, false);
            boolean addressesChanged =
                    !(next.config().engine().equals(engineAddress)
                            && next.config().roster().equals(registryAddress));
            if (addressesChanged || next.applied()) {
                LOG.info("engine unreachable: configuration changed without a reload signal");
                apply(next);
            }
        } catch (ConfigException e) {
            // An invalid file is reported when a reload is requested; the configuration in force
            // stays.
        }
    }

    private CatalogUpdater.Reload read(ConfigSource source, boolean requested)
            throws ConfigException {
        return catalogSettings.inPlace()
                ? updater().apply(source, requested)
                : updater().read(source);
    }

    private void apply(CatalogUpdater.Reload reload) {
        GatewayConfig next = reload.config();
        List<String> pendingDifferences = new ArrayList<>(ConfigDiff.between(startConfig, next));
        if (reload.pendingEntries() > 0) {
            pendingDifferences.add(
                    "settings.classes and settings.orgs: " + reload.pendingEntries() + " differ");
        }
        if (!pendingDifferences.isEmpty()) {
            LOG.info("takes effect at the next start: {}", String.join(", ", pendingDifferences));
        }
        engineAddress = next.engine();
        registryAddress = next.roster();
        eventLoop.execute(
                () -> {
                    LogKeyValues.with(
                                    LogKeyValues.with(LOG.atInfo(), "engine", next.engine()),
                                    "roster",
                                    next.roster())
                            .log(
                                    "configuration read again: engine {}, roster {}",
                                    next.engine(),
                                    next.roster());
                    engine.switchEndpoint(next.engine());
                    reporter.switchEndpoint(next.roster());
                });
    }

    private synchronized CatalogUpdater updater() {
        if (updater == null) {
            updater = newUpdater.get();
        }
        return updater;
    }

    @Override
    public synchronized void close() {
        if (updater != null) {
            updater.close();
        }
    }
}
