package tinroad.fleet;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * SWIM's failure detector. It probes one member at a time: first with a direct ping, then with
 * ping-reqs to a few other members, which ping the target on this member's behalf. It includes
 * Lifeguard's nacks: a member that was sent a ping-req and has received no ack in time sends a
 * nack. A missing nack suggests that this member itself is slow or cut off, and lowers its local
 * health.
 */
final class FailureDetector {
    /** The fraction of the probe period after which a probe without an ack has failed. */
    private static final double PROBE_DEADLINE_FRACTION = 0.9;

    /** While members are suspected, one probe in this many, on average, goes to a suspect. */
    private static final int SUSPECT_PROBE_INTERVAL = 4;

    private static final class Probe {
        private final String target;
        private final long sequenceNumber;
        private final double directDeadlineMillis;
        private final double deadlineMillis;
        private int pingRequests;
        private int nacks;

        Probe(
                String target,
                long sequenceNumber,
                double directDeadlineMillis,
                double deadlineMillis) {
            this.target = target;
            this.sequenceNumber = sequenceNumber;
            this.directDeadlineMillis = directDeadlineMillis;
            this.deadlineMillis = deadlineMillis;
        }

        /** Members that were sent a ping-req and replied with neither an ack nor a nack. */
        int missedNacks() {
            return pingRequests - nacks;
        }
    }

    /** A ping sent on behalf of another member. */
    private record IndirectProbe(
            String requesterAddress, long requesterSequenceNumber, double nackAtMillis) {}

    private final MembershipConfig config;
    private final SplittableRandom random;
    private final MemberTable members;
    private final SuspicionTracker suspicions;
    private final PiggybackQueue piggybackQueue;
    private final LocalHealth health;
    private final Membership.Transport transport;
    private final ProbeOrder probeOrder;
    private final Map<Long, IndirectProbe> indirectProbes = new LinkedHashMap<>();
    private Probe probe;
    private long lastSequenceNumber;
    private double nextProbeMillis;

    FailureDetector(
            MembershipConfig config,
            SplittableRandom random,
            MemberTable members,
            SuspicionTracker suspicions,
            PiggybackQueue piggybackQueue,
            LocalHealth health,
            Membership.Transport transport) {
        this.config = config;
        this.random = random;
        this.members = members;
        this.suspicions = suspicions;
        this.piggybackQueue = piggybackQueue;
        this.health = health;
        this.transport = transport;
        probeOrder = new ProbeOrder(members, random);
    }

    /**
     * Schedules the first probe at a random time within a period, so that the members of a fleet do
     * not all probe at the same moment.
     */
    void scheduleFirstProbe(double nowMillis) {
        nextProbeMillis = nowMillis + random.nextDouble() * config.probePeriodMillis();
    }

    /** Drops the probe in flight: after a pause of this process its deadlines are meaningless. */
    void restartAfterPause(double nowMillis) {
        probe = null;
        nextProbeMillis = nowMillis + config.probePeriodMillis() * random.nextDouble();
    }

    void onMemberAdded(String name) {
        probeOrder.add(name);
    }

    /**
     * Advances the probe in flight: sends ping-reqs once the timeout of the direct ping has passed.
     * Returns the target if it sent no ack by the deadline of the probe, otherwise null.
     */
    MemberState checkProbe(double nowMillis) {
        if (probe == null) {
            return null;
        }
        MemberState target = members.get(probe.target);
        if (target == null || target.status().isTerminal()) {
            probe = null;
        } else if (nowMillis >= probe.deadlineMillis) {
            // If not even the nacks arrive, this member itself is probably slow or cut off.
            if (probe.pingRequests == 0 || probe.missedNacks() > 0) {
                health.degrade(Math.max(1, probe.missedNacks()));
            }
            probe = null;
            return target;
        } else if (nowMillis >= probe.directDeadlineMillis && probe.pingRequests == 0) {
            requestIndirectProbes(target);
        }
        return null;
    }

    private void requestIndirectProbes(MemberState target) {
        List<MemberState> helpers = members.sampleAlive(config.indirectProbes(), target.name());
        probe.pingRequests = helpers.size();
        for (MemberState helper : helpers) {
            transport.send(
                    helper.address(),
                    new Message.PingRequest(
                            probe.sequenceNumber, target.address(), piggybackQueue.nextUpdates()));
        }
    }

    /** Sends a nack for each ping on another member's behalf that got no ack in time. */
    void sendDueNacks(double nowMillis) {
        indirectProbes
                .values()
                .removeIf(
                        indirect -> {
                            if (nowMillis < indirect.nackAtMillis) {
                                return false;
                            }
                            if (health.enabled()) {
                                transport.send(
                                        indirect.requesterAddress,
                                        new Message.Nack(
                                                indirect.requesterSequenceNumber,
                                                piggybackQueue.nextUpdates()));
                            }
                            return true;
                        });
    }

    /** Starts the next probe if it is due and no probe is in flight. */
    void probeIfDue(double nowMillis) {
        if (nowMillis < nextProbeMillis || probe != null) {
            return;
        }
        nextProbeMillis = nowMillis + config.probePeriodMillis() * health.multiplier();
        // Only a ping to the suspect itself is sure to carry the suspicion, so that it can refute
        // it.
        MemberState target =
                !suspicions.isEmpty() && random.nextInt(SUSPECT_PROBE_INTERVAL) == 0
                        ? members.get(suspicions.sample())
                        : probeOrder.next();
        if (target == null) {
            return;
        }
        double multiplier = health.multiplier();
        probe =
                new Probe(
                        target.name(),
                        nextSequenceNumber(),
                        nowMillis + config.probeTimeoutMillis() * multiplier,
                        nowMillis
                                + PROBE_DEADLINE_FRACTION
                                        * config.probePeriodMillis()
                                        * multiplier);
        transport.send(
                target.address(),
                new Message.Ping(probe.sequenceNumber, piggybackQueue.nextUpdatesFor(target)));
    }

    /** Pings a member on another member's behalf. Requests beyond the bound are dropped. */
    void onPingRequest(double nowMillis, String requesterAddress, Message.PingRequest request) {
        if (indirectProbes.size() >= config.maxMembers()) {
            return;
        }
        long sequenceNumber = nextSequenceNumber();
        indirectProbes.put(
                sequenceNumber,
                new IndirectProbe(
                        requesterAddress,
                        request.sequenceNumber(),
                        nowMillis + config.probeTimeoutMillis()));
        transport.send(
                request.address(), new Message.Ping(sequenceNumber, piggybackQueue.nextUpdates()));
    }

    /**
     * Handles an ack: it ends the probe in flight with this sequence number, or is passed on to the
     * member that requested the indirect probe.
     */
    void onAck(long sequenceNumber) {
        IndirectProbe indirect = indirectProbes.remove(sequenceNumber);
        if (indirect != null) {
            transport.send(
                    indirect.requesterAddress,
                    new Message.Ack(
                            indirect.requesterSequenceNumber, piggybackQueue.nextUpdates()));
        } else if (probe != null && probe.sequenceNumber == sequenceNumber) {
            probe = null;
            health.improve();
        }
    }

    void onNack(long sequenceNumber) {
        if (probe != null && probe.sequenceNumber == sequenceNumber) {
            probe.nacks++;
        }
    }

    long nextSequenceNumber() {
        return ++lastSequenceNumber;
    }
}
