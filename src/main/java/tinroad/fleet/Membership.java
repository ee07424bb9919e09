package tinroad.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * One member's part in the membership protocol of the fleet: SWIM (Das, Gupta, Motivala, DSN 2002)
 * with the extensions of Lifeguard (Dadgar, Phillips, Currey, 2017: local health, dynamic suspicion
 * timeout, buddy system). Members are probed in rounds, suspected before they are declared dead,
 * and refute what is claimed of them; updates are piggybacked on the messages of the probes. Beyond
 * the papers: an anti-entropy sync, and many members suspected at once are taken for a network
 * partition.
 *
 * <p>A pure state machine: messages and times (ms) go in, messages and changes go out through
 * {@link Transport}. The order of its random draws is part of what it does: the same seed and the
 * same events give the same messages. Owned by one thread.
 */
public final class Membership {
    /** Where messages and changes go. */
    public interface Transport {
        /** Sends to an address; the message may be lost. */
        void send(String address, Message message);

        /**
         * The current update on a member has changed; {@code before} is null where the member was
         * unknown.
         */
        void memberChanged(double nowMillis, MemberUpdate before, MemberUpdate after);
    }

    /**
     * The current update on a member.
     *
     * @param sinceMillis ms since it was applied
     */
    public record MemberEntry(MemberUpdate update, double sinceMillis) {}

    /** A tick that comes more than so many probe periods after the last one follows a pause. */
    private static final double PAUSE_PERIODS = 1;

    private final MembershipConfig config;
    private final Transport transport;
    private final LocalMember self;
    private final LocalHealth health;
    private final MemberTable members;
    private final SuspicionTracker suspicions;
    private final PiggybackQueue piggybackQueue;
    private final FailureDetector failureDetector;
    private final AntiEntropySync sync;
    private double lastTickMillis;
    private double nextGossipMillis;
    private boolean gossipPending;
    private boolean left;

    /**
     * @param self what this member claims of itself to begin with
     * @param seeds addresses that are known to begin with
     * @param seed of all random draws
     */
    public Membership(
            MemberUpdate self,
            List<String> seeds,
            MembershipConfig config,
            long seed,
            Transport transport) {
        this.config = config;
        this.transport = transport;
        this.self = new LocalMember(self);
        SplittableRandom random = new SplittableRandom(seed);
        health = new LocalHealth(config.maxHealthPenalty());
        members = new MemberTable(config, random);
        suspicions = new SuspicionTracker(config, random);
        piggybackQueue = new PiggybackQueue(config, members);
        failureDetector =
                new FailureDetector(
                        config, random, members, suspicions, piggybackQueue, health, transport);
        sync =
                new AntiEntropySync(
                        seeds, config, random, this.self, members, suspicions, transport);
    }

    /** Begins; the first probe and the first sync are spread over a probe period. */
    public void start(double nowMillis) {
        self.start(nowMillis);
        lastTickMillis = nowMillis;
        failureDetector.scheduleFirstProbe(nowMillis);
        sync.scheduleFirstSync(nowMillis);
    }

    /** Lets timers fire; to be called every few ms. A late call is taken for a pause. */
    public void tick(double nowMillis) {
        double sinceLastTickMillis = nowMillis - lastTickMillis;
        lastTickMillis = nowMillis;
        if (sinceLastTickMillis > config.probePeriodMillis() * PAUSE_PERIODS) {
            onPause(nowMillis, sinceLastTickMillis);
        }
        if (left) {
            return;
        }
        // Suspected: no ack to a direct ping or a ping-req by the probe's deadline.
        MemberState unreachable = failureDetector.checkProbe(nowMillis);
        if (unreachable != null) {
            apply(nowMillis, unreachable.update().as(MemberStatus.SUSPECT, self.name()));
        }
        failureDetector.sendDueNacks(nowMillis);
        // Dead: no refutation by the deadline, which an assumed partition moves on for a while.
        for (String name : suspicions.expired(nowMillis, members.aliveMembers())) {
            apply(nowMillis, members.get(name).update().as(MemberStatus.DEAD, self.name()));
        }
        failureDetector.probeIfDue(nowMillis);
        gossipIfDue(nowMillis);
        sync.syncIfDue(nowMillis);
    }

    /**
     * Guards the others against a member that was paused, and whose timers all fire at once: it
     * must not suspect them for acks that it could not receive. Plain SWIM does without.
     */
    private void onPause(double nowMillis, double pauseMillis) {
        if (!health.enabled()) {
            return;
        }
        health.degradeToWorst();
        suspicions.extendAll(pauseMillis);
        failureDetector.restartAfterPause(nowMillis);
        sync.syncAtNextTick(nowMillis);
    }

    /** Sends new updates to a few members at once, with a least pause between two rounds. */
    private void gossipIfDue(double nowMillis) {
        if (gossipPending && nowMillis >= nextGossipMillis) {
            gossipPending = false;
            nextGossipMillis = nowMillis + config.gossipPauseMillis();
            for (MemberState member : members.samplePresent(config.gossipFanout())) {
                transport.send(
                        member.address(), new Message.Sync(false, piggybackQueue.nextUpdates()));
            }
        }
    }

    /** A message came from this address. */
    public void receive(double nowMillis, String from, Message message) {
        if (left) {
            return;
        }
        for (MemberUpdate update : message.updates()) {
            apply(nowMillis, update);
        }
        if (message instanceof Message.Ping ping) {
            transport.send(from, new Message.Ack(ping.number(), piggybackQueue.nextUpdates()));
        } else if (message instanceof Message.Ack ack) {
            failureDetector.onAck(ack.number());
        } else if (message instanceof Message.Nack nack) {
            failureDetector.onNack(nack.number());
        } else if (message instanceof Message.PingRequest request) {
            failureDetector.onPingRequest(nowMillis, from, request);
        } else if (message instanceof Message.Sync request && request.replyWanted()) {
            sync.reply(from);
        }
    }

    /**
     * Applies an update, received or of this member's own failure detector, if it overrides the
     * current one.
     */
    private void apply(double nowMillis, MemberUpdate update) {
        if (update.name().equals(self.name())) {
            refute(nowMillis, update);
            return;
        }
        MemberState member = members.get(update.name());
        MemberUpdate before = member == null ? null : member.update();
        if (!update.overrides(before)) {
            if (confirmsSuspicion(before, update) && suspicions.confirm(update)) {
                piggybackQueue.add(update);
            }
            return;
        }
        if (member == null) {
            if (!members.admits(update)) {
                return;
            }
            failureDetector.onMemberAdded(update.name());
        }
        members.apply(nowMillis, update);
        suspicions.onUpdateApplied(nowMillis, update);
        disseminate(nowMillis, before, update);
    }

    private static boolean confirmsSuspicion(MemberUpdate current, MemberUpdate update) {
        return current.status() == MemberStatus.SUSPECT
                && update.status() == MemberStatus.SUSPECT
                && update.incarnation().equals(current.incarnation());
    }

    private void refute(double nowMillis, MemberUpdate claim) {
        MemberIncarnation refutation = self.refutationOf(claim);
        if (refutation == null) {
            return;
        }
        MemberUpdate before = self.update();
        self.raiseTo(nowMillis, refutation);
        disseminate(nowMillis, before, self.update());
        if (claim.incarnation().sameMembership(before.incarnation())) {
            health.degrade(1);
        }
    }

    private void disseminate(double nowMillis, MemberUpdate before, MemberUpdate after) {
        piggybackQueue.add(after);
        gossipPending = true;
        transport.memberChanged(nowMillis, before, after);
    }

    /** Leaves the fleet: notifies a few members, which pass it on. Nothing is sent after it. */
    public void leave(double nowMillis) {
        MemberUpdate before = self.update();
        self.leave();
        piggybackQueue.add(self.update());
        for (MemberState member : members.sampleAlive(2 * config.indirectProbes(), "")) {
            transport.send(
                    member.address(),
                    new Message.Ping(
                            failureDetector.nextSequenceNumber(), piggybackQueue.nextUpdates()));
        }
        left = true;
        transport.memberChanged(nowMillis, before, self.update());
    }

    /** All members: this one first, the others by name. */
    public List<MemberEntry> entries(double nowMillis) {
        List<MemberEntry> entries = new ArrayList<>();
        for (MemberState member : members.all()) {
            entries.add(new MemberEntry(member.update(), nowMillis - member.sinceMillis()));
        }
        entries.sort(Comparator.comparing(entry -> entry.update.name()));
        entries.add(0, new MemberEntry(self.update(), nowMillis - self.sinceMillis()));
        return entries;
    }

    /** What this member claims of itself. */
    public MemberUpdate self() {
        return self.update();
    }

    /** The other members; terminal ones are included for a while. */
    public Collection<MemberUpdate> others() {
        return members.all().stream().map(MemberState::update).toList();
    }

    /** The current update on another member, or null where it is unknown. */
    public MemberUpdate member(String name) {
        MemberState member = members.get(name);
        return member == null ? null : member.update();
    }

    /** Names of the other members that are not terminal. */
    public Set<String> presentMembers() {
        Set<String> names = new LinkedHashSet<>();
        for (MemberState member : members.all()) {
            if (!member.status().isTerminal()) {
                names.add(member.name());
            }
        }
        return names;
    }

    /** How many other members are alive. */
    int aliveMembers() {
        return members.aliveMembers();
    }

    /** Names of the suspected members. */
    Set<String> suspects() {
        return suspicions.names();
    }

    /** Whether so many members are suspected at once that a network partition is assumed. */
    public boolean suspectsPartition() {
        return suspicions.suspectsPartition(members.aliveMembers());
    }

    /**
     * Lifeguard's local health: 0 is healthy, {@link MembershipConfig#maxHealthPenalty()} worst.
     */
    public int healthPenalty() {
        return health.penalty();
    }

    /** Updates that are still passed on; none in a fleet at rest. */
    public int piggybackQueueSize() {
        return piggybackQueue.size();
    }

    /**
     * Entries of the member table and the piggyback queue walked through so far: a measure of what
     * the size of the fleet costs.
     */
    public long visitedEntries() {
        return members.visitedEntries() + piggybackQueue.visitedEntries();
    }
}
