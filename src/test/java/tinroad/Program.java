package tinroad;

import java.io.File;
import java.util.Arrays;
import java.util.stream.Collectors;

/** The program, for tests that start it in separate processes. */
public final class Program {
    /**
     * The class path of the program. It leaves out the classes of the tests, and with them their
     * logging configuration.
     */
    public static final String CLASS_PATH =
            Arrays.stream(System.getProperty("java.class.path").split(File.pathSeparator))
                    .filter(entry -> !entry.contains("test-classes"))
                    .collect(Collectors.joining(File.pathSeparator));

    private Program() {}
}
