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

/** The entry point: finds the command, parses its options and runs it. */
public final class Main {
    private static final String SERVE = "serve";

    /** All commands by name, in the order in which {@code help} lists them. */
    static final Map<String, Supplier<Command>> COMMANDS = new LinkedHashMap<>();

    static {
        COMMANDS.put(SERVE, ServeCommand::new);
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
        if (args.length > 0 && args[0].equals(SERVE)) {
            HangupSignal.takeOver();
        }
        LogBackend.select(args);
        System.exit(run(args, System.in, System.out, System.err));
    }

    static int run(String[] args, InputStream in, PrintStream out, PrintStream err) {
        if (args.length == 0) {
            err.println("tinroad: no command" + listCommands());
            return Command.USAGE_ERROR;
        }
        if (args[0].equals("--help") || args[0].equals("-h")) {
            Usage.printOverview(out);
            return Command.SUCCESS;
        }
        if (!COMMANDS.containsKey(args[0])) {
            return reportUnknownCommand(args[0], err);
        }
        Command command = COMMANDS.get(args[0]).get();
        try {
            new CmdLineParser(command, ParserProperties.defaults().withShowDefaults(false))
                    .parseArgument(Arrays.copyOfRange(args, 1, args.length));
        } catch (CmdLineException e) {
            err.println(
                    "tinroad: "
                            + e.getMessage().replaceAll("\\s+", " ")
                            + " (see 'tinroad help "
                            + args[0]
                            + "')");
            return Command.USAGE_ERROR;
        }
        if (command.helpRequested()) {
            Usage.printCommand(args[0], out);
            return Command.SUCCESS;
        }
        return command.run(in, out, err);
    }

    static int reportUnknownCommand(String name, PrintStream err) {
        String suggestion = SpellingSuggestion.nearest(name, COMMANDS.keySet());
        err.println(
                "tinroad: no command '"
                        + name
                        + "'"
                        + (suggestion == null ? "" : ": is '" + suggestion + "' meant?")
                        + listCommands());
        return Command.USAGE_ERROR;
    }

    private static String listCommands() {
        return " (commands: " + String.join(", ", COMMANDS.keySet()) + ")";
    }
}
