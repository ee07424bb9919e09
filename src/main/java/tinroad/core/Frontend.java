package tinroad.core;

/**
 * The side of the gateway that speaks the clients' protocol: owns the connections, hands requests
 * to the gateway and writes the answers. Called on the event loop.
 */
public interface Frontend {
    /**
     * Closes connections without an open request once they were unused for this long; 0 leaves that
     * to the clients.
     */
    void setIdleTimeout(double idleMillis);

    /** Accepts no more connections, and closes each one once it has no open request. */
    void closeGracefully();

    /** How many connections are open. */
    int connections();
}
