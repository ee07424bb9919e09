package tinroad.recovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Tests when the configuration is reloaded. The backoff is polled every 250 ms, as the node does.
 */
class ConfigReloadBackoffTest {
    private static final double POLL_MILLIS = 250;

    private static List<Double> reloads(long seed, double fromMillis, double toMillis) {
        ConfigReloadBackoff backoff = new ConfigReloadBackoff("n3", seed);
        List<Double> reloadTimes = new ArrayList<>();
        for (double nowMillis = fromMillis; nowMillis < toMillis; nowMillis += POLL_MILLIS) {
            if (backoff.due(nowMillis, false)) {
                reloadTimes.add(nowMillis);
            }
        }
        return reloadTimes;
    }

    @Test
    void doesNotReloadForALinkThatIsBackWithinASecond() {
        ConfigReloadBackoff backoff = new ConfigReloadBackoff("n3", 1);
        for (double nowMillis = 0; nowMillis < 60_000; nowMillis += POLL_MILLIS) {
            assertFalse(backoff.due(nowMillis, nowMillis % 1000 == 0), "at " + nowMillis);
        }
    }

    @Test
    void reloadsWithinTwoSecondsAndThenWithinTheCap() {
        for (long seed = 0; seed < 500; seed++) {
            List<Double> reloadTimes = reloads(seed, 0, 600_000);
            assertTrue(
                    reloadTimes.get(0) >= ConfigReloadBackoff.FIRST_DELAY_MILLIS
                            && reloadTimes.get(0)
                                    <= ConfigReloadBackoff.FIRST_DELAY_MILLIS
                                            + ConfigReloadBackoff.FIRST_SPREAD_MILLIS
                                            + POLL_MILLIS,
                    "seed " + seed);
            for (int i = 1; i < reloadTimes.size(); i++) {
                double gapMillis = reloadTimes.get(i) - reloadTimes.get(i - 1);
                assertTrue(
                        gapMillis >= ConfigReloadBackoff.FIRST_DELAY_MILLIS
                                && gapMillis
                                        <= ConfigReloadBackoff.MAX_INTERVAL_MILLIS + POLL_MILLIS,
                        "seed " + seed + " at " + reloadTimes.get(i));
            }
        }
    }

    /**
     * Of 200 gateways that lost their engines at once, few may reload in one poll, because gateways
     * may share a disk.
     */
    @Test
    void spreadsTheReloadsOfAFleet() {
        int[] reloadsByPoll = new int[240];
        for (long seed = 0; seed < 200; seed++) {
            reloads(seed, 0, 60_000).forEach(at -> reloadsByPoll[(int) (at / POLL_MILLIS)]++);
        }
        for (int poll = (int) (2 * ConfigReloadBackoff.MAX_INTERVAL_MILLIS / POLL_MILLIS);
                poll < reloadsByPoll.length;
                poll++) {
            assertTrue(
                    reloadsByPoll[poll] <= 30, reloadsByPoll[poll] + " at " + poll * POLL_MILLIS);
        }
    }

    @Test
    void startsAnewOnceTheEngineWasReachable() {
        ConfigReloadBackoff backoff = new ConfigReloadBackoff("n3", 3);
        assertFalse(backoff.due(0, false));
        assertTrue(backoff.due(2000, false));
        assertFalse(backoff.due(2500, true));
        assertFalse(backoff.due(3000, false));
        assertFalse(backoff.due(3900, false));
        assertTrue(backoff.due(4500, false));
        assertEquals(reloads(3, 0, 60_000), reloads(3, 0, 60_000));
    }
}
