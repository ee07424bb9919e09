package tinroad.state;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import tinroad.overload.Controller.Estimate;

/**
 * Tracks when, and by which incarnation, each value was learned that this incarnation saves. It
 * prevents old values from looking fresh because they were saved again: an unchanged value keeps
 * its time and its incarnation, and the time of a value that was mixed with new samples moves
 * toward now only by the share of its samples that are new. Times are in Unix ms. Not thread-safe.
 */
public final class Provenance {
    private final long incarnation;

    /** The estimates with which this incarnation started, restored or assumed. */
    private final Map<String, Estimate> initialEstimates = new HashMap<>();

    private final Map<String, LearnedValue> restoredValues = new HashMap<>();
    private final Map<String, LearnedValue> lastSaved = new HashMap<>();

    /** Creates the provenance of the values that this incarnation saves. */
    public Provenance(long incarnation) {
        this.incarnation = incarnation;
    }

    /**
     * Sets the {@code estimates} with which the incarnation starts. Those named in {@code restored}
     * come from a snapshot, the others are assumed.
     */
    public void start(Map<String, Estimate> estimates, Map<String, LearnedValue> restored) {
        initialEstimates.putAll(estimates);
        restoredValues.putAll(restored);
    }

    /**
     * Returns the values to save at {@code nowMillis}, given the {@code estimates} at that time.
     * Values that were only ever assumed are left out.
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
            // Saves the value as it was read: saving the decayed one would let it decay twice.
            return Optional.ofNullable(restored);
        }
        LearnedValue last = lastSaved.get(name);
        if (last != null
                && last.incarnation() == incarnation
                && last.value() == estimate.value()
                && last.weight() == estimate.sampleCount()) {
            return Optional.of(last);
        }
        double newSamples =
                initial == null
                        ? estimate.sampleCount()
                        : estimate.sampleCount() - initial.sampleCount();
        // If no samples are counted, it is only known that the value changed: it counts as new.
        double newShare =
                restored == null || newSamples <= 0
                        ? 1
                        : newSamples / (newSamples + initial.sampleCount());
        double learnedAtMillis =
                restored == null
                        ? nowMillis
                        : restored.learnedAtMillis()
                                + (nowMillis - restored.learnedAtMillis()) * newShare;
        return Optional.of(
                new LearnedValue(
                        estimate.value(), estimate.sampleCount(), learnedAtMillis, incarnation));
    }
}
