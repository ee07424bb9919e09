package tinroad.cli;

import java.io.IOException;
import java.io.PrintStream;
import org.kohsuke.args4j.Option;
import tinroad.config.ConfigFile;
import tinroad.config.GatewayConfig;
import tinroad.fastcgi.FastCgiFrontend;
import tinroad.node.GatewayNode;
import tinroad.operator.FleetSettings;
import tinroad.operator.OperatorConfig;
import tinroad.operator.StateSettings;

/**
 * {@code check}: reads configuration and operator file and says whether a gateway could start with
 * them.
 */
public final class CheckCommand extends GatewayCommand {
    @Option(name = "--start", usage = "also start a gateway with them, and let it leave at once")
    private boolean start;

    @Override
    About about() {
        return new About(
                "reads configuration and operator file and says whether a gateway could start with"
                        + " them",
                "tinroad check --config deploy/example.json --operator deploy/operator.conf",
                "0  it could",
                "1  the configuration can't be used, or the start failed",
                "2  wrong arguments, or faults in the operator file, a line for each");
    }

    @Override
    void run(ConfigFile source, GatewayConfig config, OperatorConfig operator, PrintStream out)
            throws IOException, InterruptedException {
        if (start) {
            // Guards a gateway that serves there: a second process would take its engine and half
            // of its clients.
            if (FastCgiFrontend.isAddressTaken(config.listen(), false)) {
                throw new IOException(
                        "can't listen on " + config.listen() + ": another process does");
            }
            try (GatewayNode node =
                    new GatewayNode(config, null, StateSettings.NONE, FleetSettings.NONE)) {
                node.warmUpJit();
                node.start();
                node.shutDownGracefully();
            }
        }
        out.println("ok: " + config.name() + " with classes " + config.site().classNames());
    }
}
