package tinroad.fleet;

import java.util.Comparator;

/**
 * Orders the updates on one member. {@code refutation} is the incarnation number of SWIM; the other
 * two components tell one membership from a later one of the same name. Only the member itself
 * raises any of them.
 *
 * @param process number of the member's process, from its stored state; each start has a higher one
 * @param restart raised when the member finds that it was declared dead while it is alive: a
 *     process and restart that were declared dead are never used again
 * @param refutation raised to refute a suspicion
 */
public record MemberIncarnation(long process, int restart, int refutation)
        implements Comparable<MemberIncarnation> {
    private static final Comparator<MemberIncarnation> ORDER =
            Comparator.comparingLong(MemberIncarnation::process)
                    .thenComparingInt(MemberIncarnation::restart)
                    .thenComparingInt(MemberIncarnation::refutation);

    @Override
    public int compareTo(MemberIncarnation other) {
        return ORDER.compare(this, other);
    }

    /** Whether both belong to the same membership, that is, have the same process and restart. */
    public boolean sameMembership(MemberIncarnation other) {
        return process == other.process && restart == other.restart;
    }

    /** Returns the incarnation that refutes a suspicion of this membership. */
    MemberIncarnation refuting(int suspectedRefutation) {
        return new MemberIncarnation(
                process, restart, Math.max(refutation, suspectedRefutation) + 1);
    }

    /** Returns the first incarnation of the membership that follows {@code claimedRestart}. */
    MemberIncarnation rejoining(int claimedRestart) {
        return new MemberIncarnation(process, Math.max(restart, claimedRestart) + 1, 0);
    }
}
