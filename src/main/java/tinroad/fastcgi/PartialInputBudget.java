package tinroad.fastcgi;

/**
 * Counts the bytes that all connections keep for input that is not complete: partial records, begun
 * requests, their parameters and bodies. Owned by the event loop.
 */
final class PartialInputBudget {
    private final long maxBytesAlone;
    private long maxBytes;
    private long heldBytes;

    PartialInputBudget(long maxBytes) {
        maxBytesAlone = maxBytes;
        this.maxBytes = maxBytes;
    }

    /** Sets whether another process of the gateway shares the memory: then half of it is left. */
    void setShared(boolean shared) {
        maxBytes = shared ? maxBytesAlone / 2 : maxBytesAlone;
    }

    /** Adds to the bytes that are held, or subtracts if negative. */
    void add(int bytes) {
        heldBytes += bytes;
    }

    boolean isExceeded() {
        return heldBytes > maxBytes;
    }

    long heldBytes() {
        return heldBytes;
    }

    long maxBytes() {
        return maxBytes;
    }
}
