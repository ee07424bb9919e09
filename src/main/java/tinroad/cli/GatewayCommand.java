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
 * A command that needs a gateway's configuration and operator file: finds and reads them, and
 * prints one line for each error in them.
 */
abstract class GatewayCommand extends Command {
    private static final String VARIABLE = "GW_CONFIG";

    @Option(
            name = "--config",
            metaVar = "FILE",
            usage = "the platform's configuration (default: what GW_CONFIG names)")
    private String file;

    @Option(
            name = "--operator",
            metaVar = "FILE",
            usage = "what the operators set beside it (default: none)")
    private String operator;

    @Override
    final int run(InputStream in, PrintStream out, PrintStream err) {
        try {
            OperatorConfig operatorConfig = readOperator();
            ConfigFile source = configFile();
            run(source, source.read(null), operatorConfig, out);
            return SUCCESS;
        } catch (OperatorException e) {
            e.errors().forEach(fault -> err.println("tinroad: " + fault));
            return USAGE_ERROR;
        } catch (ConfigException e) {
            e.getMessage().lines().forEach(fault -> err.println("tinroad: " + fault));
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
     * @param operator null if no operator file is named
     */
    abstract void run(
            ConfigFile source, GatewayConfig config, OperatorConfig operator, PrintStream out)
            throws IOException, InterruptedException;

    /** The file that {@code --config} or GW_CONFIG names. */
    final ConfigFile configFile() throws ConfigException {
        String path = file != null ? file : System.getenv(VARIABLE);
        if (path == null || path.isEmpty()) {
            throw new ConfigException("no configuration: give --config FILE or set " + VARIABLE);
        }
        return new ConfigFile(Path.of(path));
    }

    /** Reads the operator file; null if none is named. */
    final OperatorConfig readOperator() throws OperatorException {
        return operator == null ? null : OperatorConfig.read(Path.of(operator));
    }
}
