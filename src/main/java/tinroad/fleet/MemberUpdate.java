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
        Incarnation version,
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
        if (!version.sameStay(held.version)) {
            return version.compareTo(held.version) > 0;
        }
        // What is over stays over, whatever incarnation is claimed: only another stay comes back.
        if (status.over() || held.status.over()) {
            return status.compareTo(held.status) > 0;
        }
        int order = version.compareTo(held.version);
        return order > 0 || (order == 0 && status.compareTo(held.status) > 0);
    }

    MemberUpdate as(MemberStatus other, String claimant) {
        return new MemberUpdate(name, address, zone, version, other, claimant);
    }
}
