package tinroad.cli;

import java.io.InputStream;
import java.io.PrintStream;
import org.kohsuke.args4j.Argument;

/** {@code help}: what there is, or what one command does. */
public final class HelpCommand extends Command {
    @Argument(metaVar = "COMMAND", usage = "the command to tell of; without it, all of them")
    private String name;

    @Override
    About about() {
        return new About(
                "tells what the commands do, and their options",
                "tinroad help serve",
                "0  told",
                "2  no such command");
    }

    @Override
    int run(InputStream in, PrintStream out, PrintStream err) {
        if (name == null) {
            Usage.printOverview(out);
        } else if (Main.COMMANDS.containsKey(name)) {
            Usage.printCommand(name, out);
        } else {
            return Main.reportUnknownCommand(name, err);
        }
        return SUCCESS;
    }
}
