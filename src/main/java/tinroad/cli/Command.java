package tinroad.cli;

import java.io.InputStream;
import java.io.PrintStream;
import org.kohsuke.args4j.Option;

/** Base class of commands. The parser sets a command's options, which are annotated fields. */
abstract class Command {
    /** Exit status: success. */
    static final int SUCCESS = 0;

    /** Exit status: the command could not start or could not read its input. */
    static final int FAILURE = 1;

    /** Exit status: wrong arguments or an operator file with errors. */
    static final int USAGE_ERROR = 2;

    @Option(name = "--help", aliases = "-h", help = true, usage = "show this text")
    private boolean help;

    /**
     * The description of a command that {@code help} prints.
     *
     * @param summary one line, without the command's name
     * @param example a complete command line
     * @param statuses the exit statuses, each with its meaning
     */
    @SuppressWarnings("ArrayRecordComponent") // Written as varargs, never compared.
    record About(String summary, String example, String... statuses) {}

    /** Returns the description that {@code help} prints. */
    abstract About about();

    /** Runs the command and returns the exit status. */
    abstract int run(InputStream in, PrintStream out, PrintStream err);

    final boolean helpRequested() {
        return help;
    }
}
