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
 * A command that needs a gateway's configuration: finds it, and tells in one line for each fault
 * what is wrong.
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
            OperatorConfig set = readOperator();
            ConfigFile source = configFile();
            run(source, source.read(null), set, out);
            return FINE;
        } catch (OperatorException e) {
            e.errors().forEach(fault -> err.println("tinroad: " + fault));
            return WRONG;
        } catch (ConfigException e) {
            e.getMessage().lines().forEach(fault -> err.println("tinroad: " + fault));
        } catch (IOException e) {
            err.println("tinroad: " + e.getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return FAILED;
    }

    /** Does what the command is for; {@code operator} is null where no such file is named. */
    abstract void run(
            ConfigFile source, GatewayConfig config, OperatorConfig operator, PrintStream out)
            throws IOException, InterruptedException;

    /** The configuration's file. */
    final ConfigFile configFile() throws ConfigException {
        String path = file != null ? file : System.getenv(VARIABLE);
        if (path == null || path.isEmpty()) {
            throw new ConfigException("no configuration: give --config FILE or set " + VARIABLE);
        }
        return new ConfigFile(Path.of(path));
    }

    /** Reads the operator file, as it is now; null where none is named. */
    final OperatorConfig readOperator() throws OperatorException {
        return operator == null ? null : OperatorConfig.read(Path.of(operator));
    }
}
