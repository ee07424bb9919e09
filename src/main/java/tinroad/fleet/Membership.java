package tinroad.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * One member's part in the fleet: it probes the others in a shuffled round, asks others to probe
 * for it, suspects before it declares dead, refutes what is said of itself, and doubts itself first
 * where its own probes fail or its own time stood still. Messages and time come in, messages and
 * changes go out. Times in ms. Owned by one thread.
 */
public final class Membership {
    /** Where messages and news go. */
    public interface Transport {
        /** Sends to an address; may be lost. */
        void send(String address, Message message);

        /** What is held of a member has changed; {@code before} is null where it was unknown. */
        void memberChanged(double nowMillis, MemberUpdate before, MemberUpdate after);
    }

    /** Members that are told of in one part of a sync: a datagram of 1,200 bytes holds them. */
    private static final int SYNC_PART = 12;

    /** Parts that one who wants them gets at once. */
    private static final int SYNC_PARTS = 2;

    /**
     * A tick this much later than it was to come, in periods, is a time in which this member stood
     * still.
     */
    private static final double STOOD_STILL = 1;

    private static final double LN2 = Math.log(2);

    /** What is held of another member. */
    private static final class Held {
        private MemberUpdate claim;
        private double since;
        private double suspectUntil;
        private double suspectedAt;
        private final Set<String> suspectedBy = new HashSet<>();
    }

    /** A probe under way. */
    private static final class Probe {
        private final String name;
        private final long number;
        private final double directUntil;
        private final double until;
        private int asked;
        private int nacks;

        Probe(String name, long number, double directUntil, double until) {
            this.name = name;
            this.number = number;
            this.directUntil = directUntil;
            this.until = until;
        }
    }

    /** A probe on another's behalf. */
    private record Behalf(String forAddress, long theirNumber, double nackAt) {}

    private static final class Riding {
        private final MemberUpdate claim;
        private int sent;

        Riding(MemberUpdate claim) {
            this.claim = claim;
        }
    }

    private final MembershipConfig tuning;
    private final SplittableRandom random;
    private final Transport out;
    private final List<String> seeds;
    private final Map<String, Held> members = new LinkedHashMap<>();
    private final Map<String, Riding> piggybackQueueSize = new LinkedHashMap<>();
    private final Map<Long, Behalf> behalf = new LinkedHashMap<>();
    private final List<String> round = new ArrayList<>();
    private final Set<String> suspects = new LinkedHashSet<>();
    private int alive;

    /** Where the next part of a sync begins. */
    private int cursor;

    private MemberUpdate self;
    private Probe probe;
    private long numbers;
    private int healthPenalty;
    private double nextProbe;
    private double nextSync;
    private double nextNews;
    private boolean news;
    private double lastTick;
    private double selfSince;
    private boolean left;
    private long visitedEntries;

    /** A member that stands as {@code self} says, and knows these addresses to begin with. */
    public Membership(
            MemberUpdate self,
            List<String> seeds,
            MembershipConfig tuning,
            long seed,
            Transport out) {
        this.self = self;
        this.seeds = seeds.stream().filter(a -> !a.equals(self.address())).toList();
        this.tuning = tuning;
        this.out = out;
        random = new SplittableRandom(seed);
    }

    /**
     * Begins: the first probes and the first word to a seed are spread over a period, so that a
     * fleet does not begin as one.
     */
    public void start(double nowMillis) {
        selfSince = nowMillis;
        lastTick = nowMillis;
        nextProbe = nowMillis + random.nextDouble() * tuning.probePeriodMillis();
        nextSync = nowMillis + random.nextDouble() * tuning.probePeriodMillis();
    }

    // --- time ---

    /** Time passes; called every few ms, or late where this member stood still. */
    public void tick(double nowMillis) {
        double late = nowMillis - lastTick;
        lastTick = nowMillis;
        if (late > tuning.probePeriodMillis() * STOOD_STILL) {
            stoodStill(nowMillis, late);
        }
        if (left) {
            return;
        }
        judgeProbe(nowMillis);
        behalf.values()
                .removeIf(
                        b -> {
                            if (nowMillis >= b.nackAt && tuning.maxHealthPenalty() > 0) {
                                out.send(b.forAddress, new Message.Nack(b.theirNumber, ride()));
                            }
                            return nowMillis >= b.nackAt;
                        });
        judgeSuspects(nowMillis);
        if (nowMillis >= nextProbe && probe == null) {
            nextProbe = nowMillis + tuning.probePeriodMillis() * (1 + healthPenalty);
            probe(nowMillis);
        }
        if (news && nowMillis >= nextNews) {
            news = false;
            nextNews = nowMillis + tuning.gossipPauseMillis();
            pick(tuning.gossipFanout(), "", true)
                    .forEach(h -> out.send(h.claim.address(), new Message.Sync(false, ride())));
        }
        if (nowMillis >= nextSync) {
            // While something is not clear, more often: after a cut there is much to be put right.
            nextSync =
                    nowMillis
                            + (suspects.isEmpty()
                                            ? tuning.syncPeriodMillis()
                                            : tuning.probePeriodMillis())
                                    * random.nextDouble(0.75, 1.25);
            visitedEntries += members.size();
            members.values()
                    .removeIf(
                            h ->
                                    h.claim.status().isTerminal()
                                            && nowMillis - h.since
                                                    > tuning.terminalRetentionMillis());
            sync();
        }
    }

    /**
     * Guards the others against a member whose timers all fall due at once: what it did not hear it
     * can't hold against them.
     */
    private void stoodStill(double nowMillis, double late) {
        if (tuning.maxHealthPenalty() == 0) {
            return;
        }
        healthPenalty = tuning.maxHealthPenalty();
        probe = null;
        for (Held h : members.values()) {
            h.suspectUntil += late;
        }
        nextProbe = nowMillis + tuning.probePeriodMillis() * random.nextDouble();
        nextSync = nowMillis;
    }

    /**
     * Whose time to speak for itself is over is dead, unless many fell silent together: that is a
     * cut, or a restart of many, and nobody can tell from one side. They stay suspected, and are
     * waited for.
     */
    private void judgeSuspects(double nowMillis) {
        if (suspects.isEmpty()) {
            return;
        }
        boolean cut = suspectsPartition();
        for (String name : List.copyOf(suspects)) {
            Held h = members.get(name);
            if (cut && nowMillis < h.suspectedAt + tuning.partitionWaitMillis()) {
                // Once it is healed, each has its time to speak for itself: the last ones must not
                // fall as the others are cleared.
                h.suspectUntil = Math.max(h.suspectUntil, nowMillis + tuning.minSuspicionMillis());
            } else if (nowMillis >= h.suspectUntil) {
                hear(nowMillis, h.claim.as(MemberStatus.DEAD, self.name()));
            }
        }
    }

    /** Whether so many are silent together that it is taken for a cut, or for this member's own. */
    public boolean suspectsPartition() {
        return suspects.size() >= tuning.partitionMinMembers()
                && suspects.size() >= tuning.partitionShare() * (alive + suspects.size());
    }

    private void judgeProbe(double nowMillis) {
        if (probe == null) {
            return;
        }
        Held h = members.get(probe.name);
        if (h == null || h.claim.status().isTerminal()) {
            probe = null;
        } else if (nowMillis >= probe.until) {
            // Who asked others, and hears not even that they have no answer, is itself the one that
            // hears little.
            worsen(
                    probe.asked == 0 || probe.nacks < probe.asked
                            ? Math.max(1, probe.asked - probe.nacks)
                            : 0);
            probe = null;
            hear(nowMillis, h.claim.as(MemberStatus.SUSPECT, self.name()));
        } else if (nowMillis >= probe.directUntil && probe.asked == 0) {
            List<Held> others = pick(tuning.indirectProbes(), probe.name, false);
            probe.asked = others.size();
            others.forEach(
                    o ->
                            out.send(
                                    o.claim.address(),
                                    new Message.PingRequest(
                                            probe.number, h.claim.address(), ride())));
        }
    }

    private void worsen(int by) {
        healthPenalty = Math.min(tuning.maxHealthPenalty(), healthPenalty + by);
    }

    private void probe(double nowMillis) {
        // One probe of four goes to one that is suspected: only then it hears of it for sure, and
        // speaks for itself.
        Held h = !suspects.isEmpty() && random.nextInt(4) == 0 ? suspect() : next();
        if (h == null) {
            return;
        }
        long number = ++numbers;
        double scale = 1 + healthPenalty;
        probe =
                new Probe(
                        h.claim.name(),
                        number,
                        nowMillis + tuning.probeTimeoutMillis() * scale,
                        nowMillis + 0.9 * tuning.probePeriodMillis() * scale);
        out.send(h.claim.address(), new Message.Ping(number, rideWith(h.claim)));
    }

    private Held suspect() {
        return members.get(
                suspects.stream().skip(random.nextInt(suspects.size())).findFirst().orElseThrow());
    }

    /**
     * The next of a round in which each member that may be there comes once, in an order drawn
     * anew.
     */
    private Held next() {
        for (int tries = 0; tries < 2; tries++) {
            while (!round.isEmpty()) {
                Held h = members.get(round.remove(round.size() - 1));
                if (h != null && !h.claim.status().isTerminal()) {
                    return h;
                }
            }
            visitedEntries += members.size();
            members.forEach(
                    (name, h) -> {
                        if (!h.claim.status().isTerminal()) {
                            round.add(name);
                        }
                    });
            shuffle(round);
        }
        return null;
    }

    private void shuffle(List<String> list) {
        for (int i = list.size() - 1; i > 0; i--) {
            Collections.swap(list, i, random.nextInt(i + 1));
        }
    }

    /** A few others, drawn: those that answer, or, {@code suspected}, also those that may. */
    private List<Held> pick(int most, String except, boolean suspected) {
        visitedEntries += members.size();
        List<Held> all =
                new ArrayList<>(
                        members.values().stream()
                                .filter(
                                        h ->
                                                h.claim.status() == MemberStatus.ALIVE
                                                        || (suspected
                                                                && h.claim.status()
                                                                        == MemberStatus.SUSPECT))
                                .filter(h -> !h.claim.name().equals(except))
                                .toList());
        List<Held> picked = new ArrayList<>();
        while (picked.size() < most && !all.isEmpty()) {
            picked.add(all.remove(random.nextInt(all.size())));
        }
        return picked;
    }

    /**
     * A part of what is held goes to one other, which answers with its own; and a word to one that
     * nobody is with: a seed that is not known, or one that is held dead. So what a cut kept apart
     * finds together again, and a fleet outlives its seeds.
     */
    private void sync() {
        List<Held> there = pick(1, "", true);
        Map<String, List<MemberUpdate>> gone = new LinkedHashMap<>();
        Set<String> known = new HashSet<>();
        visitedEntries += 2L * members.size();
        members.values().stream()
                .filter(h -> !h.claim.status().isTerminal())
                .forEach(h -> known.add(h.claim.address()));
        seeds.stream().filter(a -> !known.contains(a)).forEach(a -> gone.put(a, List.of(self)));
        // Who is held dead, and lives, must hear of it: only another stay brings it back.
        members.values().stream()
                .filter(
                        h ->
                                h.claim.status() == MemberStatus.DEAD
                                        && !known.contains(h.claim.address()))
                .forEach(h -> gone.put(h.claim.address(), List.of(self, h.claim)));
        if (!there.isEmpty()) {
            tell(there.get(0).claim.address(), 1, true);
        }
        if (!gone.isEmpty()) {
            String address =
                    gone.keySet().stream()
                            .skip(random.nextInt(gone.size()))
                            .findFirst()
                            .orElseThrow();
            out.send(address, new Message.Sync(true, gone.get(address)));
        }
    }

    /**
     * A few parts of all that is held, the next ones each time: what it costs does not grow with
     * the fleet.
     */
    private void tell(String address, int parts, boolean wants) {
        visitedEntries += members.size();
        List<Held> all = new ArrayList<>(members.values());
        for (int part = 0;
                part < parts && (part == 0 || part * (SYNC_PART - 1) < all.size());
                part++) {
            List<MemberUpdate> claims = new ArrayList<>();
            claims.add(self);
            for (int i = 0; i < Math.min(SYNC_PART - 1, all.size()); i++) {
                cursor = (cursor + 1) % all.size();
                claims.add(all.get(cursor).claim);
            }
            out.send(address, new Message.Sync(wants && part == 0, claims));
        }
    }

    // --- messages ---

    /** A message came from this address. */
    public void receive(double nowMillis, String from, Message message) {
        if (left) {
            return;
        }
        message.updates().forEach(c -> hear(nowMillis, c));
        if (message instanceof Message.Ping ping) {
            out.send(from, new Message.Ack(ping.number(), ride()));
        } else if (message instanceof Message.Ack ack) {
            acked(ack.number());
        } else if (message instanceof Message.Nack nack) {
            if (probe != null && probe.number == nack.number()) {
                probe.nacks++;
            }
        } else if (message instanceof Message.Sync sync) {
            if (sync.replyWanted()) {
                tell(from, SYNC_PARTS, false);
            }
        } else if (message instanceof Message.PingRequest ask
                && behalf.size() < tuning.maxMembers()) {
            long number = ++numbers;
            behalf.put(
                    number,
                    new Behalf(from, ask.number(), nowMillis + tuning.probeTimeoutMillis()));
            out.send(ask.address(), new Message.Ping(number, ride()));
        }
    }

    private void acked(long number) {
        Behalf b = behalf.remove(number);
        if (b != null) {
            out.send(b.forAddress, new Message.Ack(b.theirNumber, ride()));
        } else if (probe != null && probe.number == number) {
            probe = null;
            healthPenalty = Math.max(0, healthPenalty - 1);
        }
    }

    // --- claims ---

    private void hear(double nowMillis, MemberUpdate claim) {
        if (claim.name().equals(self.name())) {
            ofMyself(nowMillis, claim);
            return;
        }
        Held h = members.get(claim.name());
        MemberUpdate before = h == null ? null : h.claim;
        if (!claim.overrides(before)) {
            if (before.status() == MemberStatus.SUSPECT
                    && claim.status() == MemberStatus.SUSPECT
                    && claim.incarnation().equals(before.incarnation())) {
                confirm(h, claim);
            }
            return;
        }
        if (h == null) {
            if (members.size() >= tuning.maxMembers() || claim.status().isTerminal()) {
                return;
            }
            h = new Held();
            members.put(claim.name(), h);
            round.add(round.isEmpty() ? 0 : random.nextInt(round.size() + 1), claim.name());
        }
        count(before, -1);
        count(claim, 1);
        h.claim = claim;
        h.since = nowMillis;
        h.suspectedBy.clear();
        if (claim.status() == MemberStatus.SUSPECT) {
            h.suspectedAt = nowMillis;
            h.suspectedBy.add(claim.by());
            h.suspectUntil = nowMillis + tuning.maxSuspicionMillis();
        }
        piggybackQueueSize.put(claim.name(), new Riding(claim));
        news = true;
        out.memberChanged(nowMillis, before, claim);
    }

    private void count(MemberUpdate claim, int by) {
        if (claim != null && claim.status() == MemberStatus.ALIVE) {
            alive += by;
        } else if (claim != null && claim.status() == MemberStatus.SUSPECT) {
            if (by > 0) {
                suspects.add(claim.name());
            } else {
                suspects.remove(claim.name());
            }
        }
    }

    /** Others that found it silent, too, shorten its time; one that hears little alone does not. */
    private void confirm(Held h, MemberUpdate claim) {
        if (h.suspectedBy.size() <= tuning.confirmations() && h.suspectedBy.add(claim.by())) {
            double part = Math.log(h.suspectedBy.size()) / Math.log(tuning.confirmations() + 1);
            double time =
                    Math.max(
                            tuning.minSuspicionMillis(),
                            tuning.maxSuspicionMillis()
                                    - (tuning.maxSuspicionMillis() - tuning.minSuspicionMillis())
                                            * part);
            h.suspectUntil = Math.min(h.suspectUntil, h.suspectedAt + time);
            piggybackQueueSize.put(claim.name(), new Riding(claim));
        }
    }

    private void ofMyself(double nowMillis, MemberUpdate claim) {
        boolean mine = claim.incarnation().sameMembership(self.incarnation());
        if (mine && claim.status().isTerminal()) {
            // Declared dead, and alive: that stay is over, another begins.
            rise(nowMillis, self.incarnation().rising(claim.incarnation().restart()));
            worsen(1);
        } else if (mine
                && claim.status() == MemberStatus.SUSPECT
                && claim.incarnation().refutation() >= self.incarnation().refutation()) {
            rise(nowMillis, self.incarnation().refuting(claim.incarnation().refutation()));
            worsen(1);
        } else if (claim.incarnation().process() == self.incarnation().process()
                && claim.incarnation().restart() > self.incarnation().restart()) {
            rise(nowMillis, self.incarnation().rising(claim.incarnation().restart()));
        }
    }

    private void rise(double nowMillis, MemberIncarnation version) {
        MemberUpdate before = self;
        self =
                new MemberUpdate(
                        self.name(),
                        self.address(),
                        self.zone(),
                        version,
                        MemberStatus.ALIVE,
                        self.name());
        selfSince = nowMillis;
        piggybackQueueSize.put(self.name(), new Riding(self));
        news = true;
        out.memberChanged(nowMillis, before, self);
    }

    private List<MemberUpdate> ride() {
        return rideWith(null);
    }

    /**
     * Claims that were sent on least first; with one on whom they go to, who then may speak for
     * itself.
     */
    private List<MemberUpdate> rideWith(MemberUpdate first) {
        int most =
                tuning.retransmitMultiplier() * (int) Math.ceil(Math.log(members.size() + 2) / LN2);
        List<MemberUpdate> picked = new ArrayList<>();
        if (first != null && first.status() == MemberStatus.SUSPECT) {
            picked.add(first);
        }
        visitedEntries += 2L * piggybackQueueSize.size();
        piggybackQueueSize.values().stream()
                .sorted(Comparator.comparingInt(r -> r.sent))
                .limit(tuning.maxPiggybackedUpdates())
                .forEach(
                        r -> {
                            r.sent++;
                            picked.add(r.claim);
                        });
        piggybackQueueSize.values().removeIf(r -> r.sent >= most);
        return picked;
    }

    // --- the end, and what is held ---

    /** Says that it leaves, to a few who tell the others. */
    public void leave(double nowMillis) {
        MemberUpdate before = self;
        self = self.as(MemberStatus.LEFT, self.name());
        piggybackQueueSize.put(self.name(), new Riding(self));
        for (Held h : pick(2 * tuning.indirectProbes(), "", false)) {
            out.send(h.claim.address(), new Message.Ping(++numbers, ride()));
        }
        left = true;
        out.memberChanged(nowMillis, before, self);
    }

    /** What is held of a member, and for how long, in ms. */
    public record MemberEntry(MemberUpdate update, double sinceMillis) {}

    /** All that is held, itself first, the others by name. */
    public List<MemberEntry> entries(double nowMillis) {
        List<MemberEntry> lines = new ArrayList<>();
        members.values().forEach(h -> lines.add(new MemberEntry(h.claim, nowMillis - h.since)));
        lines.sort(Comparator.comparing(l -> l.update.name()));
        lines.add(0, new MemberEntry(self, nowMillis - selfSince));
        return lines;
    }

    /** What this member says of itself. */
    public MemberUpdate self() {
        return self;
    }

    /** What is held of the others, those that are over included for a while. */
    public Collection<MemberUpdate> others() {
        return members.values().stream().map(h -> h.claim).toList();
    }

    /** What is held of a member, or null. */
    public MemberUpdate member(String name) {
        Held h = members.get(name);
        return h == null ? null : h.claim;
    }

    /**
     * Entries that were walked so far, of what is held and of what is told on: what the size of a
     * fleet costs, counted.
     */
    public long visitedEntries() {
        return visitedEntries;
    }

    /**
     * Claims that it still tells on: none in a fleet at rest, one for each member in a fleet that
     * has just met.
     */
    public int piggybackQueueSize() {
        return piggybackQueueSize.size();
    }

    /** How far this member doubts itself: 0 is not at all. */
    public int healthPenalty() {
        return healthPenalty;
    }

    /** Names of those that are held to be there, in no order. */
    public Set<String> presentMembers() {
        Set<String> names = new LinkedHashSet<>();
        members.forEach(
                (name, h) -> {
                    if (!h.claim.status().isTerminal()) {
                        names.add(name);
                    }
                });
        return names;
    }
}
