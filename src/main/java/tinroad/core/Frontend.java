package tinroad.core;

/**
 * The side of the gateway that implements the clients' protocol: it owns the connections, passes
 * requests to the gateway and writes the answers. Its methods are called on the event loop.
 */
public interface Frontend {
    /**
     * Closes connections without an open request once they have been unused for this long; 0 leaves
     * closing them to the clients.
     */
    void setIdleTimeout(double idleMillis);

    /** Accepts no more connections, and closes each open one once it has no open request. */
    void closeGracefully();

    /** Returns the number of open connections. */
    int connections();
}
