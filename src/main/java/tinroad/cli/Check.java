package tinroad.cli;

import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import org.kohsuke.args4j.Option;
import tinroad.config.ConfigException;
import tinroad.config.GatewayConfig;

/** {@code check}: reads the configuration and says whether a gateway could start with it. */
public final class Check extends ConfigOption implements Main.Command {
    @Option(name = "--start", usage = "also start a gateway with it, and let it leave at once")
    private boolean start;

    @Override
    public int run(InputStream in, PrintStream out, PrintStream err) {
        try {
            GatewayConfig config = read();
            if (start) {
                startAndLeave(config);
            }
            out.println("ok: " + config.name() + " with classes " + config.site().classNames());
            return 0;
        } catch (ConfigException | IOException e) {
            err.println("tinroad: " + e.getMessage());
            return 1;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return 1;
        }
    }

    private static void startAndLeave(GatewayConfig config) throws IOException, InterruptedException {
        try (Server server = new Server(config)) {
            server.start();
            server.leave();
        }
    }
}
