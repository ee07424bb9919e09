package tinroad.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * SWIM's infection-style dissemination: recent updates go with messages that are sent anyway, each
 * one a number of times that grows with the logarithm of the fleet. At most one update for each
 * member.
 */
final class PiggybackQueue {
    private static final double LN2 = Math.log(2);

    private static final class QueuedUpdate {
        private final MemberUpdate update;
        private int transmissions;

        QueuedUpdate(MemberUpdate update) {
            this.update = update;
        }
    }

    private final MembershipConfig config;
    private final MemberTable members;
    private final Map<String, QueuedUpdate> queue = new LinkedHashMap<>();
    private long visitedEntries;

    PiggybackQueue(MembershipConfig config, MemberTable members) {
        this.config = config;
        this.members = members;
    }

    /** Queues an update in place of an older one on the same member. */
    void add(MemberUpdate update) {
        queue.put(update.name(), new QueuedUpdate(update));
    }

    /** Updates for one message. */
    List<MemberUpdate> nextUpdates() {
        return nextUpdates(null);
    }

    /**
     * Updates for one message to this member: a suspicion on the receiver goes first (Lifeguard's
     * buddy system), so that it can refute it.
     */
    List<MemberUpdate> nextUpdatesFor(MemberState receiver) {
        return nextUpdates(receiver.status() == MemberStatus.SUSPECT ? receiver.update() : null);
    }

    /** The least transmitted updates first. */
    private List<MemberUpdate> nextUpdates(MemberUpdate first) {
        int maxTransmissions =
                config.retransmitMultiplier() * (int) Math.ceil(Math.log(members.size() + 2) / LN2);
        List<MemberUpdate> updates = new ArrayList<>();
        if (first != null) {
            updates.add(first);
        }
        visitedEntries += 2L * queue.size();
        queue.values().stream()
                .sorted(Comparator.comparingInt(queued -> queued.transmissions))
                .limit(config.maxPiggybackedUpdates())
                .forEach(
                        queued -> {
                            queued.transmissions++;
                            updates.add(queued.update);
                        });
        queue.values().removeIf(queued -> queued.transmissions >= maxTransmissions);
        return updates;
    }

    int size() {
        return queue.size();
    }

    /** Entries walked through so far. */
    long visitedEntries() {
        return visitedEntries;
    }
}
