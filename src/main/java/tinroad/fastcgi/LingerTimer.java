package tinroad.fastcgi;

/** The time for which a connection is kept after its last response, so that it can be read. */
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

    /** Whether the connection may be closed; later if its responses are not even sent. */
    boolean expired(double nowMillis, boolean allSent) {
        double lingeredMillis = lingering ? nowMillis - sinceMillis : 0;
        return lingeredMillis > FastCgiFrontend.LINGER_MILLIS
                && (allSent || lingeredMillis > FastCgiFrontend.MAX_LINGER_MILLIS);
    }
}
