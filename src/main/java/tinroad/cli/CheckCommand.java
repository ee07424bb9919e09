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
 * The command {@code check}: reads the configuration and the operator file and checks whether a
 * gateway could start with them.
 */
public final class CheckCommand extends GatewayCommand {
    @Option(name = "--start", usage = "also start a gateway with them and shut it down at once")
    private boolean start;

    @Override
    About about() {
        return new About(
                "checks whether a gateway could start with a configuration and an operator file",
                "tinroad check --config deploy/example.json --operator deploy/operator.conf",
                "0  a gateway could start",
                "1  the configuration can't be used, or the start failed",
                "2  wrong arguments, or errors in the operator file, one line each");
    }

    @Override
    void run(ConfigFile source, GatewayConfig config, OperatorConfig operator, PrintStream out)
            throws IOException, InterruptedException {
        if (start) {
            // Protects a gateway that already serves there: a second process would take over its
            // engine and half of its clients.
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
