package tinroad.overload;

import java.util.LinkedHashMap;

/**
 * Assigns a Retry-After to each rejected client, so that clients return spread over time instead of
 * all at once. A client keeps its slot until the time of the slot has come. Slots are spread by the
 * golden ratio, whose next point always falls into one of the largest gaps.
 */
final class RetryAfterSchedule {
    private static final double GOLDEN_RATIO = 0.6180339887498949;

    /** Maximum number of clients with a slot; beyond it the oldest is evicted. */
    private static final int MAX_CALLERS = 4096;

    private final LinkedHashMap<Integer, Double> slotMillisByCaller = new LinkedHashMap<>();
    private double fraction;

    /**
     * Returns the time until this client's slot. A client without a slot in the future gets a new
     * one, up to half of {@code meanMillis} before or after that mean.
     */
    double retryAfterMillis(int caller, double nowMillis, double meanMillis, double maxMillis) {
        Double slotAtMillis = slotMillisByCaller.get(caller);
        if (slotAtMillis == null || slotAtMillis <= nowMillis) {
            fraction = (fraction + GOLDEN_RATIO) % 1;
            slotAtMillis = nowMillis + Math.min(maxMillis, meanMillis * (0.5 + fraction));
            slotMillisByCaller.remove(caller);
            slotMillisByCaller.put(caller, slotAtMillis);
            if (slotMillisByCaller.size() > MAX_CALLERS) {
                slotMillisByCaller.remove(slotMillisByCaller.keySet().iterator().next());
            }
        }
        return slotAtMillis - nowMillis;
    }
}
