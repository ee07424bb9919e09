package tinroad;

import java.io.File;
import java.util.Arrays;
import java.util.stream.Collectors;

/** The program as tests start it in processes of its own. */
public final class Program {
    /** Without the tests' own classes, and so without their settings of the log. */
    public static final String CLASS_PATH =
            Arrays.stream(System.getProperty("java.class.path").split(File.pathSeparator))
                    .filter(entry -> !entry.contains("test-classes"))
                    .collect(Collectors.joining(File.pathSeparator));

    private Program() {}
}
