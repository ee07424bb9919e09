package tinroad.fleet;

import java.util.Comparator;

/**
 * Orders the updates on one member. SWIM's incarnation number is {@code refutation}; the other two
 * parts tell one membership from a later one of the same name. Only the member itself raises any
 * part.
 *
 * @param process number of its process, from its stored state; each start has a higher one
 * @param restart raised where the member finds itself declared dead while it is alive: a process
 *     and restart that were declared dead never come back
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

    /** Whether both are of the same membership: process and restart are equal. */
    public boolean sameMembership(MemberIncarnation other) {
        return process == other.process && restart == other.restart;
    }

    /** The incarnation that refutes a suspicion of this membership. */
    MemberIncarnation refuting(int suspectedRefutation) {
        return new MemberIncarnation(
                process, restart, Math.max(refutation, suspectedRefutation) + 1);
    }

    /** The first incarnation of the membership after {@code claimedRestart}. */
    MemberIncarnation rejoining(int claimedRestart) {
        return new MemberIncarnation(process, Math.max(restart, claimedRestart) + 1, 0);
    }
}
