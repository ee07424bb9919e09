package tinroad.cli;

import java.io.InputStream;
import java.io.PrintStream;
import org.kohsuke.args4j.Option;

/**
 * A command: its options are fields that the parser sets; what it is for stands in {@link About}.
 */
abstract class Command {
    /** Exit status: done. */
    static final int FINE = 0;

    /** Exit status: could not start, or not read its input. */
    static final int FAILED = 1;

    /** Exit status: wrong arguments, or an operator file with faults. */
    static final int WRONG = 2;

    @Option(name = "--help", aliases = "-h", help = true, usage = "show this text")
    private boolean help;

    /**
     * What help tells of a command.
     *
     * @param does one line, without the command's name
     * @param example a full command line
     * @param statuses exit statuses, each with its meaning
     */
    record About(String does, String example, String... statuses) {}

    /** What help tells. */
    abstract About about();

    /** Runs it; returns the exit status. */
    abstract int run(InputStream in, PrintStream out, PrintStream err);

    final boolean wantsHelp() {
        return help;
    }
}
