package tinroad.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import tinroad.fleet.MemberStatus;
import tinroad.fleet.MembershipConfig;

/**
 * Membership over a network that fails, on virtual time; invariants are checked at every change.
 */
class MembersModelTest {
    private MembersModel m;

    private MembersModel joined(int members, long seed) {
        m = new MembersModel(members, 2, MembershipConfig.DEFAULT, seed);
        double took = m.untilWhole(30_000);
        assertTrue(took < 30_000, "not whole: " + members);
        m.pass(2000);
        m.countAnew();
        return m;
    }

    @AfterEach
    void noInvariantIsBroken() {
        assertEquals(List.of(), m.broken());
    }

    @Test
    void allKnowADeathWithinThreeSecondsAndNobodyElseIsTakenForDead() {
        for (int seed = 1; seed <= 3; seed++) {
            joined(100, seed).kill(17);
            assertTrue(m.until(17, MemberStatus.DEAD, 10_000) <= 3500, "seed " + seed);
            m.pass(5000);
            assertEquals(0, m.falseDeaths());
        }
    }

    /**
     * What a member walks grows with the fleet, but no faster: no walk lies within a walk. What it
     * sends does not grow with it.
     */
    @Test
    void whatAMemberWalksGrowsNoFasterThanTheFleet() {
        double[] walked = new double[2];
        double[] packets = new double[2];
        int[] sizes = {20, 80};
        for (int i = 0; i < sizes.length; i++) {
            joined(sizes[i], 6).pass(20_000);
            walked[i] = (double) m.walked() / sizes[i];
            packets[i] = (double) m.packets() / sizes[i];
        }
        assertTrue(
                walked[1] > 2 * walked[0] && walked[1] < 5 * walked[0],
                () -> walked[0] + " entries of 20, " + walked[1] + " of 80");
        assertTrue(
                packets[1] < 1.2 * packets[0],
                () -> packets[0] + " datagrams of 20, " + packets[1] + " of 80");
    }

    @Test
    void aMemberThatStoodStillForLessThanTwoSecondsIsNotTakenForDeadNorTakesOthers() {
        joined(50, 4);
        for (int i = 0; i < 6; i++) {
            m.stop(5 + i, true);
            m.pass(1900);
            m.stop(5 + i, false);
            m.pass(3000);
        }
        assertEquals(0, m.falseDeaths());
        assertTrue(m.untilWhole(5000) < 5000);
    }

    @Test
    void oneThatStoodStillForTwentySecondsIsDeadAndComesBackInAnotherEra() {
        joined(30, 5).stop(9, true);
        assertTrue(m.until(9, MemberStatus.DEAD, 10_000) < 10_000);
        m.pass(15_000);
        m.stop(9, false);
        assertTrue(m.untilWhole(6000) < 6000);
        assertEquals(1, m.held(0, 9).incarnation().restart());
    }

    @Test
    void aCutIsNoDeathAndIsHealedWithinSeconds() {
        joined(40, 6).cut((from, to) -> from % 2 != to % 2);
        m.pass(6000);
        assertEquals(0, m.falseDeaths());
        assertTrue(m.seesCut(0) && m.seesCut(1));
        m.cut((from, to) -> false);
        assertTrue(m.untilWhole(10_000) < 4000);
    }

    @Test
    void aLinkThatWorksOneWayOnlyCostsNobodyItsLife() {
        joined(20, 7).cut((from, to) -> from == 3 && to == 8);
        m.pass(20_000);
        assertEquals(0, m.falseDeaths());
    }

    @Test
    void fortyPercentLossIsOutlived() {
        joined(30, 8).loss(0.4);
        m.pass(30_000);
        m.loss(0);
        assertTrue(m.untilWhole(10_000) < 10_000);
    }

    @Test
    void allRestartedAtOnceFindEachOtherWithoutABurst() {
        joined(60, 9);
        for (int n = 0; n < 60; n++) {
            m.restart(n);
        }
        m.countAnew();
        m.pass(1000);
        // A calm second costs eleven each; news are bounded to thirty more.
        assertTrue(m.packets() < 60 * 32, "packets " + m.packets());
        assertTrue(m.untilWhole(20_000) < 20_000);
    }

    @Test
    void whoLeavesIsNotSuspected() {
        joined(30, 10).leave(4);
        assertTrue(m.until(4, MemberStatus.LEFT, 5000) < 3000);
        assertEquals(0, m.falseSuspicions());
    }
}
