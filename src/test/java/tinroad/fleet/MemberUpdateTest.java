package tinroad.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;

/**
 * Which update overrides which: all members that received the same updates end with the same one.
 */
class MemberUpdateTest {
    @Provide
    Arbitrary<List<MemberUpdate>> updates() {
        return Combinators.combine(
                        Arbitraries.longs().between(1, 3),
                        Arbitraries.integers().between(0, 2),
                        Arbitraries.integers().between(0, 3),
                        Arbitraries.of(MemberStatus.class))
                .as(
                        (process, restart, refutation, status) ->
                                update(new MemberIncarnation(process, restart, refutation), status))
                .list()
                .ofMinSize(1)
                .ofMaxSize(12);
    }

    private static MemberUpdate update(MemberIncarnation incarnation, MemberStatus status) {
        return new MemberUpdate("a", "x", "z", incarnation, status, "b");
    }

    private static MemberUpdate alive(long process, int restart, int refutation) {
        return update(new MemberIncarnation(process, restart, refutation), MemberStatus.ALIVE);
    }

    private static MemberUpdate join(List<MemberUpdate> updates) {
        MemberUpdate current = null;
        for (MemberUpdate update : updates) {
            current = update.overrides(current) ? update : current;
        }
        return current;
    }

    private static String effectiveState(MemberUpdate update) {
        // The refutation of a terminal membership has no effectiveState.
        return update.incarnation().process()
                + "."
                + update.incarnation().restart()
                + (update.status().isTerminal() ? "" : "." + update.incarnation().refutation())
                + " "
                + update.status();
    }

    @Property(tries = 2000, seed = "41")
    void joinDependsNeitherOnOrderNorOnRepetition(
            @ForAll("updates") List<MemberUpdate> updates, @ForAll long seed) {
        List<MemberUpdate> shuffled = new ArrayList<>(updates);
        shuffled.addAll(updates.subList(0, updates.size() / 2));
        Collections.shuffle(shuffled, new Random(seed));
        assertEquals(effectiveState(join(updates)), effectiveState(join(shuffled)));
    }

    @Property(tries = 2000, seed = "42")
    void overridingIsIrreflexiveAndAsymmetric(@ForAll("updates") List<MemberUpdate> updates) {
        for (MemberUpdate a : updates) {
            assertFalse(a.overrides(a));
            for (MemberUpdate b : updates) {
                assertFalse(a.overrides(b) && b.overrides(a), a + " " + b);
            }
        }
    }

    @Test
    void deadMembershipIsOverriddenOnlyByALaterOne() {
        MemberUpdate dead = update(new MemberIncarnation(4, 0, 0), MemberStatus.DEAD);
        assertFalse(alive(4, 0, 9).overrides(dead));
        assertFalse(alive(3, 7, 9).overrides(dead));
        assertTrue(alive(4, 1, 0).overrides(dead));
        assertTrue(alive(5, 0, 0).overrides(dead));
    }
}
