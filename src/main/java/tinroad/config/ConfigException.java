package tinroad.config;

/**
 * Thrown for a configuration that can't be used. The message has one line for each error and is
 * printed or logged for the operator.
 */
public final class ConfigException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Creates an exception whose message is the lines to print. */
    public ConfigException(String message) {
        super(message);
    }
}
