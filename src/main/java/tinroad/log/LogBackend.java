package tinroad.log;

import java.util.Arrays;

/**
 * Selects one of two logging back ends: the plain one, which costs neither memory nor startup time
 * and is used by the platform's {@code run}, or the configurable one, whose format and levels the
 * operator file sets. Selected once, before the first logger is created.
 */
public final class LogBackend {
    private static final String PROVIDER = "slf4j.provider";
    private static final String PLAIN = "org.slf4j.simple.SimpleServiceProvider";
    private static final String CONFIGURABLE = "ch.qos.logback.classic.spi.LogbackServiceProvider";

    private LogBackend() {}

    /**
     * Selects the back end by the arguments of the process: the configurable one for {@code serve}
     * with an operator file, the plain one otherwise.
     */
    public static void select(String[] args) {
        boolean hasOperatorFile =
                args.length > 0
                        && args[0].equals("serve")
                        && Arrays.stream(args)
                                .anyMatch(
                                        a -> a.equals("--operator") || a.startsWith("--operator="));
        System.setProperty(PROVIDER, hasOperatorFile ? CONFIGURABLE : PLAIN);
        // Suppresses SLF4J's own message about the selected provider.
        System.setProperty("slf4j.internal.verbosity", "WARN");
    }

    /** Whether the back end writes key-value pairs apart from the text of a line. */
    static boolean separatesKeyValues() {
        return CONFIGURABLE.equals(System.getProperty(PROVIDER));
    }
}
