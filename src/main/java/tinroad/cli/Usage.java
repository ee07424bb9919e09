package tinroad.cli;

import java.io.PrintStream;
import java.io.StringWriter;
import java.util.List;
import java.util.stream.Collectors;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.NamedOptionDef;
import org.kohsuke.args4j.ParserProperties;

/** Help texts and completion scripts, generated from the commands' annotations. */
final class Usage {
    private static final int WIDTH_COLUMNS = 110;

    private Usage() {}

    private static CmdLineParser parser(Command command) {
        return new CmdLineParser(
                command,
                ParserProperties.defaults().withShowDefaults(true).withUsageWidth(WIDTH_COLUMNS));
    }

    /** Prints a list of all commands. */
    static void printOverview(PrintStream out) {
        out.println("usage: tinroad COMMAND [OPTIONS]\n\ncommands:");
        Main.COMMANDS.forEach(
                (name, factory) ->
                        out.printf("  %-12s %s%n", name, factory.get().about().summary()));
        out.println(
                """

                'tinroad help COMMAND' or 'tinroad COMMAND --help' describes one command.

                example:
                  tinroad check --config deploy/example.json

                exit status:
                  0  done
                  1  could not start, or could not read its input
                  2  wrong arguments, or an operator file with errors\
                """);
    }

    /** Prints the description and the options of one command. */
    static void printCommand(String name, PrintStream out) {
        Command command = Main.COMMANDS.get(name).get();
        Command.About about = command.about();
        CmdLineParser parser = parser(command);
        StringWriter usageLine = new StringWriter();
        parser.printSingleLineUsage(usageLine, null);
        StringWriter options = new StringWriter();
        parser.printUsage(options, null);
        out.println(
                "usage: tinroad "
                        + name
                        + usageLine
                        + "\n\n"
                        + about.summary()
                        + "\n\noptions:\n"
                        + options
                        + "\nexample:\n  "
                        + about.example()
                        + "\n\nexit status:");
        for (String status : about.statuses()) {
            out.println("  " + status);
        }
    }

    private static List<String> options(String name) {
        return parser(Main.COMMANDS.get(name).get()).getOptions().stream()
                .map(handler -> ((NamedOptionDef) handler.option).name())
                .sorted()
                .toList();
    }

    /** Returns a script for command-line completion in {@code shell}, which is bash or zsh. */
    static String completion(String shell) {
        String commands = String.join(" ", Main.COMMANDS.keySet());
        String cases =
                Main.COMMANDS.keySet().stream()
                        .map(name -> "    " + name + ") words=\"" + words(name, commands) + "\" ;;")
                        .collect(Collectors.joining("\n"));
        String bash =
                """
                _tinroad() {
                  local word="${COMP_WORDS[COMP_CWORD]}" \
                before="${COMP_WORDS[COMP_CWORD-1]}" words=""
                  COMPREPLY=()
                  case "$before" in
                    --config|--operator|--jar|--out) COMPREPLY=($(compgen -f -- "$word")); return ;;
                    --output) COMPREPLY=($(compgen -W "table json" -- "$word")); return ;;
                  esac
                  if [ "$COMP_CWORD" -eq 1 ]; then
                    COMPREPLY=($(compgen -W "%s --help" -- "$word"))
                    return
                  fi
                  case "${COMP_WORDS[1]}" in
                %s
                  esac
                  COMPREPLY=($(compgen -W "$words" -- "$word"))
                }
                complete -F _tinroad tinroad
                """
                        .formatted(commands, cases);
        return shell.equals("zsh")
                ? "#compdef tinroad\nautoload -U +X bashcompinit && bashcompinit\n" + bash
                : bash;
    }

    /** Returns the words that may follow the name of a command. */
    private static String words(String name, String commands) {
        String ownOptions = String.join(" ", options(name));
        return switch (name) {
            case "help" -> commands + " " + ownOptions;
            case "state" -> "show verify " + ownOptions;
            case "catalog" -> "show diff check publish " + ownOptions;
            case "lab" -> "run compare scale capacity list " + ownOptions;
            case "completion" -> "bash zsh " + ownOptions;
            default -> ownOptions;
        };
    }
}
