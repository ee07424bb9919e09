package tinroad.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import tinroad.Controller.Known;

/** Old knowledge never looks fresh because it was saved again. */
class ProvenanceTest {
    private static final double NOW = 1.8e12;

    @Test
    void whatWasOnlyAssumedIsNotLeft() {
        Provenance p = new Provenance(1);
        p.begin(Map.of("run.a", new Known(375, 2)), Map.of());
        assertEquals(Map.of(), p.at(NOW, Map.of("run.a", new Known(375, 2))));
        assertEquals(
                Map.of("run.a", new Remembered(30, 12, NOW, 1)),
                p.at(NOW, Map.of("run.a", new Known(30, 12))));
    }

    @Test
    void whatWasOnlyReadIsLeftAsItWasRead() {
        Remembered r = new Remembered(24, 900, NOW - 60_000, 4);
        Provenance p = new Provenance(5);
        p.begin(Map.of("run.a", new Known(29, 4)), Map.of("run.a", r));
        assertEquals(Map.of("run.a", r), p.at(NOW + 5000, Map.of("run.a", new Known(29, 4))));
    }

    @Test
    void aMixtureIsAsOldAsItsSamplesAre() {
        Provenance p = new Provenance(5);
        p.begin(
                Map.of("run.a", new Known(29, 4)),
                Map.of("run.a", new Remembered(24, 900, NOW - 60_000, 4)));
        assertEquals(
                new Remembered(31, 8, NOW - 30_000, 5),
                p.at(NOW, Map.of("run.a", new Known(31, 8))).get("run.a"));
        // Nothing came meanwhile: it grows old all the same.
        assertEquals(
                new Remembered(31, 8, NOW - 30_000, 5),
                p.at(NOW + 9000, Map.of("run.a", new Known(31, 8))).get("run.a"));
    }

    /**
     * Lives that read, learn a little or nothing, and save: no value is used beyond its age,
     * counted from its true samples.
     */
    @Property(tries = 200, seed = "31")
    void overManyLivesNoValueIsUsedBeyondItsAge(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        double oldest = 600_000;
        double now = NOW;
        double lastSample = Double.NEGATIVE_INFINITY;
        Map<String, Remembered> folder = new HashMap<>();
        for (int life = 1; life < 40; life++) {
            Remembered r = folder.get("run.a");
            Aged aged = r == null ? null : Aged.of(r, now, 375, 300_000, oldest);
            // The checker: what is used stands on a sample that is no older than is allowed.
            assertTrue(
                    aged == null || now - lastSample <= oldest + 1e-6,
                    "used at " + (now - lastSample));
            Known known =
                    aged == null
                            ? new Known(375, 2)
                            : new Known(aged.value(), Math.min(4, aged.weight()));
            Provenance p = new Provenance(life);
            p.begin(Map.of("run.a", known), aged == null ? Map.of() : Map.of("run.a", r));
            for (int save = random.nextInt(5); save > 0; save--) {
                now += random.nextDouble(200_000);
                if (random.nextInt(3) == 0) {
                    int samples = 1 + random.nextInt(30);
                    known =
                            new Known(
                                    known.value() + random.nextDouble(-5, 5),
                                    known.weight() + samples);
                    lastSample = now;
                }
                folder = new HashMap<>(p.at(now, Map.of("run.a", known)));
            }
            now += random.nextDouble(400_000);
        }
    }
}
