package tinroad.fleet;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * Anti-entropy: periodically exchanges part of the member table with one random member. A message
 * carries a bounded part of the table, so the cost does not grow with the size of the fleet. Each
 * round also sends one message to an address that no present member has: a seed that is not a known
 * member, or a member that was declared dead. This way the two sides of a healed network partition
 * find each other again, and the fleet does not depend on its seeds once it runs.
 */
final class AntiEntropySync {
    /**
     * Updates in one message, including the one on this member itself: as many as fit into a
     * datagram of 1,200 bytes.
     */
    private static final int MAX_UPDATES_PER_MESSAGE = 12;

    /** Messages sent in reply to a sync message that requests a reply. */
    private static final int MAX_REPLY_MESSAGES = 2;

    /**
     * The time until the next sync is the configured period times a random factor of this range.
     */
    private static final double MIN_PERIOD_FACTOR = 0.75;

    private static final double MAX_PERIOD_FACTOR = 1.25;

    private final List<String> seeds;
    private final MembershipConfig config;
    private final SplittableRandom random;
    private final LocalMember self;
    private final MemberTable members;
    private final SuspicionTracker suspicions;
    private final Membership.Transport transport;

    /**
     * Index in the member table of the last member that was sent; the next message begins after it.
     */
    private int cursor;

    private double nextSyncMillis;

    AntiEntropySync(
            List<String> seeds,
            MembershipConfig config,
            SplittableRandom random,
            LocalMember self,
            MemberTable members,
            SuspicionTracker suspicions,
            Membership.Transport transport) {
        this.seeds = seeds.stream().filter(seed -> !seed.equals(self.update().address())).toList();
        this.config = config;
        this.random = random;
        this.self = self;
        this.members = members;
        this.suspicions = suspicions;
        this.transport = transport;
    }

    /** Schedules the first sync at a random time within a probe period. */
    void scheduleFirstSync(double nowMillis) {
        nextSyncMillis = nowMillis + random.nextDouble() * config.probePeriodMillis();
    }

    void syncAtNextTick(double nowMillis) {
        nextSyncMillis = nowMillis;
    }

    void syncIfDue(double nowMillis) {
        if (nowMillis < nextSyncMillis) {
            return;
        }
        // Syncs more often while there are suspects: after a partition the tables differ in many
        // members.
        double periodMillis =
                suspicions.isEmpty() ? config.syncPeriodMillis() : config.probePeriodMillis();
        nextSyncMillis =
                nowMillis + periodMillis * random.nextDouble(MIN_PERIOD_FACTOR, MAX_PERIOD_FACTOR);
        members.removeExpiredTerminalMembers(nowMillis);
        sync();
    }

    private void sync() {
        List<MemberState> peers = members.samplePresent(1);
        Map<String, List<MemberUpdate>> absent = updatesByAbsentAddress();
        if (!peers.isEmpty()) {
            sendNextMembers(peers.get(0).address(), 1, true);
        }
        if (!absent.isEmpty()) {
            String address =
                    absent.keySet().stream()
                            .skip(random.nextInt(absent.size()))
                            .findFirst()
                            .orElseThrow();
            transport.send(address, new Message.Sync(true, absent.get(address)));
        }
    }

    /** Addresses that no present member has, each with the updates to send there. */
    private Map<String, List<MemberUpdate>> updatesByAbsentAddress() {
        Map<String, List<MemberUpdate>> absent = new LinkedHashMap<>();
        Set<String> present = new HashSet<>();
        members.countVisits(2L * members.size());
        for (MemberState member : members.all()) {
            if (!member.status().isTerminal()) {
                present.add(member.address());
            }
        }
        for (String seed : seeds) {
            if (!present.contains(seed)) {
                absent.put(seed, List.of(self.update()));
            }
        }
        for (MemberState member : members.all()) {
            // A member that was declared dead but is alive has to learn of it before it can rejoin.
            if (member.status() == MemberStatus.DEAD && !present.contains(member.address())) {
                absent.put(member.address(), List.of(self.update(), member.update()));
            }
        }
        return absent;
    }

    void reply(String address) {
        sendNextMembers(address, MAX_REPLY_MESSAGES, false);
    }

    /** Sends the next members of the table, in at most {@code maxMessages} messages. */
    private void sendNextMembers(String address, int maxMessages, boolean replyWanted) {
        members.countVisits(members.size());
        List<MemberState> all = new ArrayList<>(members.all());
        int membersPerMessage = MAX_UPDATES_PER_MESSAGE - 1;
        for (int messageIndex = 0;
                messageIndex < maxMessages
                        && (messageIndex == 0 || messageIndex * membersPerMessage < all.size());
                messageIndex++) {
            List<MemberUpdate> updates = new ArrayList<>();
            updates.add(self.update());
            for (int i = 0; i < Math.min(membersPerMessage, all.size()); i++) {
                cursor = (cursor + 1) % all.size();
                updates.add(all.get(cursor).update());
            }
            transport.send(address, new Message.Sync(replyWanted && messageIndex == 0, updates));
        }
    }
}
