package tinroad.cli;

import java.io.IOException;
import java.io.PrintStream;
import org.jline.utils.Signals;
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

/**
 * {@code serve}: one real gateway, until it is told to leave. SIGHUP has it read its files again.
 */
public final class ServeCommand extends GatewayCommand {
    private static final Logger LOG = LoggerFactory.getLogger("server");

    @Override
    About about() {
        return new About(
                "serves as one gateway until SIGTERM; SIGHUP has it read its files again",
                "tinroad serve --config deploy/example.json --operator deploy/operator.conf",
                "0  left when it was told to",
                "1  could not start",
                "2  wrong arguments, or faults in the operator file, a line for each");
    }

    @Override
    void run(ConfigFile source, GatewayConfig config, OperatorConfig operator, PrintStream out)
            throws IOException, InterruptedException {
        LogSink sink = LogSink.of(operator);
        try (GatewayNode server =
                new GatewayNode(
                        config,
                        System.getenv("TMPDIR"),
                        operator == null ? StateSettings.NONE : operator.state(),
                        operator == null ? FleetSettings.NONE : operator.fleet(),
                        operator == null ? CatalogSettings.DEFAULT : operator.catalog())) {
            // Before anything can reach this process: a virtual machine that nobody handles the
            // signals for ends on them.
            if (!leaveOnNotice(server, sink)) {
                return;
            }
            if (Signals.register("HUP", () -> reload(server, source, sink)) == null) {
                LOG.warn("SIGHUP can't be handled here: it would end this process");
            } else if (IgnoredSignals.signal(IgnoredSignals.HUP)) {
                LOG.warn(
                        "SIGHUP is ignored, as this process was started so: the configuration is"
                                + " read again only while the engine is gone");
            }
            String unused = ClassArchive.unused();
            if (unused != null) {
                LOG.warn(
                        "started without the archive of classes: {}; deploy/share-classes.sh makes"
                                + " it anew",
                        unused);
            }
            server.warmUpJit();
            if (server.start().isPresent()) {
                server.awaitEnd(source);
            }
        } finally {
            sink.end();
        }
    }

    /**
     * Has a notice to leave drain the gateway; false where one has come already, and the process is
     * about to end.
     */
    private static boolean leaveOnNotice(GatewayNode server, LogSink sink) {
        try {
            Runtime.getRuntime()
                    .addShutdownHook(
                            new Thread(
                                    () -> {
                                        server.shutDownGracefully();
                                        sink.end();
                                    },
                                    "leave"));
            return true;
        } catch (IllegalStateException e) {
            // Nothing listens yet, so there is nothing to answer.
            return false;
        }
    }

    /**
     * Guards against a file that is half written, gone or wrong: the gateway goes on with what it
     * has of it.
     */
    private synchronized void reload(GatewayNode server, ConfigFile source, LogSink sink) {
        try {
            server.reload(source);
        } catch (ConfigException e) {
            e.getMessage().lines().forEach(fault -> LOG.warn("configuration kept: {}", fault));
        }
        try {
            OperatorConfig operator = readOperator();
            if (operator != null) {
                sink.set(operator.log());
                LOG.info("operator file read again");
            }
        } catch (OperatorException e) {
            LOG.warn("operator file kept: {}", e.getMessage());
        }
    }
}
