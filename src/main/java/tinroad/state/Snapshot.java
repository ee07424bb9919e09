package tinroad.state;

import java.util.Map;

/**
 * The state of one gateway at one moment.
 *
 * @param name of the gateway
 * @param incarnation number of the gateway's process, at least 1; each start has a higher one than
 *     all starts before it
 * @param generation counts the snapshots of an incarnation
 * @param savedAtMillis Unix time
 * @param evacuated whether operators had taken the gateway out of service
 * @param values learned values by key
 * @param executedIds ids of requests that ran and whose deadline has not passed, with their
 *     deadlines in Unix ms; none of them may run again
 * @param catalogEpoch epoch of the catalog of classes and tenants that was in force; 0 if none was
 *     published
 * @param catalogNumber version of that catalog within the epoch
 */
public record Snapshot(
        String name,
        long incarnation,
        long generation,
        double savedAtMillis,
        boolean evacuated,
        Map<String, LearnedValue> values,
        Map<String, Double> executedIds,
        long catalogEpoch,
        long catalogNumber) {
    /**
     * Maximum number of ids in a snapshot. Beyond it those with the latest deadlines are stored, as
     * these are the ones that could run twice for the longest time.
     */
    public static final int MAX_EXECUTED_IDS = 50_000;

    /** Maximum number of learned values in a snapshot. */
    public static final int MAX_VALUES = 50_000;

    /** Creates a snapshot without a published catalog. */
    public Snapshot(
            String name,
            long incarnation,
            long generation,
            double savedAtMillis,
            boolean evacuated,
            Map<String, LearnedValue> values,
            Map<String, Double> executedIds) {
        this(name, incarnation, generation, savedAtMillis, evacuated, values, executedIds, 0, 0);
    }
}
