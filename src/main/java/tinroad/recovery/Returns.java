package tinroad.recovery;

import java.util.LinkedHashMap;

/**
 * Who was told to come back when. Advice to stay away is a promise of a time, so each caller gets one slot and is told the
 * same slot again until it has come: what many refusals of one caller would add up to is no wave. Slots follow each other at
 * the pace at which room becomes free; where that is further off than advice counts, they are spread evenly over the last
 * part of it, since all told the same would come back in one moment. Bounded: beyond the most callers the oldest is forgotten.
 * Times in ms. Owned by one thread.
 */
public final class Returns {
    /** The golden ratio's fraction: the next point always falls into a largest gap, whatever their number. */
    private static final double GOLDEN = 0.6180339887498949;
    /** Callers with a slot at most. */
    private static final int MOST = 4096;

    private final double most;
    private final double spreadFrom;
    private final LinkedHashMap<Integer, Double> slots = new LinkedHashMap<>();
    private double lastSlot;
    private double fraction;

    /**
     * Slots up to {@code most} away.
     *
     * @param most ms, the longest advice that counts
     * @param spreadFrom share of it from which slots are spread where no room can be foreseen
     */
    public Returns(double most, double spreadFrom) {
        this.most = most;
        this.spreadFrom = spreadFrom;
    }

    /**
     * How long this caller is to stay away.
     *
     * @param least ms until any room can be free
     * @param gap ms between two callers that the room which becomes free has place for; infinite where none can be foreseen
     */
    public double tell(int caller, double now, double least, double gap) {
        Double slot = slots.get(caller);
        if (slot != null && slot > now) {
            return slot - now;
        }
        double next = Math.max(now + least, lastSlot + gap);
        if (next <= now + most) {
            lastSlot = next;
        } else {
            fraction = (fraction + GOLDEN) % 1;
            next = now + most * (spreadFrom + (1 - spreadFrom) * fraction);
        }
        slots.remove(caller);
        slots.put(caller, next);
        if (slots.size() > MOST) {
            slots.remove(slots.keySet().iterator().next());
        }
        return next - now;
    }

    /** How many callers are to come back later than now. */
    public int away(double now) {
        return (int) slots.values().stream().filter(slot -> slot > now).count();
    }
}
