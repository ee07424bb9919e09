package tinroad.fleet;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * SWIM's failure detector: one probe at a time, a direct ping first, then ping-reqs to a few others
 * that ping on this member's behalf. With Lifeguard's nacks: another that has no ack either sends a
 * nack, and a missing nack lowers this member's own health.
 */
final class FailureDetector {
    /** The part of the probe period after which a probe without an ack has failed. */
    private static final double PROBE_DEADLINE_PART = 0.9;

    /** One of so many probes goes to a suspect. */
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

        /** Members asked for an indirect probe that sent neither an ack nor a nack. */
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

    /** The first probe is at a random time within a period, so that a fleet doesn't run in step. */
    void scheduleFirstProbe(double nowMillis) {
        nextProbeMillis = nowMillis + random.nextDouble() * config.probePeriodMillis();
    }

    /** Drops the probe in flight: its deadlines say nothing after a pause of this process. */
    void restartAfterPause(double nowMillis) {
        probe = null;
        nextProbeMillis = nowMillis + config.probePeriodMillis() * random.nextDouble();
    }

    void onMemberAdded(String name) {
        probeOrder.add(name);
    }

    /**
     * Continues the probe in flight: after the direct timeout by ping-reqs. Returns the member that
     * sent no ack in time, or null.
     */
    MemberState checkProbe(double nowMillis) {
        if (probe == null) {
            return null;
        }
        MemberState target = members.get(probe.target);
        if (target == null || target.status().isTerminal()) {
            probe = null;
        } else if (nowMillis >= probe.deadlineMillis) {
            // Whoever gets not even nacks is itself the one that is slow or cut off.
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

    /** Sends a nack for each ping on another's behalf that was not answered in time. */
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

    /** Begins the next probe where it is due and none is in flight. */
    void probeIfDue(double nowMillis) {
        if (nowMillis < nextProbeMillis || probe != null) {
            return;
        }
        nextProbeMillis = nowMillis + config.probePeriodMillis() * health.multiplier();
        // A suspect learns of the suspicion for sure, and can refute it, only from a ping to it.
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
                        nowMillis + PROBE_DEADLINE_PART * config.probePeriodMillis() * multiplier);
        transport.send(
                target.address(),
                new Message.Ping(probe.sequenceNumber, piggybackQueue.nextUpdatesFor(target)));
    }

    /** Pings a member on another's behalf; requests beyond the bound are dropped. */
    void onPingRequest(double nowMillis, String requesterAddress, Message.PingRequest request) {
        if (indirectProbes.size() >= config.maxMembers()) {
            return;
        }
        long sequenceNumber = nextSequenceNumber();
        indirectProbes.put(
                sequenceNumber,
                new IndirectProbe(
                        requesterAddress,
                        request.number(),
                        nowMillis + config.probeTimeoutMillis()));
        transport.send(
                request.address(), new Message.Ping(sequenceNumber, piggybackQueue.nextUpdates()));
    }

    /** An ack ends the own probe of this number, or is passed on to the one who requested it. */
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
