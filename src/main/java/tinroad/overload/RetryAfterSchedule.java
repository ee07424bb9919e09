package tinroad.overload;

import java.util.LinkedHashMap;

/**
 * Retry-After for each rejected client, so that clients come back as a flow and not as a wave: each
 * keeps its slot until it has come, and slots are spread by the golden ratio, whose next point
 * falls into a largest gap.
 */
final class RetryAfterSchedule {
    private static final double GOLDEN_RATIO = 0.6180339887498949;

    /** Clients with a slot; beyond it the oldest is evicted. */
    private static final int MAX_CALLERS = 4096;

    private final LinkedHashMap<Integer, Double> slotMillisByCaller = new LinkedHashMap<>();
    private double fraction;

    /**
     * Time until this client's slot, or until a new one, which is up to half of {@code meanMillis}
     * nearer or further.
     */
    double retryAfterMillis(int caller, double nowMillis, double meanMillis, double maxMillis) {
        Double slotMillis = slotMillisByCaller.get(caller);
        if (slotMillis == null || slotMillis <= nowMillis) {
            fraction = (fraction + GOLDEN_RATIO) % 1;
            slotMillis = nowMillis + Math.min(maxMillis, meanMillis * (0.5 + fraction));
            slotMillisByCaller.remove(caller);
            slotMillisByCaller.put(caller, slotMillis);
            if (slotMillisByCaller.size() > MAX_CALLERS) {
                slotMillisByCaller.remove(slotMillisByCaller.keySet().iterator().next());
            }
        }
        return slotMillis - nowMillis;
    }
}
