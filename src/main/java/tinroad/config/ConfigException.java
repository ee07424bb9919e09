package tinroad.config;

/** A configuration that can't be used; the message is the one line that the operator sees. */
public final class ConfigException extends Exception {
    private static final long serialVersionUID = 1L;

    /** With the line to print. */
    public ConfigException(String message) {
        super(message);
    }
}
