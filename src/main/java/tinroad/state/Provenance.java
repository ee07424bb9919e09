package tinroad.state;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import tinroad.overload.Controller.Estimate;

/**
 * When, and by which incarnation, each value was learned that an incarnation saves. Guards against
 * old knowledge that looks fresh because it was saved again: a value that has not changed keeps its
 * time and its incarnation, and one that was mixed with new samples moves toward now only by the
 * share of its samples that are new. Times in Unix ms. Not thread-safe.
 */
public final class Provenance {
    private final long incarnation;

    /** The estimates with which this incarnation started, restored or assumed. */
    private final Map<String, Estimate> initialEstimates = new HashMap<>();

    private final Map<String, LearnedValue> restoredValues = new HashMap<>();
    private final Map<String, LearnedValue> lastSaved = new HashMap<>();

    /** The provenance of what this incarnation saves. */
    public Provenance(long incarnation) {
        this.incarnation = incarnation;
    }

    /**
     * The incarnation starts with {@code estimates}; those named in {@code restored} come from a
     * snapshot, the others are assumed.
     */
    public void start(Map<String, Estimate> estimates, Map<String, LearnedValue> restored) {
        initialEstimates.putAll(estimates);
        restoredValues.putAll(restored);
    }

    /**
     * What to save at {@code nowMillis}, for {@code estimates} as they are then; what was only ever
     * assumed is left out.
     */
    public Map<String, LearnedValue> valuesToSave(
            double nowMillis, Map<String, Estimate> estimates) {
        Map<String, LearnedValue> values = new LinkedHashMap<>();
        estimates.forEach(
                (name, estimate) ->
                        learnedValue(nowMillis, name, estimate)
                                .ifPresent(
                                        value -> {
                                            values.put(name, value);
                                            lastSaved.put(name, value);
                                        }));
        return values;
    }

    private Optional<LearnedValue> learnedValue(double nowMillis, String name, Estimate estimate) {
        Estimate initial = initialEstimates.get(name);
        LearnedValue restored = restoredValues.get(name);
        if (estimate.equals(initial)) {
            // As it was read: decayed once more, it would be decayed twice.
            return Optional.ofNullable(restored);
        }
        LearnedValue last = lastSaved.get(name);
        if (last != null
                && last.incarnation() == incarnation
                && last.value() == estimate.value()
                && last.weight() == estimate.weight()) {
            return Optional.of(last);
        }
        double newSamples =
                initial == null ? estimate.weight() : estimate.weight() - initial.weight();
        // Of a value without counted samples it is only known that it changed.
        double newShare =
                restored == null || newSamples <= 0
                        ? 1
                        : newSamples / (newSamples + initial.weight());
        double learnedAtMillis =
                restored == null
                        ? nowMillis
                        : restored.learnedAtMillis()
                                + (nowMillis - restored.learnedAtMillis()) * newShare;
        return Optional.of(
                new LearnedValue(
                        estimate.value(), estimate.weight(), learnedAtMillis, incarnation));
    }
}
