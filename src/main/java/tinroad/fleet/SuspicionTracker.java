package tinroad.fleet;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * The suspected members, and how long each has to refute (Lifeguard's dynamic suspicion timeout):
 * suspicions of others shorten the time, down to a minimum. Where many are suspected at once, a
 * network partition is assumed, and none is declared dead for a while.
 */
final class SuspicionTracker {
    private static final class Suspicion {
        private final double startedAtMillis;
        private final Set<String> suspectedBy = new HashSet<>();
        private double deadlineMillis;

        Suspicion(double startedAtMillis, double deadlineMillis, String suspectedBy) {
            this.startedAtMillis = startedAtMillis;
            this.deadlineMillis = deadlineMillis;
            this.suspectedBy.add(suspectedBy);
        }
    }

    private final MembershipConfig config;
    private final SplittableRandom random;
    private final Map<String, Suspicion> suspicions = new LinkedHashMap<>();

    SuspicionTracker(MembershipConfig config, SplittableRandom random) {
        this.config = config;
        this.random = random;
    }

    /** Follows an update that was applied: a suspicion begins anew, or ends. */
    void onUpdateApplied(double nowMillis, MemberUpdate update) {
        suspicions.remove(update.name());
        if (update.status() == MemberStatus.SUSPECT) {
            suspicions.put(
                    update.name(),
                    new Suspicion(nowMillis, nowMillis + config.maxSuspicionMillis(), update.by()));
        }
    }

    /**
     * Another's suspicion of a member that is suspected already. Returns whether it counts: not
     * twice from the same one, nor beyond the number that leads to the minimum.
     */
    boolean confirm(MemberUpdate update) {
        Suspicion suspicion = suspicions.get(update.name());
        if (suspicion.suspectedBy.size() > config.confirmations()
                || !suspicion.suspectedBy.add(update.by())) {
            return false;
        }
        double part = Math.log(suspicion.suspectedBy.size()) / Math.log(config.confirmations() + 1);
        double timeoutMillis =
                Math.max(
                        config.minSuspicionMillis(),
                        config.maxSuspicionMillis()
                                - (config.maxSuspicionMillis() - config.minSuspicionMillis())
                                        * part);
        suspicion.deadlineMillis =
                Math.min(suspicion.deadlineMillis, suspicion.startedAtMillis + timeoutMillis);
        return true;
    }

    /** Names of those whose time to refute is over; while a partition is assumed they get more. */
    List<String> expired(double nowMillis, int aliveMembers) {
        if (suspicions.isEmpty()) {
            return List.of();
        }
        boolean partition = suspectsPartition(aliveMembers);
        List<String> expired = new ArrayList<>();
        suspicions.forEach(
                (name, suspicion) -> {
                    if (partition
                            && nowMillis
                                    < suspicion.startedAtMillis + config.partitionWaitMillis()) {
                        // Once the partition has healed each needs time to refute: the last ones
                        // must not be declared dead while the others are cleared.
                        suspicion.deadlineMillis =
                                Math.max(
                                        suspicion.deadlineMillis,
                                        nowMillis + config.minSuspicionMillis());
                    } else if (nowMillis >= suspicion.deadlineMillis) {
                        expired.add(name);
                    }
                });
        return expired;
    }

    /** Gives all suspects this much more time. */
    void extendAll(double millis) {
        suspicions.values().forEach(suspicion -> suspicion.deadlineMillis += millis);
    }

    boolean suspectsPartition(int aliveMembers) {
        return suspicions.size() >= config.partitionMinMembers()
                && suspicions.size()
                        >= config.partitionShare() * (aliveMembers + suspicions.size());
    }

    boolean isEmpty() {
        return suspicions.isEmpty();
    }

    /** Names of the suspected members. */
    Set<String> names() {
        return Collections.unmodifiableSet(suspicions.keySet());
    }

    /** Draws a suspect; there must be one. */
    String sample() {
        return suspicions.keySet().stream()
                .skip(random.nextInt(suspicions.size()))
                .findFirst()
                .orElseThrow();
    }
}
