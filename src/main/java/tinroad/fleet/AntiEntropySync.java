package tinroad.fleet;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * The periodic exchange of state with one random member, a part of the table at a time, so that its
 * cost doesn't grow with the fleet. Each time one message also goes to an address that no present
 * member has: an unknown seed, or a member that was declared dead. So the sides of a healed network
 * partition find each other again, and a fleet outlives its seeds.
 */
final class AntiEntropySync {
    /**
     * Updates in one message, the own one included: a datagram of 1,200 bytes has room for them.
     */
    private static final int MAX_UPDATES_PER_MESSAGE = 12;

    /** Messages in reply to a member that asks for them. */
    private static final int MAX_REPLY_MESSAGES = 2;

    /** Each period is drawn from this range around the configured one. */
    private static final double MIN_PERIOD_FACTOR = 0.75;

    private static final double MAX_PERIOD_FACTOR = 1.25;

    private final List<String> seeds;
    private final MembershipConfig config;
    private final SplittableRandom random;
    private final LocalMember self;
    private final MemberTable members;
    private final SuspicionTracker suspicions;
    private final Membership.Transport transport;

    /** The last member sent: the next message begins after it. */
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

    /** The first sync is at a random time within a probe period. */
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
        // More often while there are suspects: after a partition much has to be repaired.
        double periodMillis =
                suspicions.isEmpty() ? config.syncPeriodMillis() : config.probePeriodMillis();
        nextSyncMillis =
                nowMillis + periodMillis * random.nextDouble(MIN_PERIOD_FACTOR, MAX_PERIOD_FACTOR);
        members.removeExpiredTerminalMembers(nowMillis);
        sync();
    }

    private void sync() {
        List<MemberState> peers = members.samplePresent(1);
        Map<String, List<MemberUpdate>> absent = absentAddresses();
        if (!peers.isEmpty()) {
            sendPart(peers.get(0).address(), 1, true);
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

    /** Addresses that no present member has, each with what to send there. */
    private Map<String, List<MemberUpdate>> absentAddresses() {
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
            // One that was declared dead and is alive must learn of it, to rejoin.
            if (member.status() == MemberStatus.DEAD && !present.contains(member.address())) {
                absent.put(member.address(), List.of(self.update(), member.update()));
            }
        }
        return absent;
    }

    void reply(String address) {
        sendPart(address, MAX_REPLY_MESSAGES, false);
    }

    /** Sends the next few members of the table, in at most so many messages. */
    private void sendPart(String address, int maxMessages, boolean replyWanted) {
        members.countVisits(members.size());
        List<MemberState> all = new ArrayList<>(members.all());
        int membersPerMessage = MAX_UPDATES_PER_MESSAGE - 1;
        for (int part = 0;
                part < maxMessages && (part == 0 || part * membersPerMessage < all.size());
                part++) {
            List<MemberUpdate> updates = new ArrayList<>();
            updates.add(self.update());
            for (int i = 0; i < Math.min(membersPerMessage, all.size()); i++) {
                cursor = (cursor + 1) % all.size();
                updates.add(all.get(cursor).update());
            }
            transport.send(address, new Message.Sync(replyWanted && part == 0, updates));
        }
    }
}
