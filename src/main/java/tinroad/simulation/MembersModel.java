package tinroad.simulation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.BiPredicate;
import tinroad.fleet.MemberIncarnation;
import tinroad.fleet.MemberStatus;
import tinroad.fleet.MemberUpdate;
import tinroad.fleet.Membership;
import tinroad.fleet.MembershipConfig;
import tinroad.fleet.Message;
import tinroad.lab.fake.EventQueue;

/**
 * Simulates the members of a fleet on virtual time: the program's own {@code fleet.Membership} over
 * a network that delays and loses datagrams and can be partitioned. Checks at every change that
 * incarnations only increase and that a membership that has ended does not become active again.
 * Times are in ms; the same seed gives the same run.
 */
public final class MembersModel {
    private static final double STEP_MILLIS = 10;
    private static final double MIN_DELAY_MILLIS = 0.2;
    private static final double MAX_DELAY_MILLIS = 2;

    /** Size of a datagram on the wire without its member updates. */
    private static final int DATAGRAM_OVERHEAD_BYTES = 60;

    /** Size of one member update on the wire. */
    private static final int UPDATE_BYTES = 56;

    /** A process of a member. */
    private final class Node implements Membership.Transport {
        private final int number;
        private final Membership membership;
        private final List<Runnable> queuedMessages = new ArrayList<>();
        private final Map<String, MemberIncarnation> highestIncarnations = new HashMap<>();
        private boolean ended;
        private boolean paused;

        Node(int number, long process) {
            this.number = number;
            String address = address(number);
            membership =
                    new Membership(
                            new MemberUpdate(
                                    "m" + number,
                                    address,
                                    "z" + number % zones,
                                    new MemberIncarnation(process, 0, 0),
                                    MemberStatus.ALIVE,
                                    "m" + number),
                            seeds,
                            config,
                            random.nextLong(),
                            this);
        }

        @Override
        public void send(String address, Message message) {
            int to = Integer.parseInt(address);
            packets++;
            bytes += DATAGRAM_OVERHEAD_BYTES + UPDATE_BYTES * message.updates().size();
            if (ended || random.nextDouble() < loss || dropRule.test(number, to)) {
                return;
            }
            events.at(
                    nowMillis + random.nextDouble(MIN_DELAY_MILLIS, MAX_DELAY_MILLIS),
                    () -> {
                        Node node = nodes.get(to);
                        if (node.paused) {
                            node.queuedMessages.add(
                                    () ->
                                            node.membership.receive(
                                                    nowMillis, Integer.toString(number), message));
                        } else if (!node.ended) {
                            node.membership.receive(nowMillis, Integer.toString(number), message);
                        }
                    });
        }

        @Override
        public void memberChanged(double at, MemberUpdate before, MemberUpdate after) {
            MemberIncarnation highestKnown =
                    highestIncarnations.merge(
                            after.name(),
                            after.incarnation(),
                            (a, b) -> a.compareTo(b) >= 0 ? a : b);
            boolean endedSameMembership =
                    highestKnown.sameMembership(after.incarnation()) && after.status().isTerminal();
            if (!highestKnown.equals(after.incarnation()) && !endedSameMembership) {
                violations.add(
                        nowMillis
                                + ": m"
                                + number
                                + " lowered the incarnation of "
                                + after.name()
                                + ": "
                                + highestKnown
                                + " to "
                                + after.incarnation());
            }
            if (before != null
                    && before.status().isTerminal()
                    && !after.status().isTerminal()
                    && before.incarnation().sameMembership(after.incarnation())) {
                violations.add(
                        nowMillis
                                + ": m"
                                + number
                                + " shows "
                                + after.name()
                                + " active again after its end: "
                                + after.incarnation());
            }
            int subject = Integer.parseInt(after.name().substring(1));
            boolean running = !nodes.get(subject).ended;
            if (after.status() == MemberStatus.SUSPECT && running) {
                falseSuspicions++;
            }
            if (after.status() == MemberStatus.DEAD
                    && running
                    && nodes.get(subject)
                            .membership
                            .self()
                            .incarnation()
                            .sameMembership(after.incarnation())) {
                falseDeaths.merge(after.name() + after.incarnation().restart(), 1, Integer::sum);
            }
        }
    }

    private final int zones;
    private final MembershipConfig config;
    private final SplittableRandom random;
    private final List<String> seeds;
    private final List<Node> nodes = new ArrayList<>();
    private final EventQueue events = new EventQueue();
    private final List<String> violations = new ArrayList<>();
    private final Map<String, Integer> falseDeaths = new LinkedHashMap<>();
    private BiPredicate<Integer, Integer> dropRule = (from, to) -> false;
    private double loss;
    private double nowMillis;
    private long packets;
    private long visitedBefore;
    private long bytes;
    private long falseSuspicions;

    /**
     * Starts {@code members} members in {@code zones} zones; the first three members are the seeds.
     */
    public MembersModel(int members, int zones, MembershipConfig config, long seed) {
        this.zones = zones;
        this.config = config;
        random = new SplittableRandom(seed);
        seeds = List.of(address(0), address(1), address(2));
        for (int n = 0; n < members; n++) {
            nodes.add(new Node(n, 1));
        }
        nodes.forEach(n -> n.membership.start(nowMillis));
    }

    private static String address(int number) {
        return Integer.toString(number);
    }

    /** Advances the virtual time. */
    public void advance(double durationMillis) {
        for (double end = nowMillis + durationMillis; nowMillis < end; ) {
            nowMillis += STEP_MILLIS;
            events.run(nowMillis);
            for (Node n : nodes) {
                if (!n.ended && !n.paused) {
                    n.membership.tick(nowMillis);
                }
            }
        }
    }

    /**
     * Advances the time until all running members see this status of the member, by at most {@code
     * maxMillis}; returns the time it took.
     */
    public double advanceUntil(int member, MemberStatus status, double maxMillis) {
        double from = nowMillis;
        while (nowMillis - from < maxMillis && !allSee(member, status)) {
            advance(STEP_MILLIS);
        }
        return nowMillis - from;
    }

    private boolean allSee(int member, MemberStatus status) {
        return nodes.stream()
                .filter(n -> !n.ended && !n.paused && n.number != member)
                .allMatch(
                        n -> {
                            MemberUpdate latest = n.membership.member("m" + member);
                            return latest != null && latest.status() == status;
                        });
    }

    /** Whether every running member sees exactly the other running members, and suspects none. */
    public boolean converged() {
        long running = nodes.stream().filter(n -> !n.ended).count();
        return nodes.stream()
                .filter(n -> !n.ended)
                .allMatch(
                        n ->
                                n.membership.presentMembers().size() == running - 1
                                        && n.membership.others().stream()
                                                .noneMatch(
                                                        c -> c.status() == MemberStatus.SUSPECT));
    }

    /**
     * Advances the time until all views have converged, by at most {@code maxMillis}; returns the
     * time it took.
     */
    public double advanceUntilConverged(double maxMillis) {
        double from = nowMillis;
        while (nowMillis - from < maxMillis && !converged()) {
            advance(STEP_MILLIS);
        }
        return nowMillis - from;
    }

    /** Kills the member's process. */
    public void kill(int member) {
        nodes.get(member).ended = true;
    }

    /** Replaces the member's process by a new one with the next process number. */
    public void restart(int member) {
        Node previous = nodes.get(member);
        previous.ended = true;
        Node next = new Node(member, previous.membership.self().incarnation().process() + 1);
        nodes.set(member, next);
        next.membership.start(nowMillis);
    }

    /** Ends the member after it has announced that it leaves. */
    public void leave(int member) {
        nodes.get(member).membership.leave(nowMillis);
        nodes.get(member).ended = true;
    }

    /**
     * Pauses or resumes the member. After a pause it first receives the messages that arrived
     * meanwhile; then all timers that have expired run at once.
     */
    public void setPaused(int member, boolean on) {
        Node n = nodes.get(member);
        n.paused = on;
        if (!on) {
            n.queuedMessages.forEach(Runnable::run);
            n.queuedMessages.clear();
        }
    }

    /** Sets which datagrams are dropped, by sender and receiver. */
    public void setDropRule(BiPredicate<Integer, Integer> rule) {
        dropRule = rule;
    }

    /** Sets the share of all datagrams that is lost. */
    public void setLoss(double share) {
        loss = share;
    }

    /** Resets all counters. */
    public void resetCounters() {
        visitedBefore += visitedEntries();
        packets = 0;
        bytes = 0;
        falseSuspicions = 0;
        falseDeaths.clear();
    }

    /** Entries that all members have visited since the last reset of the counters. */
    public long visitedEntries() {
        return nodes.stream().mapToLong(n -> n.membership.visitedEntries()).sum() - visitedBefore;
    }

    /** Invariant violations so far. */
    public List<String> violations() {
        return violations;
    }

    /** Number of memberships that another member declared dead while they were active. */
    public int falseDeaths() {
        return falseDeaths.size();
    }

    /** How often a member began to suspect a running member. */
    public long falseSuspicions() {
        return falseSuspicions;
    }

    /** Datagrams sent since the last reset of the counters. */
    public long packets() {
        return packets;
    }

    /** Bytes sent since the last reset of the counters. */
    public long bytes() {
        return bytes;
    }

    /** Whether this member suspects a network partition. */
    public boolean suspectsPartition(int member) {
        return nodes.get(member).membership.suspectsPartition();
    }

    /** The latest update about a member that the observer has, or null. */
    public MemberUpdate latestUpdate(int observer, int member) {
        return nodes.get(observer).membership.member("m" + member);
    }
}
