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
public record Incarnation(long life, int era, int incarnation) implements Comparable<Incarnation> {
    private static final Comparator<Incarnation> ORDER =
            Comparator.comparingLong(Incarnation::life)
                    .thenComparingInt(Incarnation::era)
                    .thenComparingInt(Incarnation::incarnation);

    @Override
    public int compareTo(Incarnation other) {
        return ORDER.compare(this, other);
    }

    /** Whether both speak of one stay in the fleet. */
    public boolean sameStay(Incarnation other) {
        return life == other.life && era == other.era;
    }

    Incarnation refuting(int heard) {
        return new Incarnation(life, era, Math.max(incarnation, heard) + 1);
    }

    Incarnation rising(int heard) {
        return new Incarnation(life, Math.max(era, heard) + 1, 0);
    }
}
