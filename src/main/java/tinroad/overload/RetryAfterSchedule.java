package tinroad.overload;

import java.util.LinkedHashMap;

/**
 * Who was told to come back when, so that callers turned away come back as a flow and not as a
 * wave: each keeps its slot until it has come, and slots are spread by the golden ratio, whose next
 * point falls into a largest gap. Times in ms.
 */
final class RetryAfterSchedule {
    private static final double GOLDEN = 0.6180339887498949;

    /** Callers with a slot at most; beyond it the oldest is forgotten. */
    private static final int MOST = 4096;

    private final LinkedHashMap<Integer, Double> slots = new LinkedHashMap<>();
    private double fraction;

    /**
     * How long this caller is to stay away: until its slot, or a new one half of {@code mean}
     * nearer or further.
     */
    double tell(int caller, double nowMillis, double mean, double most) {
        Double slot = slots.get(caller);
        if (slot == null || slot <= nowMillis) {
            fraction = (fraction + GOLDEN) % 1;
            slot = nowMillis + Math.min(most, mean * (0.5 + fraction));
            slots.remove(caller);
            slots.put(caller, slot);
            if (slots.size() > MOST) {
                slots.remove(slots.keySet().iterator().next());
            }
        }
        return slot - nowMillis;
    }
}
