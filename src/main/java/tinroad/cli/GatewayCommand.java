package tinroad.cli;

import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.nio.file.Path;
import org.kohsuke.args4j.Option;
import tinroad.config.ConfigException;
import tinroad.config.ConfigFile;
import tinroad.config.GatewayConfig;
import tinroad.operator.OperatorConfig;
import tinroad.operator.OperatorException;

/**
 * Base class of commands that need a gateway's configuration and operator file. It finds and reads
 * them, and prints one line for each error in them.
 */
abstract class GatewayCommand extends Command {
    private static final String CONFIG_VARIABLE = "GW_CONFIG";

    @Option(
            name = "--config",
            metaVar = "FILE",
            usage = "the platform's configuration file (default: the file that GW_CONFIG names)")
    private String configPath;

    @Option(name = "--operator", metaVar = "FILE", usage = "the operator file (default: none)")
    private String operatorPath;

    @Override
    final int run(InputStream in, PrintStream out, PrintStream err) {
        try {
            OperatorConfig operatorConfig = readOperator();
            ConfigFile source = configFile();
            run(source, source.read(null), operatorConfig, out);
            return SUCCESS;
        } catch (OperatorException e) {
            e.errors().forEach(error -> err.println("tinroad: " + error));
            return USAGE_ERROR;
        } catch (ConfigException e) {
            e.getMessage().lines().forEach(error -> err.println("tinroad: " + error));
        } catch (IOException e) {
            err.println("tinroad: " + e.getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return FAILURE;
    }

    /**
     * Runs the command.
     *
     * @param source the file of the configuration, for reading it again
     * @param operator the operator file's settings; null if no operator file is named
     */
    abstract void run(
            ConfigFile source, GatewayConfig config, OperatorConfig operator, PrintStream out)
            throws IOException, InterruptedException;

    /** Returns the file that {@code --config} or GW_CONFIG names. */
    final ConfigFile configFile() throws ConfigException {
        String path = configPath != null ? configPath : System.getenv(CONFIG_VARIABLE);
        if (path == null || path.isEmpty()) {
            throw new ConfigException(
                    "no configuration: give --config FILE or set " + CONFIG_VARIABLE);
        }
        return new ConfigFile(Path.of(path));
    }

    /** Reads the operator file; null if none is named. */
    final OperatorConfig readOperator() throws OperatorException {
        return operatorPath == null ? null : OperatorConfig.read(Path.of(operatorPath));
    }
}
