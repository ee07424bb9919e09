package tinroad.fleet;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.SplittableRandom;

/**
 * SWIM's round-robin probe order. Each round is shuffled and contains every member once, which
 * bounds the time until a failed member is probed. A new member gets a random position in the
 * current round.
 */
final class ProbeOrder {
    private final MemberTable members;
    private final SplittableRandom random;

    /** The members that are left in this round; the last one in the list is probed next. */
    private final List<String> round = new ArrayList<>();

    ProbeOrder(MemberTable members, SplittableRandom random) {
        this.members = members;
        this.random = random;
    }

    void add(String name) {
        round.add(round.isEmpty() ? 0 : random.nextInt(round.size() + 1), name);
    }

    /** Returns the next member that is not terminal, or null if there is none. */
    MemberState next() {
        for (int attempt = 0; attempt < 2; attempt++) {
            MemberState member = nextOfRound();
            if (member != null) {
                return member;
            }
            beginRound();
        }
        return null;
    }

    private MemberState nextOfRound() {
        while (!round.isEmpty()) {
            MemberState member = members.get(round.remove(round.size() - 1));
            if (member != null && !member.status().isTerminal()) {
                return member;
            }
        }
        return null;
    }

    private void beginRound() {
        members.countVisits(members.size());
        for (MemberState member : members.all()) {
            if (!member.status().isTerminal()) {
                round.add(member.name());
            }
        }
        for (int last = round.size() - 1; last > 0; last--) {
            Collections.swap(round, last, random.nextInt(last + 1));
        }
    }
}
