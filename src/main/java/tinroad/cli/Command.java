package tinroad.cli;

import java.io.InputStream;
import java.io.PrintStream;
import org.kohsuke.args4j.Option;

/** A command of the command line: the parser sets its options, which are annotated fields. */
abstract class Command {
    /** Exit status: done. */
    static final int SUCCESS = 0;

    /** Exit status: could not start, or could not read its input. */
    static final int FAILURE = 1;

    /** Exit status: wrong arguments, or an operator file with errors. */
    static final int USAGE_ERROR = 2;

    @Option(name = "--help", aliases = "-h", help = true, usage = "show this text")
    private boolean help;

    /**
     * What {@code help} prints of a command.
     *
     * @param summary one line, without the command's name
     * @param example a full command line
     * @param statuses exit statuses, each with its meaning
     */
    @SuppressWarnings("ArrayRecordComponent") // Written as varargs, never compared.
    record About(String summary, String example, String... statuses) {}

    /** What {@code help} prints. */
    abstract About about();

    /** Runs the command and returns the exit status. */
    abstract int run(InputStream in, PrintStream out, PrintStream err);

    final boolean helpRequested() {
        return help;
    }
}
