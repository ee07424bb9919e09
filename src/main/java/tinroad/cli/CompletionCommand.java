package tinroad.cli;

import java.io.InputStream;
import java.io.PrintStream;
import org.kohsuke.args4j.Argument;

/** The command {@code completion}: prints a script for command-line completion in a shell. */
public final class CompletionCommand extends Command {
    /** The supported shells. */
    public enum Shell {
        BASH,
        ZSH
    }

    @Argument(required = true, metaVar = "SHELL", usage = "bash or zsh")
    private Shell shell;

    @Override
    About about() {
        return new About(
                "prints a script for command-line completion in a shell",
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
