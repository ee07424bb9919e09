package tinroad.cli;

import tinroad.OverloadController;
import tinroad.drill.Drill;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;

/** {@code wirehost}: the same decisions on the simulator's wire, on standard input and output. */
public final class WireHost implements Main.Command {
    @Override
    public int run(InputStream in, PrintStream out, PrintStream err) {
        try {
            new Drill(OverloadController::new, in, out, err).run();
            return 0;
        } catch (IOException e) {
            err.println(e.getMessage());
            return 1;
        }
    }
}
