package tinroad.cli;

import java.io.InputStream;
import java.io.PrintStream;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Supplier;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.ParserProperties;
import tinroad.log.LogBackend;
import tinroad.operator.SpellingSuggestion;

/** The command line. */
public final class Main {
    /** All commands, in the order that help tells them. */
    static final Map<String, Supplier<Command>> COMMANDS = new LinkedHashMap<>();

    static {
        COMMANDS.put("serve", ServeCommand::new);
        COMMANDS.put("check", CheckCommand::new);
        COMMANDS.put("figures", MetricsCommand::new);
        COMMANDS.put("members", MembersCommand::new);
        COMMANDS.put("wirehost", SimulatorCommand::new);
        COMMANDS.put("lab", LabCommand::new);
        COMMANDS.put("state", StateCommand::new);
        COMMANDS.put("catalog", CatalogCommand::new);
        COMMANDS.put("help", HelpCommand::new);
        COMMANDS.put("completion", CompletionCommand::new);
        COMMANDS.put("version", VersionCommand::new);
    }

    private Main() {}

    /** Runs the named command and exits with its status. */
    public static void main(String[] args) {
        LogBackend.select(args);
        System.exit(run(args, System.in, System.out, System.err));
    }

    static int run(String[] args, InputStream in, PrintStream out, PrintStream err) {
        if (args.length == 0) {
            err.println("tinroad: no command" + commands());
            return Command.WRONG;
        }
        if (args[0].equals("--help") || args[0].equals("-h")) {
            Usage.all(out);
            return Command.FINE;
        }
        if (!COMMANDS.containsKey(args[0])) {
            return noCommand(args[0], err);
        }
        Command command = COMMANDS.get(args[0]).get();
        try {
            new CmdLineParser(command, ParserProperties.defaults().withShowDefaults(false))
                    .parseArgument(Arrays.copyOfRange(args, 1, args.length));
        } catch (CmdLineException e) {
            err.println(
                    "tinroad: "
                            + e.getMessage().replaceAll("\\s+", " ")
                            + " ('tinroad help "
                            + args[0]
                            + "' tells more)");
            return Command.WRONG;
        }
        if (command.wantsHelp()) {
            Usage.of(args[0], out);
            return Command.FINE;
        }
        return command.run(in, out, err);
    }

    static int noCommand(String name, PrintStream err) {
        String near = SpellingSuggestion.to(name, COMMANDS.keySet());
        err.println(
                "tinroad: no command '"
                        + name
                        + "'"
                        + (near == null ? "" : ": is '" + near + "' meant?")
                        + commands());
        return Command.WRONG;
    }

    private static String commands() {
        return " (commands: " + String.join(", ", COMMANDS.keySet()) + ")";
    }
}
