package tinroad.fleet;

/** What is held of a member. Of one version a later one of these overrides an earlier one. */
public enum MemberStatus {
    /** It answers, or was heard of by one whom it answered. */
    ALIVE,
    /** It did not answer; it may still speak for itself. */
    SUSPECT,
    /** It did not speak for itself in time. */
    DEAD,
    /** It said that it leaves. */
    LEFT;

    /** Whether this stay in the fleet is over, whatever comes. */
    public boolean isTerminal() {
        return this == DEAD || this == LEFT;
    }
}
