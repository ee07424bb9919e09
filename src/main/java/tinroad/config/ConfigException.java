package tinroad.config;

/**
 * A configuration that can't be used; the message is printed or logged for the operator, a line for
 * each error.
 */
public final class ConfigException extends Exception {
    private static final long serialVersionUID = 1L;

    /** With the lines to print. */
    public ConfigException(String message) {
        super(message);
    }
}
