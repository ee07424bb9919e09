package tinroad.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;
import tinroad.fleet.LoadDigest.Kind;

/** What is known of others, and how old it is. */
class ViewTest {
    @Provide
    Arbitrary<List<LoadDigest>> digests() {
        return Combinators.combine(
                        Arbitraries.of("a", "b", "c"),
                        Arbitraries.longs().between(1, 2),
                        Arbitraries.integers().between(0, 1),
                        Arbitraries.longs().between(0, 4),
                        Arbitraries.doubles().between(0, 5000))
                .as(
                        (name, life, era, number, age) ->
                                new LoadDigest(
                                        name,
                                        new MemberIncarnation(life, era, 0),
                                        number,
                                        age,
                                        Map.of(Kind.ARRIVALS_PER_SECOND, 1.0 * number)))
                .list()
                .ofMinSize(1)
                .ofMaxSize(15);
    }

    private static MembershipView merged(List<LoadDigest> all) {
        MembershipView v = MembershipView.EMPTY;
        for (LoadDigest d : all) {
            v = v.merge(10_000, d);
        }
        return v;
    }

    @Property(tries = 1000, seed = "51")
    void orderAndRepetitionDoNotMatter(
            @ForAll("digests") List<LoadDigest> digests, @ForAll long seed) {
        List<LoadDigest> other = new ArrayList<>(digests);
        other.addAll(digests);
        Collections.shuffle(other, new Random(seed));
        assertTrue(merged(digests).knowsTheSame(merged(other)));
    }

    @Property(tries = 500, seed = "52")
    void nothingIsReadBeyondItsAgeHoweverOftenItIsPassedOn(
            @ForAll("digests") List<LoadDigest> digests, @ForAll long seed) {
        Random random = new Random(seed);
        double nowMillis = 10_000;
        MembershipView v = merged(digests);
        for (int hop = 0; hop < 5; hop++) {
            nowMillis += random.nextInt(1000);
            MembershipView next = MembershipView.EMPTY;
            for (LoadDigest d : v.digests(nowMillis).values()) {
                next = next.merge(nowMillis, d);
            }
            v = next;
        }
        for (LoadDigest d : digests) {
            MembershipView.FreshValue f =
                    v.fresh(nowMillis, d.name(), Kind.ARRIVALS_PER_SECOND, 3000);
            assertTrue(
                    f == null
                            || (f.ageMillis() <= 3000
                                    && f.ageMillis() >= nowMillis - 10_000 - 1e-6),
                    String.valueOf(f));
        }
    }

    @Test
    void aReaderGetsAValueWithItsAgeOrNothing() {
        MembershipView v =
                MembershipView.EMPTY.merge(
                        1000,
                        new LoadDigest(
                                "a",
                                new MemberIncarnation(1, 0, 0),
                                1,
                                200,
                                Map.of(Kind.CORES, 4.0, Kind.PRIORITY_CUTOFF, Double.NaN)));
        assertEquals(
                new MembershipView.FreshValue("a", 4, 700), v.fresh(1500, "a", Kind.CORES, 1000));
        assertNull(v.fresh(1900, "a", Kind.CORES, 1000));
        assertNull(v.fresh(1500, "a", Kind.PRIORITY_CUTOFF, 1000));
        assertNull(v.fresh(1500, "b", Kind.CORES, 1000));
        assertEquals(List.of(), v.without("a").fresh(1500, Kind.CORES, 1000));
    }

    @Test
    void whatADeadLifeSaidIsOverriddenByTheNextAndAMaliciousFloodIsBounded() {
        MembershipView v =
                MembershipView.EMPTY.merge(
                        0,
                        new LoadDigest(
                                "a",
                                new MemberIncarnation(2, 0, 0),
                                1,
                                0,
                                Map.of(Kind.CORES, 8.0)));
        assertEquals(
                8,
                v.merge(
                                0,
                                new LoadDigest(
                                        "a",
                                        new MemberIncarnation(1, 9, 9),
                                        999,
                                        0,
                                        Map.of(Kind.CORES, 1.0)))
                        .fresh(0, "a", Kind.CORES, 1)
                        .value());
        for (int i = 0; i < 10_000; i++) {
            v = v.merge(0, new LoadDigest("x" + i, new MemberIncarnation(1, 0, 0), 1, 0, Map.of()));
        }
        assertEquals(2000, v.size());
        assertEquals(
                1,
                v.merge(
                                0,
                                new LoadDigest(
                                        "a",
                                        new MemberIncarnation(3, 0, 0),
                                        0,
                                        0,
                                        Map.of(Kind.CORES, 1.0)))
                        .fresh(0, "a", Kind.CORES, 1)
                        .value());
    }
}
