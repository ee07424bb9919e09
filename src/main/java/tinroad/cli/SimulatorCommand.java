package tinroad.cli;

import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import tinroad.overload.OverloadController;
import tinroad.simulator.SimulatorAdapter;

/**
 * The command {@code wirehost}: runs overload controllers for the simulator, on standard input and
 * output.
 */
public final class SimulatorCommand extends Command {
    @Override
    About about() {
        return new About(
                "runs overload controllers for the simulator, on standard input and output",
                "tinroad wirehost",
                "0  the input ended between two batches",
                "1  the input could not be read");
    }

    @Override
    int run(InputStream in, PrintStream out, PrintStream err) {
        try {
            new SimulatorAdapter(OverloadController::new, in, out, err).run();
            return SUCCESS;
        } catch (IOException e) {
            err.println(e.getMessage());
            return FAILURE;
        }
    }
}
