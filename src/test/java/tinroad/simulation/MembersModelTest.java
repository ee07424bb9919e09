package tinroad.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import tinroad.fleet.MemberStatus;
import tinroad.fleet.MembershipConfig;

/**
 * Tests the membership over a faulty network on virtual time; invariants are checked at every
 * change.
 */
class MembersModelTest {
    private MembersModel m;

    private MembersModel joined(int members, long seed) {
        m = new MembersModel(members, 2, MembershipConfig.DEFAULT, seed);
        double joinMillis = m.advanceUntilConverged(30_000);
        assertTrue(joinMillis < 30_000, "not converged: " + members);
        m.advance(2000);
        m.resetCounters();
        return m;
    }

    @AfterEach
    void noInvariantIsViolated() {
        assertEquals(List.of(), m.violations());
    }

    @Test
    void allSeeADeathWithinThreeAndAHalfSecondsAndNoOtherMemberIsDeclaredDead() {
        for (int seed = 1; seed <= 3; seed++) {
            joined(100, seed).kill(17);
            assertTrue(m.advanceUntil(17, MemberStatus.DEAD, 10_000) <= 3500, "seed " + seed);
            m.advance(5000);
            assertEquals(0, m.falseDeaths());
        }
    }

    /**
     * The entries that a member visits grow linearly with the fleet, as no pass over the members is
     * nested in another. The datagrams that it sends do not grow with the fleet.
     */
    @Test
    void visitedEntriesGrowNoFasterThanTheFleet() {
        double[] visited = new double[2];
        double[] packets = new double[2];
        int[] sizes = {20, 80};
        for (int i = 0; i < sizes.length; i++) {
            joined(sizes[i], 6).advance(20_000);
            visited[i] = (double) m.visitedEntries() / sizes[i];
            packets[i] = (double) m.packets() / sizes[i];
        }
        assertTrue(
                visited[1] > 2 * visited[0] && visited[1] < 5 * visited[0],
                () -> visited[0] + " entries of 20, " + visited[1] + " of 80");
        assertTrue(
                packets[1] < 1.2 * packets[0],
                () -> packets[0] + " datagrams of 20, " + packets[1] + " of 80");
    }

    @Test
    void aPauseOfLessThanTwoSecondsCausesNoFalseDeath() {
        joined(50, 4);
        for (int i = 0; i < 6; i++) {
            m.setPaused(5 + i, true);
            m.advance(1900);
            m.setPaused(5 + i, false);
            m.advance(3000);
        }
        assertEquals(0, m.falseDeaths());
        assertTrue(m.advanceUntilConverged(5000) < 5000);
    }

    @Test
    void aMemberPausedForTwentySecondsIsDeclaredDeadAndRejoinsWithANewRestartNumber() {
        joined(30, 5).setPaused(9, true);
        assertTrue(m.advanceUntil(9, MemberStatus.DEAD, 10_000) < 10_000);
        m.advance(15_000);
        m.setPaused(9, false);
        assertTrue(m.advanceUntilConverged(6000) < 6000);
        assertEquals(1, m.latestUpdate(0, 9).incarnation().restart());
    }

    @Test
    void aPartitionCausesNoDeathAndHealsWithinSeconds() {
        joined(40, 6).setDropRule((from, to) -> from % 2 != to % 2);
        m.advance(6000);
        assertEquals(0, m.falseDeaths());
        assertTrue(m.suspectsPartition(0) && m.suspectsPartition(1));
        m.setDropRule((from, to) -> false);
        assertTrue(m.advanceUntilConverged(10_000) < 4000);
    }

    @Test
    void aLinkThatWorksInOneDirectionCausesNoFalseDeath() {
        joined(20, 7).setDropRule((from, to) -> from == 3 && to == 8);
        m.advance(20_000);
        assertEquals(0, m.falseDeaths());
    }

    @Test
    void membersConvergeAfterFortyPercentLoss() {
        joined(30, 8).setLoss(0.4);
        m.advance(30_000);
        m.setLoss(0);
        assertTrue(m.advanceUntilConverged(10_000) < 10_000);
    }

    @Test
    void membersRestartedAtOnceConvergeWithoutABurst() {
        joined(60, 9);
        for (int n = 0; n < 60; n++) {
            m.restart(n);
        }
        m.resetCounters();
        m.advance(1000);
        // Without faults a member sends eleven datagrams a second; updates add at most thirty.
        assertTrue(m.packets() < 60 * 32, "packets " + m.packets());
        assertTrue(m.advanceUntilConverged(20_000) < 20_000);
    }

    @Test
    void aLeavingMemberIsNotSuspected() {
        joined(30, 10).leave(4);
        assertTrue(m.advanceUntil(4, MemberStatus.LEFT, 5000) < 3000);
        assertEquals(0, m.falseSuspicions());
    }
}
