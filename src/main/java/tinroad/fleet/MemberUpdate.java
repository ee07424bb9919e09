package tinroad.fleet;

/**
 * A claim about one member, as it is disseminated.
 *
 * @param name of the member
 * @param address where it receives messages; opaque here
 * @param zone that it claims to be in
 * @param incarnation of the member that the claim is about
 * @param status claimed
 * @param by name of the member that makes the claim: for a suspicion, the one whose probe failed
 */
public record MemberUpdate(
        String name,
        String address,
        String zone,
        MemberIncarnation incarnation,
        MemberStatus status,
        String by) {

    /**
     * Whether this overrides {@code current}, which may be null. A join of a lattice: all who
     * received the same updates end with the same one, in whatever order and however often they
     * came.
     */
    public boolean overrides(MemberUpdate current) {
        if (current == null) {
            return true;
        }
        if (!incarnation.sameMembership(current.incarnation)) {
            return incarnation.compareTo(current.incarnation) > 0;
        }
        // A terminal status is not refuted, whatever is claimed: only a new membership follows it.
        if (status.isTerminal() || current.status.isTerminal()) {
            return status.compareTo(current.status) > 0;
        }
        int order = incarnation.compareTo(current.incarnation);
        return order > 0 || (order == 0 && status.compareTo(current.status) > 0);
    }

    /** The same member and incarnation with another status, claimed by {@code claimant}. */
    MemberUpdate as(MemberStatus claimedStatus, String claimant) {
        return new MemberUpdate(name, address, zone, incarnation, claimedStatus, claimant);
    }
}
