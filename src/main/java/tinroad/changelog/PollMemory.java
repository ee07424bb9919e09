package tinroad.changelog;

import java.util.Optional;

/**
 * Remembers what earlier polls have seen, so that a poll without changes neither lists the folder
 * nor tries a rejected change again. As some file systems have timestamps of a coarse resolution,
 * which can hide a change, both are done occasionally in any case.
 */
final class PollMemory {
    /**
     * Number of polls after which the folder is listed, and a rejected change is tried again, in
     * any case.
     */
    static final int POLLS_BETWEEN_RECHECKS = 64;

    private record Listing(Optional<FileStamp> folder, LogPosition applied) {}

    private record Attempt(LogPosition position, Optional<FileStamp> file, String contentHash) {}

    private Listing lastListing;
    private boolean listedTwice;
    private Attempt lastAttempt;
    private int polls;

    void pollStarted() {
        polls++;
    }

    /** Returns whether the folder has to be listed. If so, the listing is recorded. */
    boolean shouldList(Optional<FileStamp> folder, LogPosition applied) {
        Listing listing = new Listing(folder, applied);
        boolean same = listing.equals(lastListing);
        if (same && listedTwice && !isRecheck()) {
            return false;
        }
        // Lists the folder once more after each change: a second change within the resolution of
        // the timestamp of the folder leaves no trace in it.
        listedTwice = same;
        lastListing = listing;
        return true;
    }

    /**
     * Returns whether a change has to be tried on the content with this hash. If so, the attempt is
     * recorded.
     */
    boolean shouldAttempt(LogPosition position, Optional<FileStamp> file, String contentHash) {
        Attempt attempt = new Attempt(position, file, contentHash);
        if (attempt.equals(lastAttempt) && !isRecheck()) {
            return false;
        }
        lastAttempt = attempt;
        return true;
    }

    void forgetAttempt() {
        lastAttempt = null;
    }

    private boolean isRecheck() {
        return polls % POLLS_BETWEEN_RECHECKS == 0;
    }
}
