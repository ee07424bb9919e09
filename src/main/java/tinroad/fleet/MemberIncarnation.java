package tinroad.fleet;

import java.util.Comparator;

/**
 * Which word on a member is the later one. Only the member itself raises any part of it.
 *
 * @param life number of its process, from its state; each start has a higher one
 * @param era raised where it finds itself declared dead while it lives: a dead life and era never
 *     come back
 * @param incarnation raised to refute a suspicion
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

    /** Whether both speak of one stay in the fleet. */
    public boolean sameMembership(MemberIncarnation other) {
        return process == other.process && restart == other.restart;
    }

    MemberIncarnation refuting(int heard) {
        return new MemberIncarnation(process, restart, Math.max(refutation, heard) + 1);
    }

    MemberIncarnation rising(int heard) {
        return new MemberIncarnation(process, Math.max(restart, heard) + 1, 0);
    }
}
