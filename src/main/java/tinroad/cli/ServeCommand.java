package tinroad.cli;

import java.io.IOException;
import java.io.PrintStream;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import tinroad.config.ConfigException;
import tinroad.config.ConfigFile;
import tinroad.config.GatewayConfig;
import tinroad.node.GatewayNode;
import tinroad.operator.CatalogSettings;
import tinroad.operator.FleetSettings;
import tinroad.operator.OperatorConfig;
import tinroad.operator.OperatorException;
import tinroad.operator.StateSettings;

/** The command {@code serve}: runs one gateway until SIGTERM. SIGHUP reloads its files. */
public final class ServeCommand extends GatewayCommand {
    private static final Logger LOG = LoggerFactory.getLogger("server");

    private final long startMillis = System.currentTimeMillis();

    @Override
    About about() {
        return new About(
                "runs a gateway until SIGTERM; SIGHUP reloads its files",
                "tinroad serve --config deploy/example.json --operator deploy/operator.conf",
                "0  shut down as requested",
                "1  could not start",
                "2  wrong arguments, or errors in the operator file, one line each");
    }

    @Override
    void run(ConfigFile source, GatewayConfig config, OperatorConfig operator, PrintStream out)
            throws IOException, InterruptedException {
        ProcessLog processLog = ProcessLog.of(operator);
        try (GatewayNode node =
                new GatewayNode(
                        config,
                        System.getenv("TMPDIR"),
                        startMillis,
                        operator == null ? StateSettings.NONE : operator.state(),
                        operator == null ? FleetSettings.NONE : operator.fleet(),
                        operator == null ? CatalogSettings.DEFAULT : operator.catalog())) {
            // Done first, because the virtual machine ends on these signals without handlers.
            if (!shutDownOnSigterm(node, processLog)) {
                return;
            }
            HangupSignal.takeOver();
            HangupSignal.onReceived(() -> reload(node, source, processLog));
            if (!HangupSignal.isTakenOver()) {
                LOG.warn("SIGHUP can't be handled here: it would end this process");
            } else if (IgnoredSignals.isIgnored(IgnoredSignals.HUP)) {
                LOG.warn(
                        "SIGHUP is ignored, as this process was started so: the configuration is"
                                + " read again only while the engine is gone");
            }
            String reasonUnused = ClassArchive.reasonUnused();
            if (reasonUnused != null) {
                LOG.warn(
                        "started without the archive of classes: {}; deploy/share-classes.sh makes"
                                + " it anew",
                        reasonUnused);
            }
            node.warmUpJit();
            if (node.start().isPresent()) {
                node.awaitEnd(source);
            }
        } finally {
            processLog.close();
        }
    }

    /**
     * Registers a graceful shutdown of the gateway on SIGTERM; returns false if the process is
     * already ending.
     */
    private static boolean shutDownOnSigterm(GatewayNode node, ProcessLog processLog) {
        try {
            Runtime.getRuntime()
                    .addShutdownHook(
                            new Thread(
                                    () -> {
                                        node.shutDownGracefully();
                                        processLog.close();
                                    },
                                    "leave"));
            return true;
        } catch (IllegalStateException e) {
            // The gateway does not listen yet, so there is nothing to drain.
            return false;
        }
    }

    /**
     * Reloads both files. If a file is missing, partly written or invalid, this is logged, and its
     * last valid content stays in force.
     */
    private synchronized void reload(GatewayNode node, ConfigFile source, ProcessLog processLog) {
        try {
            node.reload(source);
        } catch (ConfigException e) {
            e.getMessage().lines().forEach(error -> LOG.warn("configuration kept: {}", error));
        }
        try {
            OperatorConfig operator = readOperator();
            if (operator != null) {
                processLog.configure(operator.log());
                LOG.info("operator file read again");
            }
        } catch (OperatorException e) {
            LOG.warn("operator file kept: {}", e.getMessage());
        }
    }
}
