package tinroad.cli;

import java.io.InputStream;
import java.io.PrintStream;

/** The command {@code version}: prints the program's name and version. */
public final class VersionCommand extends Command {
    @Override
    About about() {
        return new About("prints the program's name and version", "tinroad version", "0  printed");
    }

    @Override
    int run(InputStream in, PrintStream out, PrintStream err) {
        String version = VersionCommand.class.getPackage().getImplementationVersion();
        out.println("tinroad " + (version == null ? "(not packaged)" : version));
        return SUCCESS;
    }
}
