package tinroad.cli;

import java.io.IOException;
import java.io.PrintStream;
import tinroad.config.GatewayConfig;

/** {@code serve}: one real gateway, until it is told to leave. */
public final class Serve extends GatewayCommand {
    @Override
    void run(GatewayConfig config, PrintStream out) throws IOException, InterruptedException {
        try (Server server = new Server(config)) {
            server.start();
            Runtime.getRuntime().addShutdownHook(new Thread(server::leave, "leave"));
            server.awaitEnd();
        }
    }
}
