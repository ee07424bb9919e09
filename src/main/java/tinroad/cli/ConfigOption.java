package tinroad.cli;

import tinroad.config.ConfigException;
import tinroad.config.GatewayConfig;
import java.nio.file.Path;
import org.kohsuke.args4j.Option;

/** Where the configuration is found, alike for all commands that need it. */
class ConfigOption {
    private static final String VARIABLE = "GW_CONFIG";

    @Option(name = "--config", metaVar = "FILE", usage = "the configuration; otherwise GW_CONFIG names it")
    private String file;

    GatewayConfig read() throws ConfigException {
        String path = file != null ? file : System.getenv(VARIABLE);
        if (path == null || path.isEmpty()) {
            throw new ConfigException("no configuration: give --config FILE or set " + VARIABLE);
        }
        return GatewayConfig.read(Path.of(path));
    }
}
