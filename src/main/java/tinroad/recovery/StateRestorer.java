package tinroad.recovery;

import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import tinroad.overload.Controller.Estimate;
import tinroad.state.DecayedValue;
import tinroad.state.LearnedValue;
import tinroad.state.Provenance;
import tinroad.state.Snapshot;
import tinroad.state.SnapshotSelector;

/**
 * Restores what a process uses of the last accepted snapshot, and creates the process's own
 * snapshots. Each restored value carries when it was learned and by which process. No value is used
 * beyond its maximum age, and none gets younger by being stored again. Times are in Unix ms.
 */
public final class StateRestorer implements RestoredState {
    private final String name;
    private final long incarnation;
    private final double maxAgeMillis;
    private final double halfLifeMillis;

    /** The accepted snapshot, or null if none was accepted. */
    private final Snapshot snapshot;

    private final SnapshotSelector.StartMode startMode;
    private final Provenance provenance;

    /** The learned values that were restored, by name. */
    private final Map<String, LearnedValue> restored = new HashMap<>();

    /** The number of snapshots that this process has created. */
    private long generation;

    /**
     * Creates a restorer for this decision.
     *
     * @param name the name of the gateway
     * @param decision which snapshot was accepted, and how the process starts
     * @param incarnation the number of this process
     * @param maxAgeMillis the age beyond which no value is used
     * @param halfLifeMillis the time in which half of a learned value decays
     */
    public StateRestorer(
            String name,
            SnapshotSelector.Decision decision,
            long incarnation,
            double maxAgeMillis,
            double halfLifeMillis) {
        this.name = name;
        this.incarnation = incarnation;
        this.maxAgeMillis = maxAgeMillis;
        this.halfLifeMillis = halfLifeMillis;
        snapshot = decision.snapshot().orElse(null);
        startMode = decision.startMode();
        provenance = new Provenance(incarnation);
    }

    @Override
    public boolean stateRejected() {
        return startMode == SnapshotSelector.StartMode.COLD;
    }

    @Override
    public Map<String, RestoredValue> restore(Map<String, Estimate> priors, double nowMillis) {
        Map<String, RestoredValue> values = new LinkedHashMap<>();
        if (snapshot == null) {
            return values;
        }
        priors.forEach(
                (valueName, prior) -> {
                    LearnedValue learned = snapshot.values().get(valueName);
                    DecayedValue decayed =
                            learned == null
                                    ? null
                                    : DecayedValue.of(
                                                    learned,
                                                    nowMillis,
                                                    prior.value(),
                                                    halfLifeMillis,
                                                    maxAgeMillis)
                                            .orElse(null);
                    if (decayed != null) {
                        restored.put(valueName, learned);
                        values.put(valueName, restoredValue(decayed));
                    }
                });
        return values;
    }

    private static RestoredValue restoredValue(DecayedValue decayed) {
        return new RestoredValue(
                new Estimate(decayed.value(), decayed.weight()),
                decayed.ageMillis(),
                decayed.incarnation());
    }

    @Override
    public void started(Map<String, Estimate> values) {
        provenance.start(values, restored);
    }

    @Override
    public Map<String, Double> executedIds() {
        return snapshot == null ? Map.of() : snapshot.executedIds();
    }

    @Override
    public boolean evacuated() {
        return snapshot != null && snapshot.evacuated();
    }

    @Override
    public long catalogEpoch() {
        return snapshot == null ? 0 : snapshot.catalogEpoch();
    }

    @Override
    public long catalogNumber() {
        return snapshot == null ? 0 : snapshot.catalogNumber();
    }

    @Override
    public long incarnation() {
        return incarnation;
    }

    @Override
    public String startMode() {
        // The admin endpoint reports these values.
        return switch (startMode) {
            case FIRST -> "first";
            case WARM -> "warm";
            case COLD -> "cold";
        };
    }

    /**
     * Returns the next snapshot of this process.
     *
     * @param nowMillis the current time
     * @param values the learned values as they are now
     * @param executedIds the ids of requests that were executed, with their deadlines
     * @param evacuated whether operators have evacuated the gateway
     * @param catalogEpoch the epoch of the catalog in force
     * @param catalogNumber the catalog's number within its epoch
     */
    public Snapshot toSnapshot(
            double nowMillis,
            Map<String, Estimate> values,
            Map<String, Double> executedIds,
            boolean evacuated,
            long catalogEpoch,
            long catalogNumber) {
        return new Snapshot(
                name,
                incarnation,
                ++generation,
                nowMillis,
                evacuated,
                provenance.valuesToSave(nowMillis, values),
                limitToLatest(executedIds),
                catalogEpoch,
                catalogNumber);
    }

    /** Limits the size of a snapshot: of too many ids, those with the latest deadlines stay. */
    private static Map<String, Double> limitToLatest(Map<String, Double> executedIds) {
        if (executedIds.size() <= Snapshot.MAX_EXECUTED_IDS) {
            return executedIds;
        }
        Map<String, Double> latest = new LinkedHashMap<>();
        executedIds.entrySet().stream()
                .sorted(Map.Entry.<String, Double>comparingByValue(Comparator.reverseOrder()))
                .limit(Snapshot.MAX_EXECUTED_IDS)
                .forEach(e -> latest.put(e.getKey(), e.getValue()));
        return latest;
    }
}
