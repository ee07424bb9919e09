package tinroad.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * All known members except this one, at most {@link MembershipConfig#maxMembers()}, in the order in
 * which they became known. Terminal members stay for some time, so that a late update can't bring
 * them back.
 */
final class MemberTable {
    private final MembershipConfig config;
    private final SplittableRandom random;
    private final Map<String, MemberState> members = new LinkedHashMap<>();
    private int aliveMembers;
    private long visitedEntries;

    MemberTable(MembershipConfig config, SplittableRandom random) {
        this.config = config;
        this.random = random;
    }

    /** Returns the member, or null if it is unknown. */
    MemberState get(String name) {
        return members.get(name);
    }

    Collection<MemberState> all() {
        return Collections.unmodifiableCollection(members.values());
    }

    int size() {
        return members.size();
    }

    int aliveMembers() {
        return aliveMembers;
    }

    /**
     * Whether an unknown member is added for this update: not if its status is terminal or the
     * table is full.
     */
    boolean admits(MemberUpdate update) {
        return members.size() < config.maxMembers() && !update.status().isTerminal();
    }

    /** Applies an update that overrides the current one on its member. */
    void apply(double nowMillis, MemberUpdate update) {
        MemberState member = members.get(update.name());
        if (member == null) {
            members.put(update.name(), new MemberState(update, nowMillis));
        } else {
            aliveMembers -= member.status() == MemberStatus.ALIVE ? 1 : 0;
            member.apply(update, nowMillis);
        }
        aliveMembers += update.status() == MemberStatus.ALIVE ? 1 : 0;
    }

    void removeExpiredTerminalMembers(double nowMillis) {
        countVisits(members.size());
        members.values()
                .removeIf(
                        member ->
                                member.status().isTerminal()
                                        && nowMillis - member.sinceMillis()
                                                > config.terminalRetentionMillis());
    }

    /**
     * Draws at most {@code count} alive members at random, except the one named {@code
     * excludedName}.
     */
    List<MemberState> sampleAlive(int count, String excludedName) {
        return sample(count, excludedName, false);
    }

    /** Draws at most {@code count} members at random that are alive or suspected. */
    List<MemberState> samplePresent(int count) {
        return sample(count, "", true);
    }

    private List<MemberState> sample(int count, String excludedName, boolean withSuspects) {
        countVisits(members.size());
        List<MemberState> candidates = new ArrayList<>();
        for (MemberState member : members.values()) {
            boolean eligible =
                    member.status() == MemberStatus.ALIVE
                            || (withSuspects && member.status() == MemberStatus.SUSPECT);
            if (eligible && !member.name().equals(excludedName)) {
                candidates.add(member);
            }
        }
        List<MemberState> sampled = new ArrayList<>();
        while (sampled.size() < count && !candidates.isEmpty()) {
            sampled.add(candidates.remove(random.nextInt(candidates.size())));
        }
        return sampled;
    }

    /** Counts entries that a caller is about to iterate over. */
    void countVisits(long entries) {
        visitedEntries += entries;
    }

    /** Entries iterated over so far, a measure of the cost of the size of the fleet. */
    long visitedEntries() {
        return visitedEntries;
    }
}
