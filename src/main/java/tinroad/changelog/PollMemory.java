package tinroad.changelog;

import java.util.Optional;

/**
 * What earlier polls have seen, so that a poll where nothing changed neither lists the folder nor
 * tries a rejected change again. Guards against file systems whose times are coarse: now and again
 * both happen all the same.
 */
final class PollMemory {
    /**
     * Polls after which the folder is listed, and a rejected change is tried again, in any case.
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

    /** Whether the folder has to be listed; if so, this listing is remembered. */
    boolean shouldList(Optional<FileStamp> folder, LogPosition applied) {
        Listing listing = new Listing(folder, applied);
        boolean same = listing.equals(lastListing);
        if (same && listedTwice && !isRecheck()) {
            return false;
        }
        // Once more after each change: what comes within one tick of the folder's time leaves no
        // trace in it.
        listedTwice = same;
        lastListing = listing;
        return true;
    }

    /**
     * Whether a change has to be tried on the content with this hash; if so, the attempt is
     * remembered.
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
