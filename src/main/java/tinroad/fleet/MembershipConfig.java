package tinroad.fleet;

/**
 * The parameters of the membership protocol. Times are in ms.
 *
 * @param probePeriodMillis time between two probes
 * @param probeTimeoutMillis timeout for the ack of a direct ping; the rest of the period is left
 *     for the indirect probes
 * @param indirectProbes members that are requested to probe indirectly
 * @param minSuspicionMillis time to refute a suspicion that {@code confirmations} other members
 *     share
 * @param maxSuspicionMillis time to refute a suspicion that no other member shares
 * @param confirmations suspicions by other members after which the minimum applies
 * @param maxHealthPenalty maximum of the local health penalty: the period and the timeouts of
 *     probes are multiplied by 1 plus the penalty; 0 disables local health and nacks
 * @param gossipFanout members that new updates are sent to at once
 * @param gossipPauseMillis minimum time between two such rounds; bounds what incoming updates can
 *     make a member send
 * @param retransmitMultiplier an update is sent this many times the binary logarithm of the fleet's
 *     size
 * @param maxPiggybackedUpdates maximum number of piggybacked updates in one message
 * @param syncPeriodMillis time between two anti-entropy syncs
 * @param partitionShare share of the members that have to be suspected at once for a partition to
 *     be assumed
 * @param partitionMinMembers minimum number of suspects for a partition to be assumed, whatever
 *     their share
 * @param partitionWaitMillis how long a suspect is not declared dead while a partition is assumed
 * @param terminalRetentionMillis how long a terminal member stays in the member table
 * @param maxMembers maximum number of other members in the member table
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
     * Probes four times per second. A member may be paused for two seconds without being declared
     * dead.
     */
    public static final MembershipConfig DEFAULT =
            new MembershipConfig(
                    250, 90, 4, 2300, 5000, 2, 3, 3, 100, 2, 18, 1000, 0.2, 3, 60_000, 60_000,
                    2000);

    /** Plain SWIM: a fixed suspicion timeout, no local health and no nacks. */
    public static final MembershipConfig SWIM_2002 =
            new MembershipConfig(
                    250, 90, 4, 2300, 2300, 2, 0, 3, 100, 2, 18, 1000, 2, 3, 0, 60_000, 2000);
}
