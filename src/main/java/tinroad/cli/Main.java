package tinroad.cli;

import java.io.InputStream;
import java.io.PrintStream;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.ParserProperties;
import org.kohsuke.args4j.spi.SubCommand;
import org.kohsuke.args4j.spi.SubCommandHandler;
import org.kohsuke.args4j.spi.SubCommands;

/** The command line. */
public final class Main {
    /** A sub-command. */
    interface Command {
        /** Runs it; returns the exit status. */
        int run(InputStream in, PrintStream out, PrintStream err);
    }

    @Argument(required = true, metaVar = "COMMAND", handler = SubCommandHandler.class)
    @SubCommands({
        @SubCommand(name = "serve", impl = Serve.class),
        @SubCommand(name = "check", impl = Check.class),
        @SubCommand(name = "wirehost", impl = WireHost.class),
        @SubCommand(name = "version", impl = Version.class)
    })
    private Command command;

    private Main() { }

    /** Runs the named command and exits with its status. */
    public static void main(String[] args) {
        System.exit(run(args, System.in, System.out, System.err));
    }

    static int run(String[] args, InputStream in, PrintStream out, PrintStream err) {
        Main main = new Main();
        CmdLineParser parser = new CmdLineParser(main, ParserProperties.defaults().withShowDefaults(false));
        try {
            parser.parseArgument(args);
        } catch (CmdLineException e) {
            err.println("tinroad: " + e.getMessage() + " (commands: serve, check, wirehost, version)");
            return 2;
        }
        return main.command.run(in, out, err);
    }
}
