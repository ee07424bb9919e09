package tinroad.lab.fake;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.BitSet;
import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;
import tinroad.lab.schedule.Draw;
import tinroad.lab.script.Script.Callers;
import tinroad.lab.script.Script.Selection;
import tinroad.lab.verification.Try.Outcome;

/** Choice of gateways and retries of a client proxy, and the entries of the registry. */
class CallersTest {
    private static final BitSet NONE = new BitSet();

    private static GatewaySelector selector(Selection selection) {
        return new GatewaySelector(selection, 4, Draw.stream(1, "test"));
    }

    private static RetryPolicy retryPolicy(int tries, boolean triesNext, boolean heedsAdvice) {
        return new RetryPolicy(
                new Callers(1, Selection.TURN, 1, 1, 1, 2, tries, 100, 1, triesNext, 0, 1000, 0),
                heedsAdvice,
                Draw.stream(1, "test"));
    }

    @Test
    void roundRobinChoosesEachGatewayOnce() {
        GatewaySelector selector = selector(Selection.TURN);
        Set<Integer> seen = new HashSet<>();
        for (int i = 0; i < 4; i++) {
            seen.add(selector.next(0, NONE, 0));
        }
        assertEquals(4, seen.size());
    }

    @Test
    void leastOpenChoosesTheGatewayWithFewestTries() {
        GatewaySelector selector = selector(Selection.LEAST);
        for (int g : new int[] {0, 1, 3, 0, 1, 3}) {
            selector.addOpenTries(g, 1);
        }
        assertEquals(2, selector.next(0, NONE, 0));
        selector.addOpenTries(3, -2);
        selector.addOpenTries(2, 1);
        assertEquals(3, selector.next(0, NONE, 0));
    }

    @Test
    void onlySubjectsOfARemovedGatewayMove() {
        GatewaySelector selector = selector(Selection.SUBJECT);
        int[] assigned = new int[1000];
        for (int s = 0; s < assigned.length; s++) {
            assigned[s] = selector.next(0, NONE, s);
        }
        selector.listed(2, false);
        int moved = 0;
        for (int s = 0; s < assigned.length; s++) {
            int current = selector.next(0, NONE, s);
            assertTrue(current != 2 && (assigned[s] == 2 || assigned[s] == current));
            moved += current == assigned[s] ? 0 : 1;
        }
        assertEquals(250, moved, 60);
    }

    @Test
    void unlistedUnhealthyAndAvoidedGatewaysAreNotChosen() {
        GatewaySelector selector = selector(Selection.LEAST);
        selector.listed(0, false);
        selector.checked(1, false);
        selector.avoidUntil(2, 500);
        assertEquals(3, selector.next(499, NONE, 0));
        assertFalse(selector.hasAvailable(499, BitSet.valueOf(new long[] {8})));
        assertEquals(0, selector.nextAvailableMillis());
        selector.avoidUntil(3, 800);
        selector.avoidUntil(3, 600);
        assertEquals(-1, selector.next(499, NONE, 0));
        assertEquals(500, selector.nextAvailableMillis());
        assertEquals(2, selector.next(500, NONE, 0));
        selector.checked(1, true);
        selector.listed(0, true);
        assertTrue(selector.hasAvailable(0, BitSet.valueOf(new long[] {12})));
    }

    @Test
    void aRequestThatMayRunOnceIsRepeatedOnlyIfItDidNotRun() {
        RetryPolicy retryPolicy = retryPolicy(0, true, false);
        for (Outcome end : Outcome.values()) {
            boolean proven = end == Outcome.REFUSED || end == Outcome.UNSENT;
            assertEquals(
                    proven,
                    retryPolicy.nextTryMillis(end, false, 1, 0, 5000, true, false)
                            != RetryPolicy.NEVER,
                    end::name);
            assertEquals(
                    end != Outcome.SERVED,
                    retryPolicy.nextTryMillis(end, true, 1, 0, 5000, true, false)
                            != RetryPolicy.NEVER,
                    end::name);
        }
    }

    @Test
    void respectsMaxTriesPausesAndDeadline() {
        RetryPolicy retryPolicy = retryPolicy(3, true, true);
        assertEquals(
                70, retryPolicy.nextTryMillis(Outcome.REFUSED, true, 2, 70, 5000, true, false));
        assertEquals(
                RetryPolicy.NEVER,
                retryPolicy.nextTryMillis(Outcome.REFUSED, true, 3, 70, 5000, true, false));
        assertEquals(
                RetryPolicy.NEVER,
                retryPolicy.nextTryMillis(Outcome.REFUSED, true, 1, 70, 5000, true, true));
        assertEquals(
                RetryPolicy.NEVER,
                retryPolicy.nextTryMillis(Outcome.REFUSED, true, 1, 5000, 5000, true, false));
        double afterPause =
                retryPolicy.nextTryMillis(Outcome.REFUSED, true, 1, 70, 5000, false, false);
        assertTrue(afterPause >= 120 && afterPause <= 220, "" + afterPause);
        assertTrue(
                retryPolicy(3, false, true)
                                .nextTryMillis(Outcome.REFUSED, true, 1, 70, 5000, true, false)
                        >= 120);
        // A failure (status 500) may repeat at any gateway, so the next try waits.
        assertTrue(
                retryPolicy.nextTryMillis(Outcome.FAILED, true, 1, 70, 5000, true, false) >= 120);
        assertTrue(
                retryPolicy(3, true, false)
                                .nextTryMillis(Outcome.REFUSED, true, 1, 0, 5000, true, true)
                        < RetryPolicy.NEVER);
        assertEquals(10, retryPolicy.nextSearchMillis(0, 5000, 0));
        assertEquals(RetryPolicy.NEVER, retryPolicy.nextSearchMillis(4995, 5000, 0));
        assertTrue(retryPolicy.nextSearchMillis(0, 5000, 900) <= 150);
    }

    @Test
    void theRegistryListsOnAReportAndExpiresWithoutOne() {
        RegistryEntries entries = new RegistryEntries(2, 3000);
        assertFalse(entries.takesWork(0));
        entries.engineUp(0, 0);
        entries.heard(1, true, 0);
        entries.heard(1, false, 1000);
        entries.expire(3000);
        assertTrue(entries.takesWork(0));
        assertFalse(entries.takesWork(1));
        entries.expire(3001);
        assertFalse(entries.takesWork(0));
        entries.heard(0, true, 3500);
        assertTrue(entries.takesWork(0));
        entries.down(true, 4000);
        entries.heard(0, false, 5000);
        entries.expire(60_000);
        assertTrue(entries.takesWork(0));
        entries.down(false, 60_000);
        entries.expire(62_400);
        assertTrue(entries.takesWork(0));
        entries.expire(62_600);
        assertFalse(entries.takesWork(0));
    }
}
