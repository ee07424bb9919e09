package tinroad.cli;

import java.io.InputStream;
import java.io.PrintStream;
import org.kohsuke.args4j.Argument;

/** {@code completion}: prints a script that has a shell complete the command line. */
public final class CompletionCommand extends Command {
    /** The shells. */
    public enum Shell {
        BASH,
        ZSH
    }

    @Argument(required = true, metaVar = "SHELL", usage = "bash or zsh")
    private Shell shell;

    @Override
    About about() {
        return new About(
                "prints a script that completes command lines",
                "eval \"$(tinroad completion bash)\"",
                "0  printed",
                "2  wrong arguments");
    }

    @Override
    int run(InputStream in, PrintStream out, PrintStream err) {
        out.print(Usage.completion(shell == Shell.ZSH ? "zsh" : "bash"));
        return SUCCESS;
    }
}
