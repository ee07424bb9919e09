package tinroad.log;

import java.util.Arrays;

/**
 * Which of the two back ends writes: the plain one of the platform's {@code run}, which costs
 * neither memory nor time to start, or the one whose format and levels the operator file sets.
 * Chosen once, before the first logger is made.
 */
public final class LogBackend {
    private static final String PROVIDER = "slf4j.provider";
    private static final String PLAIN = "org.slf4j.simple.SimpleServiceProvider";
    private static final String CONFIGURABLE = "ch.qos.logback.classic.spi.LogbackServiceProvider";

    private LogBackend() {}

    /**
     * Chooses by the arguments of the process: to serve with an operator file wants the one that
     * can be set.
     */
    public static void select(String[] args) {
        boolean operator =
                args.length > 0
                        && args[0].equals("serve")
                        && Arrays.stream(args)
                                .anyMatch(
                                        a -> a.equals("--operator") || a.startsWith("--operator="));
        System.setProperty(PROVIDER, operator ? CONFIGURABLE : PLAIN);
        // What the facade says of its own choice is no line of ours.
        System.setProperty("slf4j.internal.verbosity", "WARN");
    }

    /** Whether lines keep key-values apart from their text. */
    static boolean keepsKeyValues() {
        return CONFIGURABLE.equals(System.getProperty(PROVIDER));
    }
}
