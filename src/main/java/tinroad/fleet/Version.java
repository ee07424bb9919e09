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
public record Version(long life, int era, int incarnation) implements Comparable<Version> {
    private static final Comparator<Version> ORDER =
            Comparator.comparingLong(Version::life)
                    .thenComparingInt(Version::era)
                    .thenComparingInt(Version::incarnation);

    @Override
    public int compareTo(Version other) {
        return ORDER.compare(this, other);
    }

    /** Whether both speak of one stay in the fleet. */
    public boolean sameStay(Version other) {
        return life == other.life && era == other.era;
    }

    Version refuting(int heard) {
        return new Version(life, era, Math.max(incarnation, heard) + 1);
    }

    Version rising(int heard) {
        return new Version(life, Math.max(era, heard) + 1, 0);
    }
}
