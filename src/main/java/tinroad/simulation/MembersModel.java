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
 * Members of a fleet on virtual time: the program's own {@code fleet.Membership} over a network
 * that delays, loses and is cut. Checks at every change that versions only rise and that no stay
 * that is over comes back. Times in ms; the same seed is the same run.
 */
public final class MembersModel {
    private static final double STEP = 10;
    private static final double WAY_LEAST = 0.2;
    private static final double WAY_MOST = 2;

    /**
     * What a datagram costs beside its claims, and what a claim costs, in bytes: as on the wire.
     */
    private static final int DATAGRAM = 60;

    private static final int CLAIM = 56;

    /** One process of a member. */
    private final class Node implements Membership.Transport {
        private final int number;
        private final Membership membership;
        private final List<Runnable> missed = new ArrayList<>();
        private final Map<String, MemberIncarnation> highest = new HashMap<>();
        private boolean gone;
        private boolean stopped;

        Node(int number, long life) {
            this.number = number;
            String address = address(number);
            membership =
                    new Membership(
                            new MemberUpdate(
                                    "m" + number,
                                    address,
                                    "z" + number % zones,
                                    new MemberIncarnation(life, 0, 0),
                                    MemberStatus.ALIVE,
                                    "m" + number),
                            seeds,
                            tuning,
                            random.nextLong(),
                            this);
        }

        @Override
        public void send(String address, Message message) {
            int to = Integer.parseInt(address);
            packets++;
            bytes += DATAGRAM + CLAIM * message.updates().size();
            if (gone || random.nextDouble() < loss || cut.test(number, to)) {
                return;
            }
            agenda.at(
                    now + random.nextDouble(WAY_LEAST, WAY_MOST),
                    () -> {
                        Node node = nodes.get(to);
                        if (node.stopped) {
                            node.missed.add(
                                    () ->
                                            node.membership.receive(
                                                    now, Integer.toString(number), message));
                        } else if (!node.gone) {
                            node.membership.receive(now, Integer.toString(number), message);
                        }
                    });
        }

        @Override
        public void memberChanged(double at, MemberUpdate before, MemberUpdate after) {
            MemberIncarnation known =
                    highest.merge(
                            after.name(),
                            after.incarnation(),
                            (a, b) -> a.compareTo(b) >= 0 ? a : b);
            boolean mixed =
                    known.sameMembership(after.incarnation()) && after.status().isTerminal();
            if (!known.equals(after.incarnation()) && !mixed) {
                broken.add(
                        now
                                + ": m"
                                + number
                                + " went back on "
                                + after.name()
                                + ": "
                                + known
                                + " to "
                                + after.incarnation());
            }
            if (before != null
                    && before.status().isTerminal()
                    && !after.status().isTerminal()
                    && before.incarnation().sameMembership(after.incarnation())) {
                broken.add(
                        now
                                + ": m"
                                + number
                                + " has "
                                + after.name()
                                + " back from the dead: "
                                + after.incarnation());
            }
            int about = Integer.parseInt(after.name().substring(1));
            boolean lives = !nodes.get(about).gone;
            if (after.status() == MemberStatus.SUSPECT && lives) {
                falseSuspicions++;
            }
            if (after.status() == MemberStatus.DEAD
                    && lives
                    && nodes.get(about)
                            .membership
                            .self()
                            .incarnation()
                            .sameMembership(after.incarnation())) {
                falseDeaths.merge(after.name() + after.incarnation().restart(), 1, Integer::sum);
            }
        }
    }

    private final int zones;
    private final MembershipConfig tuning;
    private final SplittableRandom random;
    private final List<String> seeds;
    private final List<Node> nodes = new ArrayList<>();
    private final EventQueue agenda = new EventQueue();
    private final List<String> broken = new ArrayList<>();
    private final Map<String, Integer> falseDeaths = new LinkedHashMap<>();
    private BiPredicate<Integer, Integer> cut = (from, to) -> false;
    private double loss;
    private double now;
    private long packets;
    private long walkedBefore;
    private long bytes;
    private long falseSuspicions;

    /** So many members in so many zones, that know the first three to begin with. */
    public MembersModel(int members, int zones, MembershipConfig tuning, long seed) {
        this.zones = zones;
        this.tuning = tuning;
        random = new SplittableRandom(seed);
        seeds = List.of(address(0), address(1), address(2));
        for (int n = 0; n < members; n++) {
            nodes.add(new Node(n, 1));
        }
        nodes.forEach(n -> n.membership.start(now));
    }

    private static String address(int number) {
        return Integer.toString(number);
    }

    /** Lets time pass. */
    public void pass(double ms) {
        for (double end = now + ms; now < end; ) {
            now += STEP;
            agenda.run(now);
            for (Node n : nodes) {
                if (!n.gone && !n.stopped) {
                    n.membership.tick(now);
                }
            }
        }
    }

    /**
     * Lets time pass until all that live hold this of the member, at most so long; tells how long
     * it took.
     */
    public double until(int member, MemberStatus status, double most) {
        double from = now;
        while (now - from < most && !all(member, status)) {
            pass(STEP);
        }
        return now - from;
    }

    private boolean all(int member, MemberStatus status) {
        return nodes.stream()
                .filter(n -> !n.gone && !n.stopped && n.number != member)
                .allMatch(
                        n -> {
                            MemberUpdate c = n.membership.member("m" + member);
                            return c != null && c.status() == status;
                        });
    }

    /** Whether every one that lives holds every other that lives to be there, and nobody else. */
    public boolean whole() {
        long living = nodes.stream().filter(n -> !n.gone).count();
        return nodes.stream()
                .filter(n -> !n.gone)
                .allMatch(
                        n ->
                                n.membership.presentMembers().size() == living - 1
                                        && n.membership.others().stream()
                                                .noneMatch(
                                                        c -> c.status() == MemberStatus.SUSPECT));
    }

    /** Lets time pass until the view is whole, at most so long; tells how long it took. */
    public double untilWhole(double most) {
        double from = now;
        while (now - from < most && !whole()) {
            pass(STEP);
        }
        return now - from;
    }

    /** The member's process is killed. */
    public void kill(int member) {
        nodes.get(member).gone = true;
    }

    /** Another process of the member, with a later life. */
    public void restart(int member) {
        Node before = nodes.get(member);
        before.gone = true;
        Node next = new Node(member, before.membership.self().incarnation().process() + 1);
        nodes.set(member, next);
        next.membership.start(now);
    }

    /** The member says that it leaves, and ends. */
    public void leave(int member) {
        nodes.get(member).membership.leave(now);
        nodes.get(member).gone = true;
    }

    /**
     * The member stands still, or goes on: then what it was sent comes first, and all its timers at
     * once.
     */
    public void stop(int member, boolean on) {
        Node n = nodes.get(member);
        n.stopped = on;
        if (!on) {
            n.missed.forEach(Runnable::run);
            n.missed.clear();
        }
    }

    /** What does not get through, by sender and receiver. */
    public void cut(BiPredicate<Integer, Integer> lost) {
        cut = lost;
    }

    /** This part of all datagrams is lost. */
    public void loss(double part) {
        loss = part;
    }

    /** Counts anew from now on. */
    public void countAnew() {
        walkedBefore += walked();
        packets = 0;
        bytes = 0;
        falseSuspicions = 0;
        falseDeaths.clear();
    }

    /** Entries that all members have walked since the counts began. */
    public long walked() {
        return nodes.stream().mapToLong(n -> n.membership.visitedEntries()).sum() - walkedBefore;
    }

    /** Invariants that were broken. */
    public List<String> broken() {
        return broken;
    }

    /** Members that lived and were held dead by somebody. */
    public int falseDeaths() {
        return falseDeaths.size();
    }

    /** How often somebody began to suspect one that lived. */
    public long falseSuspicions() {
        return falseSuspicions;
    }

    /** Datagrams sent. */
    public long packets() {
        return packets;
    }

    /** Bytes sent. */
    public long bytes() {
        return bytes;
    }

    /** Whether this member takes the others' silence for a cut. */
    public boolean seesCut(int member) {
        return nodes.get(member).membership.suspectsPartition();
    }

    /** What a member holds of another, or null. */
    public MemberUpdate held(int by, int member) {
        return nodes.get(by).membership.member("m" + member);
    }
}
