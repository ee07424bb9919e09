package tinroad.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * The membership protocol as one member runs it: SWIM (Das, Gupta, Motivala, DSN 2002) with the
 * extensions of Lifeguard (Dadgar, Phillips, Currey, 2017: local health, dynamic suspicion timeout,
 * buddy system). Members are probed in rounds, suspected before they are declared dead, and refute
 * claims about themselves. Updates are piggybacked on the messages of the probes. Two things go
 * beyond the papers: an anti-entropy sync, and a network partition is assumed when many members are
 * suspected at once.
 *
 * <p>A pure state machine: messages and times (in ms) are its input, messages and changes its
 * output, through {@link Transport}. The order of its random draws is part of its behavior: the
 * same seed and the same events lead to the same messages. Used by one thread.
 */
public final class Membership {
    /** Sends messages, and is notified of changes. */
    public interface Transport {
        /** Sends a message to an address; it may be lost. */
        void send(String address, Message message);

        /**
         * Called when the current update on a member has changed; {@code before} is null if the
         * member was unknown.
         */
        void memberChanged(double nowMillis, MemberUpdate before, MemberUpdate after);
    }

    /**
     * The current update on a member.
     *
     * @param sinceMillis ms since the update was applied
     */
    public record MemberEntry(MemberUpdate update, double sinceMillis) {}

    /**
     * The longest time between two ticks, in probe periods. After a longer one the process is
     * assumed to have been paused.
     */
    private static final double MAX_TICK_GAP_PROBE_PERIODS = 1;

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
     * Creates the membership; {@link #start} begins the protocol.
     *
     * @param self the first update of this member on itself
     * @param seeds addresses that are known from the start
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

    /**
     * Starts the protocol. The first probe and the first sync are at random times within a probe
     * period.
     */
    public void start(double nowMillis) {
        self.start(nowMillis);
        lastTickMillis = nowMillis;
        failureDetector.scheduleFirstProbe(nowMillis);
        sync.scheduleFirstSync(nowMillis);
    }

    /**
     * Runs what is due. To be called every few ms; a late call is taken for a pause of the process.
     */
    public void tick(double nowMillis) {
        double sinceLastTickMillis = nowMillis - lastTickMillis;
        lastTickMillis = nowMillis;
        if (sinceLastTickMillis > config.probePeriodMillis() * MAX_TICK_GAP_PROBE_PERIODS) {
            onPause(nowMillis, sinceLastTickMillis);
        }
        if (left) {
            return;
        }
        // A member is suspected if no ack, to a direct ping or a ping-req, arrives by the deadline
        // of the probe.
        MemberState unreachable = failureDetector.checkProbe(nowMillis);
        if (unreachable != null) {
            apply(nowMillis, unreachable.update().withStatus(MemberStatus.SUSPECT, self.name()));
        }
        failureDetector.sendDueNacks(nowMillis);
        // A suspect is declared dead if it sends no refutation by its deadline, which is postponed
        // for some time while a partition is assumed.
        for (String name : suspicions.expired(nowMillis, members.aliveMembers())) {
            apply(nowMillis, members.get(name).update().withStatus(MemberStatus.DEAD, self.name()));
        }
        failureDetector.probeIfDue(nowMillis);
        gossipIfDue(nowMillis);
        sync.syncIfDue(nowMillis);
    }

    /**
     * Prevents a member that was paused, and whose timers now all fire at once, from suspecting
     * others for acks that it could not receive. Plain SWIM does not do this.
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

    /** Sends new updates to a few members at once, with a minimum pause between two rounds. */
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

    /** Handles a message that was received from the address {@code from}. */
    public void receive(double nowMillis, String from, Message message) {
        if (left) {
            return;
        }
        for (MemberUpdate update : message.updates()) {
            apply(nowMillis, update);
        }
        if (message instanceof Message.Ping ping) {
            transport.send(
                    from, new Message.Ack(ping.sequenceNumber(), piggybackQueue.nextUpdates()));
        } else if (message instanceof Message.Ack ack) {
            failureDetector.onAck(ack.sequenceNumber());
        } else if (message instanceof Message.Nack nack) {
            failureDetector.onNack(nack.sequenceNumber());
        } else if (message instanceof Message.PingRequest request) {
            failureDetector.onPingRequest(nowMillis, from, request);
        } else if (message instanceof Message.Sync request && request.replyWanted()) {
            sync.reply(from);
        }
    }

    /**
     * Applies an update, received or from this member's own failure detector, if it overrides the
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
        self.raiseIncarnation(nowMillis, refutation);
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

    /** Leaves the fleet: notifies a few members, which disseminate it. Sends nothing afterwards. */
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

    /** Returns all members: this one first, the others sorted by name. */
    public List<MemberEntry> entries(double nowMillis) {
        List<MemberEntry> entries = new ArrayList<>();
        for (MemberState member : members.all()) {
            entries.add(new MemberEntry(member.update(), nowMillis - member.sinceMillis()));
        }
        entries.sort(Comparator.comparing(entry -> entry.update.name()));
        entries.add(0, new MemberEntry(self.update(), nowMillis - self.sinceMillis()));
        return entries;
    }

    /** The current update of this member on itself. */
    public MemberUpdate self() {
        return self.update();
    }

    /** The current updates on the other members. Terminal members are included for some time. */
    public Collection<MemberUpdate> others() {
        return members.all().stream().map(MemberState::update).toList();
    }

    /** The current update on another member, or null if it is unknown. */
    public MemberUpdate member(String name) {
        MemberState member = members.get(name);
        return member == null ? null : member.update();
    }

    /** Names of the other members whose status is not terminal. */
    public Set<String> presentMembers() {
        Set<String> names = new LinkedHashSet<>();
        for (MemberState member : members.all()) {
            if (!member.status().isTerminal()) {
                names.add(member.name());
            }
        }
        return names;
    }

    /** The number of other members that are alive. */
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
     * The penalty of Lifeguard's local health, from 0, healthy, to {@link
     * MembershipConfig#maxHealthPenalty()}.
     */
    public int healthPenalty() {
        return health.penalty();
    }

    /** The number of updates still to be disseminated; 0 in a fleet without changes. */
    public int piggybackQueueSize() {
        return piggybackQueue.size();
    }

    /**
     * Entries of the member table and the piggyback queue iterated over so far, a measure of the
     * cost of the size of the fleet.
     */
    public long visitedEntries() {
        return members.visitedEntries() + piggybackQueue.visitedEntries();
    }
}
