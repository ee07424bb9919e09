package tinroad.fleet;

/**
 * The status of a member. Of two updates with the same incarnation, the one whose status is
 * declared later here overrides the other. Operators see the names in lower case.
 */
public enum MemberStatus {
    /** The member is not suspected, according to the current update. */
    ALIVE,
    /** A probe by this or another member failed. The member may still refute the suspicion. */
    SUSPECT,
    /** The member did not refute the suspicion in time. */
    DEAD,
    /** The member left the fleet itself. */
    LEFT;

    /** Whether this membership is over for good. */
    public boolean isTerminal() {
        return this == DEAD || this == LEFT;
    }
}
