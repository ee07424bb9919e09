package tinroad.cli;

import java.io.InputStream;
import java.io.PrintStream;

/** {@code version}: prints the program's name and version. */
public final class Version implements Main.Command {
    @Override
    public int run(InputStream in, PrintStream out, PrintStream err) {
        String version = Version.class.getPackage().getImplementationVersion();
        out.println("tinroad " + (version == null ? "(not packaged)" : version));
        return 0;
    }
}
