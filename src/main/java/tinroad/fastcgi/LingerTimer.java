package tinroad.fastcgi;

/** Measures how long a connection stays open after its last response, so that it can be read. */
final class LingerTimer {
    private boolean lingering;
    private double sinceMillis;

    void start(double nowMillis) {
        lingering = true;
        sinceMillis = nowMillis;
    }

    boolean lingering() {
        return lingering;
    }

    /** Whether the connection may be closed; it may linger longer while responses are unsent. */
    boolean expired(double nowMillis, boolean allSent) {
        double lingeredMillis = lingering ? nowMillis - sinceMillis : 0;
        return lingeredMillis > FastCgiFrontend.LINGER_MILLIS
                && (allSent || lingeredMillis > FastCgiFrontend.MAX_LINGER_MILLIS);
    }
}
