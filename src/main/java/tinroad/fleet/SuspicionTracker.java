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
 * Tracks the suspected members and the time that each has to refute the suspicion (Lifeguard's
 * dynamic suspicion timeout): suspicions by other members shorten it, down to a minimum. If many
 * members are suspected at once, a network partition is assumed, and no suspect is declared dead
 * for some time.
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

    /** Follows an update that was applied to the member table: starts or ends a suspicion. */
    void onUpdateApplied(double nowMillis, MemberUpdate update) {
        suspicions.remove(update.name());
        if (update.status() == MemberStatus.SUSPECT) {
            suspicions.put(
                    update.name(),
                    new Suspicion(nowMillis, nowMillis + config.maxSuspicionMillis(), update.by()));
        }
    }

    /**
     * Adds another member's suspicion of a member that is suspected already. Returns whether it
     * counts: each member counts once, and confirmations beyond the number that leads to the
     * minimum timeout don't count.
     */
    boolean confirm(MemberUpdate update) {
        Suspicion suspicion = suspicions.get(update.name());
        if (suspicion.suspectedBy.size() > config.confirmations()
                || !suspicion.suspectedBy.add(update.by())) {
            return false;
        }
        double fraction =
                Math.log(suspicion.suspectedBy.size()) / Math.log(config.confirmations() + 1);
        double timeoutMillis =
                Math.max(
                        config.minSuspicionMillis(),
                        config.maxSuspicionMillis()
                                - (config.maxSuspicionMillis() - config.minSuspicionMillis())
                                        * fraction);
        suspicion.deadlineMillis =
                Math.min(suspicion.deadlineMillis, suspicion.startedAtMillis + timeoutMillis);
        return true;
    }

    /**
     * Returns the names of the suspects whose time to refute is over. While a partition is assumed
     * they get more time.
     */
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
                        // Each suspect needs time to refute once the partition has healed: the last
                        // ones must not be declared dead while the others are cleared.
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

    /** Gives all suspects this much more time to refute. */
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

    /** Draws a suspect at random; there must be at least one. */
    String sample() {
        return suspicions.keySet().stream()
                .skip(random.nextInt(suspicions.size()))
                .findFirst()
                .orElseThrow();
    }
}
