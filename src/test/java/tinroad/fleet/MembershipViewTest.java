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

/** Merging and reading the load digests of other members, and their age. */
class MembershipViewTest {
    private static final double MERGED_AT_MILLIS = 10_000;
    private static final double MAX_AGE_MILLIS = 3_000;

    @Provide
    Arbitrary<List<LoadDigest>> digests() {
        return Combinators.combine(
                        Arbitraries.of("a", "b", "c"),
                        Arbitraries.longs().between(1, 2),
                        Arbitraries.integers().between(0, 1),
                        Arbitraries.longs().between(0, 4),
                        Arbitraries.doubles().between(0, 5000))
                .as(
                        (name, process, restart, number, ageMillis) ->
                                new LoadDigest(
                                        name,
                                        new MemberIncarnation(process, restart, 0),
                                        number,
                                        ageMillis,
                                        Map.of(Kind.ARRIVALS_PER_SECOND, 1.0 * number)))
                .list()
                .ofMinSize(1)
                .ofMaxSize(15);
    }

    private static MembershipView merged(double nowMillis, Iterable<LoadDigest> digests) {
        MembershipView view = MembershipView.EMPTY;
        for (LoadDigest digest : digests) {
            view = view.merge(nowMillis, digest);
        }
        return view;
    }

    private static LoadDigest cores(MemberIncarnation incarnation, long number, double cores) {
        return new LoadDigest("a", incarnation, number, 0, Map.of(Kind.CORES, cores));
    }

    @Property(tries = 1000, seed = "51")
    void mergeDependsNeitherOnOrderNorOnRepetition(
            @ForAll("digests") List<LoadDigest> digests, @ForAll long seed) {
        List<LoadDigest> shuffled = new ArrayList<>(digests);
        shuffled.addAll(digests);
        Collections.shuffle(shuffled, new Random(seed));
        assertTrue(
                merged(MERGED_AT_MILLIS, digests)
                        .hasSameDigests(merged(MERGED_AT_MILLIS, shuffled)));
    }

    @Property(tries = 500, seed = "52")
    void noValueIsReadBeyondItsAgeHoweverOftenItIsRelayed(
            @ForAll("digests") List<LoadDigest> digests, @ForAll long seed) {
        Random random = new Random(seed);
        double nowMillis = MERGED_AT_MILLIS;
        MembershipView view = merged(nowMillis, digests);
        for (int hop = 0; hop < 5; hop++) {
            nowMillis += random.nextInt(1000);
            view = merged(nowMillis, view.digests(nowMillis).values());
        }
        for (LoadDigest digest : digests) {
            MembershipView.FreshValue value =
                    view.fresh(nowMillis, digest.name(), Kind.ARRIVALS_PER_SECOND, MAX_AGE_MILLIS);
            assertTrue(
                    value == null
                            || (value.ageMillis() <= MAX_AGE_MILLIS
                                    && value.ageMillis() >= nowMillis - MERGED_AT_MILLIS - 1e-6),
                    String.valueOf(value));
        }
    }

    @Test
    void readerGetsAValueWithItsAgeOrNothing() {
        MembershipView view =
                MembershipView.EMPTY.merge(
                        1000,
                        new LoadDigest(
                                "a",
                                new MemberIncarnation(1, 0, 0),
                                1,
                                200,
                                Map.of(Kind.CORES, 4.0, Kind.PRIORITY_CUTOFF, Double.NaN)));
        assertEquals(
                new MembershipView.FreshValue("a", 4, 700),
                view.fresh(1500, "a", Kind.CORES, 1000));
        assertNull(view.fresh(1900, "a", Kind.CORES, 1000));
        assertNull(view.fresh(1500, "a", Kind.PRIORITY_CUTOFF, 1000));
        assertNull(view.fresh(1500, "b", Kind.CORES, 1000));
        assertEquals(List.of(), view.without("a").fresh(1500, Kind.CORES, 1000));
    }

    @Test
    void laterIncarnationOverridesAndAFloodOfMembersIsBounded() {
        MembershipView view =
                MembershipView.EMPTY.merge(0, cores(new MemberIncarnation(2, 0, 0), 1, 8));
        assertEquals(
                8,
                view.merge(0, cores(new MemberIncarnation(1, 9, 9), 999, 1))
                        .fresh(0, "a", Kind.CORES, 1)
                        .value());
        for (int i = 0; i < 10_000; i++) {
            view =
                    view.merge(
                            0,
                            new LoadDigest(
                                    "x" + i, new MemberIncarnation(1, 0, 0), 1, 0, Map.of()));
        }
        assertEquals(2000, view.size());
        assertEquals(
                1,
                view.merge(0, cores(new MemberIncarnation(3, 0, 0), 0, 1))
                        .fresh(0, "a", Kind.CORES, 1)
                        .value());
    }
}
