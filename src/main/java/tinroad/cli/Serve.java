package tinroad.cli;

import java.io.IOException;
import java.io.PrintStream;
import org.jline.utils.Signals;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import tinroad.config.ConfigException;
import tinroad.config.GatewayConfig;

/** {@code serve}: one real gateway, until it is told to leave. SIGHUP has it read its configuration again. */
public final class Serve extends GatewayCommand {
    private static final Logger LOG = LoggerFactory.getLogger("server");

    @Override
    void run(GatewayConfig config, PrintStream out) throws IOException, InterruptedException {
        try (Server server = new Server(config, System.getenv("TMPDIR"))) {
            // Before anything can reach this process: a virtual machine that nobody handles the signal for ends on it.
            if (Signals.register("HUP", () -> reload(server)) == null) {
                LOG.warn("SIGHUP can't be handled here: it would end this process");
            }
            server.rehearse();
            server.start();
            Runtime.getRuntime().addShutdownHook(new Thread(server::leave, "leave"));
            server.awaitEnd();
        }
    }

    /** Guards against a file that is half written, gone or wrong: the gateway goes on with what it has. */
    private synchronized void reload(Server server) {
        try {
            server.reload(read());
        } catch (ConfigException e) {
            LOG.warn("configuration kept: {}", e.getMessage());
        }
    }
}
