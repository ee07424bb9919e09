package tinroad.fleet;

/**
 * The parameters of the membership protocol; times in ms.
 *
 * @param probePeriodMillis between two probes
 * @param probeTimeoutMillis for the ack of a direct ping; the rest of the period is left to the
 *     indirect probes
 * @param indirectProbes members asked for an indirect probe
 * @param minSuspicionMillis time to refute once {@code confirmations} others suspect the member,
 *     too
 * @param maxSuspicionMillis time to refute while nobody else suspects it
 * @param confirmations suspicions by others after which the minimum holds
 * @param maxHealthPenalty bound of the local health penalty: period and timeouts of probes are
 *     multiplied by 1 to this plus 1; 0 turns off local health and nacks
 * @param gossipFanout members that new updates are sent to at once
 * @param gossipPauseMillis between two such rounds; bounds what incoming updates can make a member
 *     send
 * @param retransmitMultiplier an update is sent this often, times the binary logarithm of the
 *     fleet's size
 * @param maxPiggybackedUpdates in one message
 * @param syncPeriodMillis between two anti-entropy syncs
 * @param partitionShare share of the members that, suspected at once, is taken for a partition
 * @param partitionMinMembers suspects without which no partition is assumed, whatever their share
 * @param partitionWaitMillis while a partition is assumed, no suspect is declared dead this long
 * @param terminalRetentionMillis how long a terminal member is remembered
 * @param maxMembers other members known at most
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
     * Probes four times a second; a member may be paused for two seconds and is not declared dead.
     */
    public static final MembershipConfig DEFAULT =
            new MembershipConfig(
                    250, 90, 4, 2300, 5000, 2, 3, 3, 100, 2, 18, 1000, 0.2, 3, 60_000, 60_000,
                    2000);

    /** Plain SWIM: a fixed suspicion timeout, no local health, no nacks. */
    public static final MembershipConfig SWIM_2002 =
            new MembershipConfig(
                    250, 90, 4, 2300, 2300, 2, 0, 3, 100, 2, 18, 1000, 2, 3, 0, 60_000, 2000);
}
