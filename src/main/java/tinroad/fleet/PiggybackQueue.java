package tinroad.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * SWIM's infection-style dissemination: recent updates are piggybacked on messages that are sent
 * anyway. Each update is sent a number of times that grows with the logarithm of the size of the
 * fleet. The queue contains at most one update for each member.
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

    /** Queues an update; it replaces an older one on the same member. */
    void add(MemberUpdate update) {
        queue.put(update.name(), new QueuedUpdate(update));
    }

    /** Returns the updates for one message. */
    List<MemberUpdate> nextUpdates() {
        return nextUpdates(null);
    }

    /**
     * Returns the updates for one message to this member. A suspicion of the receiver itself comes
     * first (Lifeguard's buddy system), so that it can refute it.
     */
    List<MemberUpdate> nextUpdatesFor(MemberState receiver) {
        return nextUpdates(receiver.status() == MemberStatus.SUSPECT ? receiver.update() : null);
    }

    /**
     * Returns {@code first}, unless it is null, and then the updates that were sent the fewest
     * times.
     */
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

    /** Entries iterated over so far. */
    long visitedEntries() {
        return visitedEntries;
    }
}
