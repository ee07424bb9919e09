package tinroad.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import tinroad.overload.Controller.Estimate;

/** Checks that old values never look fresh because they were saved again. */
class ProvenanceTest {
    private static final double NOW_MILLIS = 1.8e12;

    @Test
    void doesNotSaveAssumedValues() {
        Provenance provenance = new Provenance(1);
        provenance.start(Map.of("run.a", new Estimate(375, 2)), Map.of());
        assertEquals(
                Map.of(),
                provenance.valuesToSave(NOW_MILLIS, Map.of("run.a", new Estimate(375, 2))));
        assertEquals(
                Map.of("run.a", new LearnedValue(30, 12, NOW_MILLIS, 1)),
                provenance.valuesToSave(NOW_MILLIS, Map.of("run.a", new Estimate(30, 12))));
    }

    @Test
    void savesUnchangedRestoredValuesAsTheyWere() {
        LearnedValue restored = new LearnedValue(24, 900, NOW_MILLIS - 60_000, 4);
        Provenance provenance = new Provenance(5);
        provenance.start(Map.of("run.a", new Estimate(29, 4)), Map.of("run.a", restored));
        assertEquals(
                Map.of("run.a", restored),
                provenance.valuesToSave(NOW_MILLIS + 5000, Map.of("run.a", new Estimate(29, 4))));
    }

    @Test
    void agesMixedValuesByTheShareOfNewSamples() {
        Provenance provenance = new Provenance(5);
        provenance.start(
                Map.of("run.a", new Estimate(29, 4)),
                Map.of("run.a", new LearnedValue(24, 900, NOW_MILLIS - 60_000, 4)));
        assertEquals(
                new LearnedValue(31, 8, NOW_MILLIS - 30_000, 5),
                provenance
                        .valuesToSave(NOW_MILLIS, Map.of("run.a", new Estimate(31, 8)))
                        .get("run.a"));
        // Saved again later without new samples, the value has the same time as before.
        assertEquals(
                new LearnedValue(31, 8, NOW_MILLIS - 30_000, 5),
                provenance
                        .valuesToSave(NOW_MILLIS + 9000, Map.of("run.a", new Estimate(31, 8)))
                        .get("run.a"));
    }

    /**
     * Incarnations restore the value, learn a little or nothing, and save it. No value is used
     * beyond its maximum age, counted from the last real sample.
     */
    @Property(tries = 200, seed = "31")
    void usesNoValueBeyondItsMaximumAgeOverManyIncarnations(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        double maxAgeMillis = 600_000;
        double nowMillis = NOW_MILLIS;
        double lastSampleMillis = Double.NEGATIVE_INFINITY;
        Map<String, LearnedValue> saved = new HashMap<>();
        for (int incarnation = 1; incarnation < 40; incarnation++) {
            LearnedValue restored = saved.get("run.a");
            DecayedValue decayed =
                    restored == null
                            ? null
                            : DecayedValue.of(restored, nowMillis, 375, 300_000, maxAgeMillis)
                                    .orElse(null);
            // The last sample behind a used value must not be older than the maximum age.
            assertTrue(
                    decayed == null || nowMillis - lastSampleMillis <= maxAgeMillis + 1e-6,
                    "used at " + (nowMillis - lastSampleMillis));
            Estimate estimate =
                    decayed == null
                            ? new Estimate(375, 2)
                            : new Estimate(decayed.value(), Math.min(4, decayed.weight()));
            Provenance provenance = new Provenance(incarnation);
            provenance.start(
                    Map.of("run.a", estimate),
                    decayed == null ? Map.of() : Map.of("run.a", restored));
            for (int save = random.nextInt(5); save > 0; save--) {
                nowMillis += random.nextDouble(200_000);
                if (random.nextInt(3) == 0) {
                    int samples = 1 + random.nextInt(30);
                    estimate =
                            new Estimate(
                                    estimate.value() + random.nextDouble(-5, 5),
                                    estimate.sampleCount() + samples);
                    lastSampleMillis = nowMillis;
                }
                saved =
                        new HashMap<>(
                                provenance.valuesToSave(nowMillis, Map.of("run.a", estimate)));
            }
            nowMillis += random.nextDouble(400_000);
        }
    }
}
