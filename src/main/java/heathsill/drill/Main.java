package heathsill.drill;

import heathsill.OverloadController;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintStream;

/** Command line: {@code drill} speaks the simulator's wire on standard input and output. */
public final class Main {
    private Main() { }

    /** Runs the named command and exits with its status. */
    public static void main(String[] args) {
        System.exit(run(args, System.in, System.out, System.err));
    }

    static int run(String[] args, InputStream in, OutputStream out, PrintStream err) {
        if (args.length != 1 || !args[0].equals("drill")) {
            err.println("usage: java -jar heathsill.jar drill");
            return 2;
        }
        try {
            new Drill(OverloadController::new, in, out, err).run();
            return 0;
        } catch (IOException e) {
            err.println(e.getMessage());
            return 1;
        }
    }
}
