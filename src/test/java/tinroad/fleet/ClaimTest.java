package tinroad.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

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
 * Which word counts: whatever comes, in whatever order and however often, all end up with the same.
 */
class ClaimTest {
    @Provide
    Arbitrary<List<MemberUpdate>> claims() {
        return Combinators.combine(
                        Arbitraries.longs().between(1, 3),
                        Arbitraries.integers().between(0, 2),
                        Arbitraries.integers().between(0, 3),
                        Arbitraries.of(MemberStatus.class))
                .as(
                        (life, era, incarnation, status) ->
                                new MemberUpdate(
                                        "a",
                                        "x",
                                        "z",
                                        new MemberIncarnation(life, era, incarnation),
                                        status,
                                        "b"))
                .list()
                .ofMinSize(1)
                .ofMaxSize(12);
    }

    private static MemberUpdate join(List<MemberUpdate> all) {
        MemberUpdate held = null;
        for (MemberUpdate c : all) {
            held = c.overrides(held) ? c : held;
        }
        return held;
    }

    private static String meaning(MemberUpdate c) {
        // Of a stay that is over the incarnation means nothing any more.
        return c.incarnation().process()
                + "."
                + c.incarnation().restart()
                + (c.status().isTerminal() ? "" : "." + c.incarnation().refutation())
                + " "
                + c.status();
    }

    @Property(tries = 2000, seed = "41")
    void orderAndRepetitionDoNotMatter(
            @ForAll("claims") List<MemberUpdate> claims, @ForAll long seed) {
        List<MemberUpdate> other = new java.util.ArrayList<>(claims);
        other.addAll(claims.subList(0, claims.size() / 2));
        Collections.shuffle(other, new Random(seed));
        assertEquals(meaning(join(claims)), meaning(join(other)));
    }

    @Property(tries = 2000, seed = "42")
    void noWordOverridesItselfNorBothEachOther(@ForAll("claims") List<MemberUpdate> claims) {
        for (MemberUpdate a : claims) {
            assertFalse(a.overrides(a));
            for (MemberUpdate b : claims) {
                assertFalse(a.overrides(b) && b.overrides(a), a + " " + b);
            }
        }
    }

    @Test
    void aStayThatIsOverNeverComesBackAndAnotherDoes() {
        MemberUpdate dead =
                new MemberUpdate(
                        "a", "x", "z", new MemberIncarnation(4, 0, 0), MemberStatus.DEAD, "b");
        assertFalse(
                new MemberUpdate(
                                "a",
                                "x",
                                "z",
                                new MemberIncarnation(4, 0, 9),
                                MemberStatus.ALIVE,
                                "a")
                        .overrides(dead));
        assertFalse(
                new MemberUpdate(
                                "a",
                                "x",
                                "z",
                                new MemberIncarnation(3, 7, 9),
                                MemberStatus.ALIVE,
                                "a")
                        .overrides(dead));
        assertTrue(
                new MemberUpdate(
                                "a",
                                "x",
                                "z",
                                new MemberIncarnation(4, 1, 0),
                                MemberStatus.ALIVE,
                                "a")
                        .overrides(dead));
        assertTrue(
                new MemberUpdate(
                                "a",
                                "x",
                                "z",
                                new MemberIncarnation(5, 0, 0),
                                MemberStatus.ALIVE,
                                "a")
                        .overrides(dead));
    }
}
