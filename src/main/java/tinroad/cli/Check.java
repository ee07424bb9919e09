package tinroad.cli;

import java.io.IOException;
import java.io.PrintStream;
import org.kohsuke.args4j.Option;
import tinroad.config.GatewayConfig;
import tinroad.fastcgi.FastCgiFront;

/** {@code check}: reads the configuration and says whether a gateway could start with it. */
public final class Check extends GatewayCommand {
    @Option(name = "--start", usage = "also start a gateway with it, and let it leave at once")
    private boolean start;

    @Override
    void run(GatewayConfig config, PrintStream out) throws IOException, InterruptedException {
        if (start) {
            // Guards a gateway that serves there: a second one beside it would take its engine and half its callers.
            if (FastCgiFront.taken(config.listen(), false)) {
                throw new IOException("can't listen on " + config.listen() + ": another process does");
            }
            try (Server server = new Server(config, null)) {
                server.start();
                server.leave();
            }
        }
        out.println("ok: " + config.name() + " with classes " + config.site().classNames());
    }
}
