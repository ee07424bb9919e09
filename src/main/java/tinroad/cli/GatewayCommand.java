package tinroad.cli;

import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.nio.file.Path;
import org.kohsuke.args4j.Option;
import tinroad.config.ConfigException;
import tinroad.config.GatewayConfig;

/** A command that needs a gateway's configuration: finds it, and tells in one line what is wrong. */
abstract class GatewayCommand implements Main.Command {
    private static final String VARIABLE = "GW_CONFIG";

    @Option(name = "--config", metaVar = "FILE", usage = "the configuration; otherwise GW_CONFIG names it")
    private String file;

    @Override
    public final int run(InputStream in, PrintStream out, PrintStream err) {
        try {
            run(read(), out);
            return 0;
        } catch (ConfigException | IOException e) {
            err.println("tinroad: " + e.getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return 1;
    }

    /** Does what the command is for. */
    abstract void run(GatewayConfig config, PrintStream out) throws IOException, InterruptedException;

    /** Reads the configuration, as it is now. */
    final GatewayConfig read() throws ConfigException {
        String path = file != null ? file : System.getenv(VARIABLE);
        if (path == null || path.isEmpty()) {
            throw new ConfigException("no configuration: give --config FILE or set " + VARIABLE);
        }
        return GatewayConfig.read(Path.of(path));
    }
}
