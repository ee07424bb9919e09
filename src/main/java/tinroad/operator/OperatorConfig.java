package tinroad.operator;

import com.typesafe.config.Config;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * The settings in the operator file, which operators make in addition to the platform's
 * configuration. They are read and validated once; a setting that is left out has the default value
 * of {@code defaults.conf}.
 */
public record OperatorConfig(
        LogSettings log, StateSettings state, FleetSettings fleet, CatalogSettings catalog) {

    /** Creates a configuration with default catalog settings. */
    public OperatorConfig(LogSettings log, StateSettings state, FleetSettings fleet) {
        this(log, state, fleet, CatalogSettings.DEFAULT);
    }

    /**
     * Reads the file. Paths in it are relative to the file's folder, unless they are absolute.
     *
     * @throws OperatorException with all errors in the file
     */
    public static OperatorConfig read(Path file) throws OperatorException {
        Config config = ValidatedFile.read(file, OperatorConfig.class);
        Config log = config.getConfig("log");
        Map<String, String> levels = new HashMap<>();
        log.getConfig("levels")
                .root()
                .forEach((name, level) -> levels.put(name, level.unwrapped().toString()));
        Config state = config.getConfig("state");
        return new OperatorConfig(
                new LogSettings(
                        log.getString("format").equals("json"),
                        log.getString("level"),
                        Map.copyOf(levels),
                        log.getInt("queue"),
                        millis(log, "flush")),
                new StateSettings(
                        resolvePath(file, state, "folder"),
                        resolvePath(file, state, "fence"),
                        millis(state, "every"),
                        state.getInt("keep"),
                        millis(state, "oldest"),
                        millis(state, "half-life")),
                fleet(file, config.getConfig("fleet")),
                catalog(file, config.getConfig("catalog")));
    }

    private static CatalogSettings catalog(Path file, Config catalog) {
        return new CatalogSettings(
                catalog.getString("apply").equals("on-reload"),
                resolvePath(file, catalog, "log"),
                millis(catalog, "poll"));
    }

    private static FleetSettings fleet(Path file, Config fleet) throws OperatorException {
        String listen = fleet.getString("listen");
        if (listen.isEmpty()) {
            return FleetSettings.NONE;
        }
        Path keyFile = resolvePath(file, fleet, "key-file");
        if (keyFile == null) {
            throw new OperatorException(
                    List.of(
                            ValidatedFile.errorAt(
                                    fleet.getValue("listen"),
                                    "fleet.key-file",
                                    "must be given where fleet.listen is")));
        }
        int colon = listen.lastIndexOf(':');
        return new FleetSettings(
                new InetSocketAddress(
                        listen.substring(0, colon), Integer.parseInt(listen.substring(colon + 1))),
                fleet.getStringList("seeds"),
                fleet.getString("zone"),
                FleetSettings.readKeys(keyFile));
    }

    private static double millis(Config config, String key) {
        return config.getDuration(key, TimeUnit.NANOSECONDS) / 1e6;
    }

    private static Path resolvePath(Path file, Config config, String key) {
        String name = config.getString(key);
        return name.isEmpty() ? null : file.toAbsolutePath().resolveSibling(name);
    }
}
