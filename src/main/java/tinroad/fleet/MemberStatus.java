package tinroad.fleet;

/**
 * The status of a member. Of updates with one incarnation the one whose status is declared later
 * here overrides the other. Operators see the names in lower case.
 */
public enum MemberStatus {
    /** Not suspected, by the update that overrides all others received. */
    ALIVE,
    /** A probe by this or another member failed; it may still refute the suspicion. */
    SUSPECT,
    /** It did not refute the suspicion in time. */
    DEAD,
    /** It left of its own accord. */
    LEFT;

    /** Whether this membership is over for good. */
    public boolean isTerminal() {
        return this == DEAD || this == LEFT;
    }
}
