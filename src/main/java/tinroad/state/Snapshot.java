package tinroad.state;

import java.util.Map;

/**
 * What one gateway knew at one moment.
 *
 * @param name the gateway's
 * @param life the number of its process, from 1 on: each start has a higher one than all before
 * @param generation counts the snapshots of a life
 * @param savedAt Unix ms
 * @param evacuated operators had it taken off the list
 * @param values what was learned, by key
 * @param ran ids that ran and are not due yet, with their due times in Unix ms: none may run again
 * @param epoch of the catalog of classes and tenants that was in force, 0 where none was told
 * @param number its version within the epoch
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
     * Ids that a snapshot holds at most; beyond it those due last are kept, as they stay dangerous
     * longest.
     */
    public static final int MAX_EXECUTED_IDS = 50_000;

    /** Values that a snapshot holds at most. */
    public static final int MAX_VALUES = 50_000;

    /** One that tells no catalog. */
    public Snapshot(
            String name,
            long life,
            long generation,
            double savedAt,
            boolean evacuated,
            Map<String, LearnedValue> values,
            Map<String, Double> ran) {
        this(name, life, generation, savedAt, evacuated, values, ran, 0, 0);
    }
}
