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
 * Reload of the configuration while the gateway serves: on a signal, and on its own while the
 * engine is unreachable. Addresses apply at once, classes and tenants as set by {@link
 * CatalogSettings}, everything else at the next start.
 *
 * <p>Called on the thread of the signal and on the thread that waits for the end, both of which it
 * blocks while it reads; what changes is handed to the event loop.
 */
final class ConfigReloader implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger("server");

    /** What this process started with. */
    private final GatewayConfig running;

    private final Clock clock;
    private final CatalogSettings catalogSettings;
    private final EventLoop loop;
    private final EngineLink engine;
    private final LoadReporter reporter;
    private final ConfigReloadBackoff backoff;
    private final Supplier<CatalogUpdater> newUpdater;

    /**
     * Created at the first reload, or to follow a change log: a gateway that does neither has no
     * thread for it. Null before.
     */
    private CatalogUpdater updater;

    /** The addresses by the configuration that was read last. */
    private volatile InetSocketAddress engineAddress;

    private volatile InetSocketAddress registryAddress;

    ConfigReloader(
            GatewayConfig running,
            Clock clock,
            CatalogSettings catalogSettings,
            EventLoop loop,
            EngineLink engine,
            LoadReporter reporter,
            Supplier<CatalogUpdater> newUpdater) {
        this.running = running;
        this.clock = clock;
        this.catalogSettings = catalogSettings;
        this.loop = loop;
        this.engine = engine;
        this.reporter = reporter;
        this.newUpdater = newUpdater;
        backoff = new ConfigReloadBackoff(running.name(), running.seed());
        engineAddress = running.engine();
        registryAddress = running.roster();
    }

    /** Begins to follow the change log. */
    void followChangeLog() {
        updater().follow(catalogSettings.pollMillis());
    }

    /**
     * Reads the configuration because somebody requested it, and applies it.
     *
     * @throws ConfigException if it is invalid: then the one in force stays
     */
    void reload(ConfigSource source) throws ConfigException {
        apply(read(source, true));
    }

    /**
     * Reads the configuration, paced by a backoff, while the engine is unreachable and the file has
     * changed. Guards against a signal that never arrived: the engine may be at another address by
     * now.
     */
    void reloadWhileEngineIsUnreachable(ConfigSource source) {
        if (!backoff.due(clock.nowMillis(), engine.engineReachable()) || !source.changed()) {
            return;
        }
        try {
            CatalogUpdater.Reload next = read(source, false);
            boolean moved =
                    !(next.config().engine().equals(engineAddress)
                            && next.config().roster().equals(registryAddress));
            if (moved || next.applied()) {
                LOG.info("engine unreachable: configuration changed without a reload signal");
                apply(next);
            }
        } catch (ConfigException e) {
            // Reported when a reload is requested; until then what is in force stays.
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
        List<String> pending = new ArrayList<>(ConfigDiff.between(running, next));
        if (reload.pendingEntries() > 0) {
            pending.add(
                    "settings.classes and settings.orgs: " + reload.pendingEntries() + " differ");
        }
        if (!pending.isEmpty()) {
            LOG.info("takes effect at the next start: {}", String.join(", ", pending));
        }
        engineAddress = next.engine();
        registryAddress = next.roster();
        loop.execute(
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
