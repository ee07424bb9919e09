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

/** Old knowledge never looks fresh because it was saved again. */
class ProvenanceTest {
    private static final double NOW = 1.8e12;

    @Test
    void whatWasOnlyAssumedIsNotLeft() {
        Provenance p = new Provenance(1);
        p.begin(Map.of("run.a", new Estimate(375, 2)), Map.of());
        assertEquals(Map.of(), p.at(NOW, Map.of("run.a", new Estimate(375, 2))));
        assertEquals(
                Map.of("run.a", new LearnedValue(30, 12, NOW, 1)),
                p.at(NOW, Map.of("run.a", new Estimate(30, 12))));
    }

    @Test
    void whatWasOnlyReadIsLeftAsItWasRead() {
        LearnedValue r = new LearnedValue(24, 900, NOW - 60_000, 4);
        Provenance p = new Provenance(5);
        p.begin(Map.of("run.a", new Estimate(29, 4)), Map.of("run.a", r));
        assertEquals(Map.of("run.a", r), p.at(NOW + 5000, Map.of("run.a", new Estimate(29, 4))));
    }

    @Test
    void aMixtureIsAsOldAsItsSamplesAre() {
        Provenance p = new Provenance(5);
        p.begin(
                Map.of("run.a", new Estimate(29, 4)),
                Map.of("run.a", new LearnedValue(24, 900, NOW - 60_000, 4)));
        assertEquals(
                new LearnedValue(31, 8, NOW - 30_000, 5),
                p.at(NOW, Map.of("run.a", new Estimate(31, 8))).get("run.a"));
        // Nothing came meanwhile: it grows old all the same.
        assertEquals(
                new LearnedValue(31, 8, NOW - 30_000, 5),
                p.at(NOW + 9000, Map.of("run.a", new Estimate(31, 8))).get("run.a"));
    }

    /**
     * Lives that read, learn a little or nothing, and save: no value is used beyond its age,
     * counted from its true samples.
     */
    @Property(tries = 200, seed = "31")
    void overManyLivesNoValueIsUsedBeyondItsAge(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        double oldest = 600_000;
        double nowMillis = NOW;
        double lastSample = Double.NEGATIVE_INFINITY;
        Map<String, LearnedValue> folder = new HashMap<>();
        for (int life = 1; life < 40; life++) {
            LearnedValue r = folder.get("run.a");
            DecayedValue aged =
                    r == null ? null : DecayedValue.of(r, nowMillis, 375, 300_000, oldest);
            // The checker: what is used stands on a sample that is no older than is allowed.
            assertTrue(
                    aged == null || nowMillis - lastSample <= oldest + 1e-6,
                    "used at " + (nowMillis - lastSample));
            Estimate known =
                    aged == null
                            ? new Estimate(375, 2)
                            : new Estimate(aged.value(), Math.min(4, aged.weight()));
            Provenance p = new Provenance(life);
            p.begin(Map.of("run.a", known), aged == null ? Map.of() : Map.of("run.a", r));
            for (int save = random.nextInt(5); save > 0; save--) {
                nowMillis += random.nextDouble(200_000);
                if (random.nextInt(3) == 0) {
                    int samples = 1 + random.nextInt(30);
                    known =
                            new Estimate(
                                    known.value() + random.nextDouble(-5, 5),
                                    known.weight() + samples);
                    lastSample = nowMillis;
                }
                folder = new HashMap<>(p.at(nowMillis, Map.of("run.a", known)));
            }
            nowMillis += random.nextDouble(400_000);
        }
    }
}
