package tinroad.cli;

import tinroad.config.ConfigException;
import tinroad.config.GatewayConfig;
import java.io.InputStream;
import java.io.PrintStream;

/** {@code check}: reads the configuration and says whether a gateway could start with it. */
public final class Check extends ConfigOption implements Main.Command {
    @Override
    public int run(InputStream in, PrintStream out, PrintStream err) {
        try {
            GatewayConfig config = read();
            out.println("ok: " + config.name() + " with classes " + config.site().classNames());
            return 0;
        } catch (ConfigException e) {
            err.println("tinroad: " + e.getMessage());
            return 1;
        }
    }
}
