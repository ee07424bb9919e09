package tinroad.fastcgi;

/** Records what a connection was used for so far, and when. Times are in Unix ms. */
final class ConnectionUse {
    private double openedAtMillis;
    private double lastUsedMillis;
    private boolean carriesHealthChecks;
    private boolean carriesRequests;
    private int completedRequests;

    void opened(double nowMillis) {
        openedAtMillis = nowMillis;
        lastUsedMillis = nowMillis;
    }

    void used(double nowMillis) {
        lastUsedMillis = nowMillis;
    }

    void carriedHealthCheck() {
        carriesHealthChecks = true;
        completedRequests++;
    }

    void carriedRequest() {
        carriesRequests = true;
        completedRequests++;
    }

    /** Number of complete requests and health checks so far. */
    int completedRequests() {
        return completedRequests;
    }

    boolean carriesRequests() {
        return carriesRequests;
    }

    boolean carriesHealthChecksOnly() {
        return carriesHealthChecks && !carriesRequests;
    }

    /** Whether the connection was opened before this time and has carried nothing. */
    boolean silentSince(double beforeMillis) {
        return !carriesRequests && !carriesHealthChecks && openedAtMillis < beforeMillis;
    }

    double lastUsedMillis() {
        return lastUsedMillis;
    }

    /**
     * The time of the last use if the connection has carried a request or health check, otherwise
     * the time when it was opened.
     */
    double lastUsefulMillis() {
        return carriesRequests || carriesHealthChecks ? lastUsedMillis : openedAtMillis;
    }
}
