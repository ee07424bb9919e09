package tinroad.state;

import java.util.Map;

/**
 * The state of one gateway at one moment.
 *
 * @param name of the gateway
 * @param incarnation number of its process, from 1 on: each start has a higher one than all before
 * @param generation counts the snapshots of an incarnation
 * @param savedAtMillis Unix time
 * @param evacuated whether operators had taken it out of service
 * @param values learned values by key
 * @param executedIds ids of requests that ran and whose deadline has not passed, with their
 *     deadlines in Unix ms: none may run again
 * @param catalogEpoch of the catalog of classes and tenants that was in force; 0 where none was
 *     published
 * @param catalogNumber its version within the epoch
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
     * Ids that a snapshot holds at most; beyond it those with the latest deadlines are kept, as
     * they could run twice for longest.
     */
    public static final int MAX_EXECUTED_IDS = 50_000;

    /** Values that a snapshot holds at most. */
    public static final int MAX_VALUES = 50_000;

    /** A snapshot without a published catalog. */
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
