package tinroad.core;

/** A protocol's side of the gateway: hands requests in, takes answers, keeps the connections. */
public interface Frontend {
    /**
     * Closes connections with nothing open that were unused for this long; 0 leaves them to the
     * callers.
     */
    void setIdleTimeout(double idleMillis);

    /** Takes no more connections, and closes each one as soon as it is empty. */
    void closeGracefully();

    /** How many connections are open. */
    int connections();
}
