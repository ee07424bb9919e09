package tinroad.recovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** When the configuration is read unasked: asked every 250 ms, as the start's thread does. */
class RereadsTest {
    private static final double LOOK = 250;

    private static List<Double> readings(long seed, double from, double to) {
        ConfigReloadBackoff rereads = new ConfigReloadBackoff("n3", seed);
        List<Double> at = new ArrayList<>();
        for (double nowMillis = from; nowMillis < to; nowMillis += LOOK) {
            if (rereads.due(nowMillis, false)) {
                at.add(nowMillis);
            }
        }
        return at;
    }

    @Test
    void aLinkThatComesBackWithinASecondCausesNone() {
        ConfigReloadBackoff rereads = new ConfigReloadBackoff("n3", 1);
        for (double nowMillis = 0; nowMillis < 60_000; nowMillis += LOOK) {
            assertFalse(rereads.due(nowMillis, nowMillis % 1000 == 0), "at " + nowMillis);
        }
    }

    @Test
    void theFirstComesWithinTwoSecondsAndTheyAreBounded() {
        for (long seed = 0; seed < 500; seed++) {
            List<Double> at = readings(seed, 0, 600_000);
            assertTrue(
                    at.get(0) >= ConfigReloadBackoff.FIRST_MILLIS
                            && at.get(0)
                                    <= ConfigReloadBackoff.FIRST_MILLIS
                                            + ConfigReloadBackoff.SPREAD_MILLIS
                                            + LOOK,
                    "seed " + seed);
            for (int i = 1; i < at.size(); i++) {
                double gap = at.get(i) - at.get(i - 1);
                assertTrue(
                        gap >= ConfigReloadBackoff.FIRST_MILLIS
                                && gap <= ConfigReloadBackoff.CAP_MILLIS + LOOK,
                        "seed " + seed + " at " + at.get(i));
            }
        }
    }

    /**
     * The disk of a machine that many share: of 200 gateways that lost their engines at once, few
     * read in one look.
     */
    @Test
    void aFleetDoesNotReadInStep() {
        int[] each = new int[240];
        for (long seed = 0; seed < 200; seed++) {
            readings(seed, 0, 60_000).forEach(at -> each[(int) (at / LOOK)]++);
        }
        for (int look = (int) (2 * ConfigReloadBackoff.CAP_MILLIS / LOOK);
                look < each.length;
                look++) {
            assertTrue(each[look] <= 30, each[look] + " at " + look * LOOK);
        }
    }

    @Test
    void theEnginesReturnStartsItAnew() {
        ConfigReloadBackoff rereads = new ConfigReloadBackoff("n3", 3);
        assertFalse(rereads.due(0, false));
        assertTrue(rereads.due(2000, false));
        assertFalse(rereads.due(2500, true));
        assertFalse(rereads.due(3000, false));
        assertFalse(rereads.due(3900, false));
        assertTrue(rereads.due(4500, false));
        assertEquals(readings(3, 0, 60_000), readings(3, 0, 60_000));
    }
}
