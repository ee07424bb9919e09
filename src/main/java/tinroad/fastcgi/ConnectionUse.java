package tinroad.fastcgi;

/** What a connection was used for so far, and when. Times in Unix ms. */
final class ConnectionUse {
    private double openedAtMillis;
    private double lastUsedMillis;
    private boolean carriesHealthChecks;
    private boolean carriesRequests;

    void opened(double nowMillis) {
        openedAtMillis = nowMillis;
        lastUsedMillis = nowMillis;
    }

    void used(double nowMillis) {
        lastUsedMillis = nowMillis;
    }

    void carriedHealthCheck() {
        carriesHealthChecks = true;
    }

    void carriedRequest() {
        carriesRequests = true;
    }

    boolean carriesRequests() {
        return carriesRequests;
    }

    boolean carriesHealthChecksOnly() {
        return carriesHealthChecks && !carriesRequests;
    }

    /** Whether it was opened before then and has carried nothing. */
    boolean silentSince(double beforeMillis) {
        return !carriesRequests && !carriesHealthChecks && openedAtMillis < beforeMillis;
    }

    double lastUsedMillis() {
        return lastUsedMillis;
    }

    /** The last use, or the time of opening if it has carried nothing. */
    double lastUsefulMillis() {
        return carriesRequests || carriesHealthChecks ? lastUsedMillis : openedAtMillis;
    }
}
