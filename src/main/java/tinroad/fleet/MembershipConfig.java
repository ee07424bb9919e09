package tinroad.fleet;

/**
 * How a membership probes and suspects; times in ms.
 *
 * @param period between two probes
 * @param timeout for the answer to a direct probe; the rest of the period is for the indirect ones
 * @param indirect members asked to probe for one that did not answer
 * @param suspicionLeast so long a suspected member has at least to speak for itself
 * @param suspicionMost so long while nobody else has suspected it
 * @param confirmations others' suspicions after which the least time holds
 * @param health how far the own health may fall: times are multiplied by 1 to this plus 1
 * @param spread members that news go to at once
 * @param pause between two such spreads, so that what comes in can't make this member send without
 *     bound
 * @param repeats claims are sent on this often, times the logarithm of the fleet's size
 * @param riding claims in one message at most
 * @param sync between two exchanges of all that is held
 * @param cutPart share of the members whose common silence is a cut, and no death of each
 * @param cutLeast members that have to be silent together for it
 * @param cutKept how long members that are cut off are waited for
 * @param kept how long what is over is remembered
 * @param most members that are known at most
 */
public record MembershipConfig(
        double probePeriodMillis,
        double probeTimeoutMillis,
        int indirectProbes,
        double minSuspicionMillis,
        double maxSuspicionMillis,
        int confirmations,
        int maxHealthPenalty,
        int gossipFanout,
        double gossipPauseMillis,
        int retransmitMultiplier,
        int maxPiggybackedUpdates,
        double syncPeriodMillis,
        double partitionShare,
        int partitionMinMembers,
        double partitionWaitMillis,
        double terminalRetentionMillis,
        int maxMembers) {
    /**
     * Probes four times a second; a member may stand still for two seconds and is not taken for
     * dead.
     */
    public static final MembershipConfig DEFAULT =
            new MembershipConfig(
                    250, 90, 4, 2300, 5000, 2, 3, 3, 100, 2, 18, 1000, 0.2, 3, 60_000, 60_000,
                    2000);

    /** SWIM as of 2002: fixed suspicion, no own health, no negative answers. */
    public static final MembershipConfig SWIM_2002 =
            new MembershipConfig(
                    250, 90, 4, 2300, 2300, 2, 0, 3, 100, 2, 18, 1000, 2, 3, 0, 60_000, 2000);
}
