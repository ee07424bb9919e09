package tinroad.fleet;

/**
 * A claim about one member, in the form in which it is disseminated.
 *
 * @param name of the member
 * @param address at which the member receives messages; not interpreted here
 * @param zone that the member claims to be in
 * @param incarnation of the member that the claim is about
 * @param status that is claimed
 * @param by name of the member that makes the claim; for a suspicion, the one whose probe failed
 */
public record MemberUpdate(
        String name,
        String address,
        String zone,
        MemberIncarnation incarnation,
        MemberStatus status,
        String by) {

    /**
     * Whether this update overrides {@code current}, which may be null. Updates form a join
     * semilattice: all members that received the same updates end with the same current update, in
     * whatever order and however often the updates arrived.
     */
    public boolean overrides(MemberUpdate current) {
        if (current == null) {
            return true;
        }
        if (!incarnation.sameMembership(current.incarnation)) {
            return incarnation.compareTo(current.incarnation) > 0;
        }
        // A terminal status can not be refuted, whatever the claim: only a new membership overrides
        // it.
        if (status.isTerminal() || current.status.isTerminal()) {
            return status.compareTo(current.status) > 0;
        }
        int order = incarnation.compareTo(current.incarnation);
        return order > 0 || (order == 0 && status.compareTo(current.status) > 0);
    }

    /**
     * Returns an update on the same member and incarnation with another status, claimed by {@code
     * claimant}.
     */
    MemberUpdate withStatus(MemberStatus claimedStatus, String claimant) {
        return new MemberUpdate(name, address, zone, incarnation, claimedStatus, claimant);
    }
}
