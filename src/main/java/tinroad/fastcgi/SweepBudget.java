package tinroad.fastcgi;

/**
 * Limits the work of one sweep over all connections, so that hundreds of connections which are
 * overdue at the same time do not hold the event loop up; the rest of them follow in later sweeps.
 * Owned by the event loop.
 */
final class SweepBudget {
    /** Bytes that may be read in one sweep. */
    private static final int MAX_BYTES = 256 * 1024;

    /** What a request that is failed counts for: its response costs as much as so many bytes. */
    private static final int FAILED_REQUEST_BYTES = 512;

    private int spentBytes;

    void startSweep() {
        spentBytes = 0;
    }

    boolean isExhausted() {
        return spentBytes >= MAX_BYTES;
    }

    void bytesRead(int bytes) {
        spentBytes += bytes;
    }

    void requestFailed() {
        spentBytes += FAILED_REQUEST_BYTES;
    }
}
