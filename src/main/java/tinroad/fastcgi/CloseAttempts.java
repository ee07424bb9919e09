package tinroad.fastcgi;

/** Counts the attempts to close a connection of a draining gateway whose input goes on. */
final class CloseAttempts {
    /** Upper bound of the attempts between which the client completes no valid request. */
    private static final int MAX_ATTEMPTS = 3;

    private int attempts;
    private int completedRequests;

    /**
     * Counts one attempt; returns whether the connection is to be rejected.
     *
     * @param nowCompletedRequests number of valid requests that were completed so far
     */
    boolean isLast(int nowCompletedRequests) {
        attempts = nowCompletedRequests == completedRequests ? attempts + 1 : 1;
        completedRequests = nowCompletedRequests;
        return attempts >= MAX_ATTEMPTS;
    }
}
