package tinroad.fleet;

/**
 * A word on a member, as it goes round.
 *
 * @param name of the member
 * @param address where it hears; opaque here
 * @param zone that it says it is in
 * @param version of the member's own that this is about
 * @param status what is claimed
 * @param by who claims it: for a suspicion, one that was not answered
 */
public record MemberUpdate(
        String name,
        String address,
        String zone,
        MemberIncarnation incarnation,
        MemberStatus status,
        String by) {

    /**
     * Whether this overrides {@code held}. A join of a lattice: whatever comes in whatever order
     * and however often, all who heard the same hold the same.
     */
    public boolean overrides(MemberUpdate held) {
        if (held == null) {
            return true;
        }
        if (!incarnation.sameMembership(held.incarnation)) {
            return incarnation.compareTo(held.incarnation) > 0;
        }
        // What is over stays over, whatever incarnation is claimed: only another stay comes back.
        if (status.isTerminal() || held.status.isTerminal()) {
            return status.compareTo(held.status) > 0;
        }
        int order = incarnation.compareTo(held.incarnation);
        return order > 0 || (order == 0 && status.compareTo(held.status) > 0);
    }

    MemberUpdate as(MemberStatus other, String claimant) {
        return new MemberUpdate(name, address, zone, incarnation, other, claimant);
    }
}
