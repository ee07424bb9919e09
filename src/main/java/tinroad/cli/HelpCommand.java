package tinroad.cli;

import java.io.InputStream;
import java.io.PrintStream;
import org.kohsuke.args4j.Argument;

/** The command {@code help}: lists the commands or describes one of them. */
public final class HelpCommand extends Command {
    @Argument(metaVar = "COMMAND", usage = "the command to describe (default: all of them)")
    private String name;

    @Override
    About about() {
        return new About(
                "describes the commands and their options",
                "tinroad help serve",
                "0  printed",
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
