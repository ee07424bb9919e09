package tinroad.operator;

import com.typesafe.config.Config;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * What the operators set beyond the platform's configuration, read and checked once. What a file
 * leaves out has the value that the schema gives as its default.
 */
public record OperatorConfig(
        LogSettings log, StateSettings state, FleetSettings fleet, CatalogSettings catalog) {

    /** One that says nothing of the catalog. */
    public OperatorConfig(LogSettings log, StateSettings state, FleetSettings fleet) {
        this(log, state, fleet, CatalogSettings.DEFAULT);
    }

    /**
     * Reads the file; throws with all that is wrong in it. A folder that it names is beside it,
     * unless it is absolute.
     */
    public static OperatorConfig read(Path file) throws OperatorException {
        Config all = ValidatedFile.read(file, OperatorConfig.class);
        Config log = all.getConfig("log");
        Map<String, String> levels = new HashMap<>();
        log.getConfig("levels")
                .root()
                .forEach((name, level) -> levels.put(name, level.unwrapped().toString()));
        Config state = all.getConfig("state");
        return new OperatorConfig(
                new LogSettings(
                        log.getString("format").equals("json"),
                        log.getString("level"),
                        Map.copyOf(levels),
                        log.getInt("queue"),
                        ms(log, "flush")),
                new StateSettings(
                        folder(file, state, "folder"),
                        folder(file, state, "fence"),
                        ms(state, "every"),
                        state.getInt("keep"),
                        ms(state, "oldest"),
                        ms(state, "half-life")),
                fleet(file, all.getConfig("fleet")),
                catalog(file, all.getConfig("catalog")));
    }

    private static CatalogSettings catalog(Path file, Config catalog) {
        return new CatalogSettings(
                catalog.getString("apply").equals("on-reload"),
                folder(file, catalog, "log"),
                ms(catalog, "poll"));
    }

    private static FleetSettings fleet(Path file, Config fleet) throws OperatorException {
        String listen = fleet.getString("listen");
        if (listen.isEmpty()) {
            return FleetSettings.NONE;
        }
        Path keys = folder(file, fleet, "key-file");
        if (keys == null) {
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
                FleetSettings.keys(keys));
    }

    private static double ms(Config config, String key) {
        return config.getDuration(key, TimeUnit.NANOSECONDS) / 1e6;
    }

    private static Path folder(Path file, Config config, String key) {
        String name = config.getString(key);
        return name.isEmpty() ? null : file.toAbsolutePath().resolveSibling(name);
    }
}
