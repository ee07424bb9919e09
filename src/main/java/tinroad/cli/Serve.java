package tinroad.cli;

import tinroad.config.ConfigException;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;

/** {@code serve}: one real gateway, until it is told to leave. */
public final class Serve extends ConfigOption implements Main.Command {
    @Override
    public int run(InputStream in, PrintStream out, PrintStream err) {
        try (Server server = new Server(read())) {
            server.start();
            Runtime.getRuntime().addShutdownHook(new Thread(server::leave, "leave"));
            server.awaitEnd();
            return 0;
        } catch (ConfigException | IOException e) {
            err.println("tinroad: " + e.getMessage());
            return 1;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return 1;
        }
    }
}
