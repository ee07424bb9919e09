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

/** What a client proxy decides: where, whether and when; and what the roster lists. */
class CallersTest {
    private static final BitSet NONE = new BitSet();

    private static GatewaySelector choosing(Selection choice) {
        return new GatewaySelector(choice, 4, Draw.stream(1, "test"));
    }

    private static RetryPolicy repeating(int tries, boolean walk, boolean heeds) {
        return new RetryPolicy(
                new Callers(1, Selection.TURN, 1, 1, 1, 2, tries, 100, 1, walk, 0, 1000, 0),
                heeds,
                Draw.stream(1, "test"));
    }

    @Test
    void inTurnEachGatewayComesOnce() {
        GatewaySelector choosing = choosing(Selection.TURN);
        Set<Integer> seen = new HashSet<>();
        for (int i = 0; i < 4; i++) {
            seen.add(choosing.next(0, NONE, 0));
        }
        assertEquals(4, seen.size());
    }

    @Test
    void leastOpenTakesTheEmptyOne() {
        GatewaySelector choosing = choosing(Selection.LEAST);
        for (int g : new int[] {0, 1, 3, 0, 1, 3}) {
            choosing.open(g, 1);
        }
        assertEquals(2, choosing.next(0, NONE, 0));
        choosing.open(3, -2);
        choosing.open(2, 1);
        assertEquals(3, choosing.next(0, NONE, 0));
    }

    @Test
    void aSubjectKeepsItsGatewayAndOnlyThoseOfOneThatGoesMove() {
        GatewaySelector choosing = choosing(Selection.SUBJECT);
        int[] home = new int[1000];
        for (int s = 0; s < home.length; s++) {
            home[s] = choosing.next(0, NONE, s);
        }
        choosing.listed(2, false);
        int moved = 0;
        for (int s = 0; s < home.length; s++) {
            int now = choosing.next(0, NONE, s);
            assertTrue(now != 2 && (home[s] == 2 || home[s] == now));
            moved += now == home[s] ? 0 : 1;
        }
        assertEquals(250, moved, 60);
    }

    @Test
    void whatIsOffBadOrAskedToBeLeftAloneIsNotChosen() {
        GatewaySelector choosing = choosing(Selection.LEAST);
        choosing.listed(0, false);
        choosing.checked(1, false);
        choosing.avoidUntil(2, 500);
        assertEquals(3, choosing.next(499, NONE, 0));
        assertFalse(choosing.left(499, BitSet.valueOf(new long[] {8})));
        assertEquals(0, choosing.freeAt());
        choosing.avoidUntil(3, 800);
        choosing.avoidUntil(3, 600);
        assertEquals(-1, choosing.next(499, NONE, 0));
        assertEquals(500, choosing.freeAt());
        assertEquals(2, choosing.next(500, NONE, 0));
        choosing.checked(1, true);
        choosing.listed(0, true);
        assertTrue(choosing.left(0, BitSet.valueOf(new long[] {12})));
    }

    @Test
    void whatMayRunOnceIsRepeatedOnProofOnly() {
        RetryPolicy repeating = repeating(0, true, false);
        for (Outcome end : Outcome.values()) {
            boolean proven = end == Outcome.REFUSED || end == Outcome.UNSENT;
            assertEquals(
                    proven,
                    repeating.after(end, false, 1, 0, 5000, true, false) != RetryPolicy.NEVER,
                    end::name);
            assertEquals(
                    end != Outcome.SERVED,
                    repeating.after(end, true, 1, 0, 5000, true, false) != RetryPolicy.NEVER,
                    end::name);
        }
    }

    @Test
    void triesPausesAndTimeAreKeptTo() {
        RetryPolicy repeating = repeating(3, true, true);
        assertEquals(70, repeating.after(Outcome.REFUSED, true, 2, 70, 5000, true, false));
        assertEquals(
                RetryPolicy.NEVER,
                repeating.after(Outcome.REFUSED, true, 3, 70, 5000, true, false));
        assertEquals(
                RetryPolicy.NEVER, repeating.after(Outcome.REFUSED, true, 1, 70, 5000, true, true));
        assertEquals(
                RetryPolicy.NEVER,
                repeating.after(Outcome.REFUSED, true, 1, 5000, 5000, true, false));
        double paused = repeating.after(Outcome.REFUSED, true, 1, 70, 5000, false, false);
        assertTrue(paused >= 120 && paused <= 220, "" + paused);
        assertTrue(
                repeating(3, false, true).after(Outcome.REFUSED, true, 1, 70, 5000, true, false)
                        >= 120);
        // An answer 500 says that the same may happen anywhere: with a pause.
        assertTrue(repeating.after(Outcome.FAILED, true, 1, 70, 5000, true, false) >= 120);
        assertTrue(
                repeating(3, true, false).after(Outcome.REFUSED, true, 1, 0, 5000, true, true)
                        < RetryPolicy.NEVER);
        assertEquals(10, repeating.wait(0, 5000, 0));
        assertEquals(RetryPolicy.NEVER, repeating.wait(4995, 5000, 0));
        assertTrue(repeating.wait(0, 5000, 900) <= 150);
    }

    @Test
    void theRosterListsOnAWordAndForgetsWithoutOne() {
        RegistryEntries list = new RegistryEntries(2, 3000);
        assertFalse(list.takes(0));
        list.engineUp(0, 0);
        list.heard(1, true, 0);
        list.heard(1, false, 1000);
        list.expire(3000);
        assertTrue(list.takes(0));
        assertFalse(list.takes(1));
        list.expire(3001);
        assertFalse(list.takes(0));
        list.heard(0, true, 3500);
        assertTrue(list.takes(0));
        list.down(true, 4000);
        list.heard(0, false, 5000);
        list.expire(60_000);
        assertTrue(list.takes(0));
        list.down(false, 60_000);
        list.expire(62_400);
        assertTrue(list.takes(0));
        list.expire(62_600);
        assertFalse(list.takes(0));
    }
}
