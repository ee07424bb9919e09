package tinroad.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

/**
 * Checks that the count of alive members is right, and that exactly the suspected members have a
 * time to refute. A wrong count would make the fleet assume a partition that does not exist, or
 * miss one.
 */
class MemberCountsTest {
    private static final Membership.Transport DISCARDING_TRANSPORT =
            new Membership.Transport() {
                @Override
                public void send(String to, Message message) {}

                @Override
                public void memberChanged(
                        double nowMillis, MemberUpdate before, MemberUpdate after) {}
            };

    /** An update that is received after {@code millis} of ticks. */
    private record Event(int millis, MemberUpdate update) {}

    @Provide
    Arbitrary<List<Event>> events() {
        Arbitrary<MemberIncarnation> incarnations =
                Combinators.combine(
                                Arbitraries.longs().between(1, 2),
                                Arbitraries.integers().between(0, 1),
                                Arbitraries.integers().between(0, 2))
                        .as(MemberIncarnation::new);
        return Combinators.combine(
                        Arbitraries.integers().between(0, 700),
                        Arbitraries.of("a", "b", "c", "d", "self"),
                        incarnations,
                        Arbitraries.of(MemberStatus.class),
                        Arbitraries.of("a", "b", "c"))
                .as(
                        (millis, name, incarnation, status, by) ->
                                new Event(
                                        millis,
                                        new MemberUpdate(
                                                name, name, "zone", incarnation, status, by)))
                .list()
                .ofMinSize(1)
                .ofMaxSize(40);
    }

    private static void assertCounts(Membership membership) {
        List<MemberUpdate> others = List.copyOf(membership.others());
        assertEquals(
                others.stream().filter(member -> member.status() == MemberStatus.ALIVE).count(),
                membership.aliveMembers());
        assertEquals(
                others.stream()
                        .filter(member -> member.status() == MemberStatus.SUSPECT)
                        .map(MemberUpdate::name)
                        .collect(Collectors.toSet()),
                Set.copyOf(membership.suspects()));
    }

    @Property(seed = "20261205", tries = 10_000)
    void countsMatchTheAliveAndSuspectedMembers(@ForAll("events") List<Event> events) {
        Membership membership =
                new Membership(
                        new MemberUpdate(
                                "self",
                                "self",
                                "zone",
                                new MemberIncarnation(1, 0, 0),
                                MemberStatus.ALIVE,
                                "self"),
                        List.of("a"),
                        MembershipConfig.DEFAULT,
                        7,
                        DISCARDING_TRANSPORT);
        double nowMillis = 1000;
        membership.start(nowMillis);
        for (Event event : events) {
            double untilMillis = nowMillis + event.millis;
            while (nowMillis + 50 <= untilMillis) {
                nowMillis += 50;
                membership.tick(nowMillis);
                assertCounts(membership);
            }
            nowMillis = untilMillis;
            membership.receive(nowMillis, "a", new Message.Sync(false, List.of(event.update)));
            assertCounts(membership);
        }
    }
}
