package tinroad.overload;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import tinroad.overload.Controller.Idempotency;
import tinroad.overload.Controller.Outcome;
import tinroad.overload.Controller.Request;
import tinroad.overload.Controller.Settings;

/**
 * A minimal server that carries out a controller's actions and records each violation of the four
 * rules.
 */
class RuleChecker implements Controller.Actions {
    /** What the server knows about one request. */
    static final class TrackedRequest {
        final Request request;
        final Controller.RequestClass spec;
        final double arrivedAtMillis;
        final double deadlineAtMillis;
        int answerCount;
        boolean running;
        boolean ended;
        boolean ran;
        boolean paused;
        boolean callInFlight;

        /** The id of the request whose result this duplicate waits for, or null. */
        String joinedTo;

        TrackedRequest(
                Request request,
                Controller.RequestClass spec,
                double arrivedAtMillis,
                double deadlineAtMillis) {
            this.request = request;
            this.spec = spec;
            this.arrivedAtMillis = arrivedAtMillis;
            this.deadlineAtMillis = deadlineAtMillis;
        }
    }

    final Settings settings;

    /** The current classes by slot; null where there is none. */
    final List<Controller.RequestClass> classes;

    final Map<String, TrackedRequest> requestsById = new LinkedHashMap<>();

    /** The time until which the key of each request is retained, by request id. */
    final Map<String, Double> retainedKeys = new LinkedHashMap<>();

    /**
     * For each key that ran, the time until which it may not run again: the key window of the class
     * as it was when the request arrived.
     */
    final Map<String, Double> keyBlockedUntilMillis = new LinkedHashMap<>();

    final List<String> violations = new ArrayList<>();
    final List<Double> lingeringUntilMillis = new ArrayList<>();
    double nowMillis;
    double drainingSinceMillis = Double.MAX_VALUE;

    RuleChecker(Settings settings) {
        this.settings = settings;
        classes = new ArrayList<>(settings.classes());
    }

    void arrive(Request incoming) {
        double arrivedAtMillis = nowMillis - incoming.ageMillis();
        Controller.RequestClass spec = classes.get(incoming.classSlot());
        double deadlineAtMillis =
                settings.requestsCarryDeadline()
                        ? incoming.deadlineAtMillis()
                        : arrivedAtMillis + spec.deadlineMillis();
        requestsById.put(
                incoming.id(),
                new TrackedRequest(incoming, spec, arrivedAtMillis, deadlineAtMillis));
    }

    /**
     * Returns the id of the request with a retained key that a new request with this key
     * duplicates, if the new one arrived before the key expired; otherwise null.
     */
    String findDuplicate(String key, double arrivedAtMillis) {
        for (Map.Entry<String, Double> entry : retainedKeys.entrySet()) {
            if (entry.getValue() >= arrivedAtMillis
                    && key.equals(requestsById.get(entry.getKey()).request.resultKey())) {
                return entry.getKey();
            }
        }
        return null;
    }

    /** Checks the memory, the deadlines and the end of draining. To be called after each event. */
    void check(double shutdownAtMillis) {
        double usedKb = 0;
        for (TrackedRequest tracked : requestsById.values()) {
            boolean inMemory = !tracked.ended;
            usedKb +=
                    !inMemory
                            ? 0
                            : tracked.request.memoryKb()
                                    * (tracked.running || tracked.paused
                                            ? settings.runMemoryFactor()
                                            : 1);
            if (tracked.answerCount == 0
                    && nowMillis
                            > Math.max(tracked.deadlineAtMillis, tracked.arrivedAtMillis)
                                    + settings.operatingLimits().answerSlackMillis()) {
                tracked.answerCount = 1;
                violations.add("lost: unanswered after its deadline: " + tracked.request.id());
            }
            if (tracked.answerCount == 0 && nowMillis >= shutdownAtMillis) {
                violations.add("drain: unanswered at the shutdown: " + tracked.request.id());
            }
        }
        retainedKeys.values().removeIf(untilMillis -> untilMillis < nowMillis - 100);
        usedKb +=
                retainedKeys.values().stream()
                                .filter(untilMillis -> untilMillis >= nowMillis)
                                .count()
                        * settings.keyKb();
        if (usedKb > settings.memoryKb()) {
            violations.add("limit exceeded: memory");
        }
        long runningCount =
                requestsById.values().stream().filter(tracked -> tracked.running).count();
        if (runningCount > settings.cores() * settings.operatingLimits().maxRunsPerCore()) {
            violations.add("limit exceeded: concurrent runs");
        }
    }

    void end(String id, Outcome outcome) {
        TrackedRequest tracked = requestsById.get(id);
        tracked.running = false;
        tracked.paused = false;
        tracked.ended = true;
        if (outcome == Outcome.OK || outcome == Outcome.FAILED) {
            tracked.answerCount = Math.max(1, tracked.answerCount);
        }
    }

    private void answer(TrackedRequest tracked, String action) {
        if (tracked.ended && tracked.answerCount > 0) {
            return;
        }
        if (tracked.answerCount++ > 0) {
            violations.add("second answer " + action + " " + tracked.request.id());
        }
    }

    @Override
    public void run(String id) {
        TrackedRequest tracked = requestsById.get(id);
        Idempotency idempotency = tracked.spec.idempotency();
        if (tracked.ended) {
            return;
        }
        if (idempotency != Idempotency.IDEMPOTENT && tracked.ran) {
            violations.add("duplicate run " + id);
        }
        if (idempotency == Idempotency.IDEMPOTENT_WITH_KEY) {
            Double untilMillis = keyBlockedUntilMillis.get(tracked.request.resultKey());
            if (untilMillis != null && tracked.arrivedAtMillis <= untilMillis) {
                violations.add("duplicate key " + tracked.request.resultKey());
            }
            keyBlockedUntilMillis.put(
                    tracked.request.resultKey(),
                    tracked.arrivedAtMillis + tracked.spec.keyRetentionMillis());
        }
        if (tracked.arrivedAtMillis
                > drainingSinceMillis + settings.operatingLimits().drainGraceMillis()) {
            violations.add("drain: ran after the grace period: " + id);
        }
        tracked.ran = true;
        tracked.running = true;
    }

    @Override
    public void reject(String id, double retryAfterMillis, boolean doNotRetry) {
        TrackedRequest tracked = requestsById.get(id);
        boolean mayRunOnlyOnce = tracked.spec.idempotency() != Idempotency.IDEMPOTENT;
        if (mayRunOnlyOnce && (tracked.ran || tracked.joinedTo != null)) {
            violations.add("duplicate: rejected after a run " + id);
        }
        answer(tracked, "refuse");
        tracked.ended |= !tracked.running;
    }

    @Override
    public void fail(String id) {
        TrackedRequest tracked = requestsById.get(id);
        answer(tracked, "fail");
        tracked.ended |= !tracked.running && !tracked.paused;
    }

    @Override
    public void cancel(String id) {
        if (settings.cancellationMode() == Controller.CancellationMode.NONE) {
            violations.add("action not allowed: cancel");
        }
    }

    @Override
    public void callDependency(String id, double timeoutMillis) {
        requestsById.get(id).callInFlight = true;
        lingeringUntilMillis.removeIf(untilMillis -> untilMillis <= nowMillis);
        long callsInFlight =
                requestsById.values().stream().filter(tracked -> tracked.callInFlight).count()
                        + lingeringUntilMillis.size();
        double quota = settings.dependency().concurrentCallQuota();
        if (settings.dependency().kind() == Controller.DependencyKind.SHARED
                && quota >= 2
                && callsInFlight > quota) {
            violations.add("limit exceeded: dependency calls");
        }
    }

    /** Records the end of a call. An abandoned call still occupies the dependency for a while. */
    void callEnded(TrackedRequest tracked, Outcome outcome) {
        tracked.callInFlight = false;
        if (outcome == Outcome.TIMED_OUT || outcome == Outcome.CANCELED) {
            lingeringUntilMillis.add(nowMillis + settings.dependency().abandonedCallMillis());
        }
        if (outcome == Outcome.OK) {
            tracked.paused = false;
            tracked.running = true;
        }
    }

    @Override
    public void skipDependency(String id) {
        TrackedRequest tracked = requestsById.get(id);
        if (tracked.spec.degradedWeightShare() == 0) {
            violations.add("action not allowed: skip the dependency");
        }
        tracked.paused = false;
        tracked.running = true;
    }

    @Override
    public void retainKey(String id, double durationMillis) {
        retainedKeys.put(id, nowMillis + durationMillis);
    }

    @Override
    public void releaseKey(String id) {
        retainedKeys.remove(id);
    }

    @Override
    public void replayResult(String id) {
        TrackedRequest tracked = requestsById.get(id);
        if (tracked.request.duplicateOf() == null) {
            violations.add("action not allowed: replay the result");
        }
        tracked.joinedTo = tracked.request.duplicateOf();
    }

    @Override
    public void setHealth(boolean healthy, boolean withoutRealWork) {}

    @Override
    public void advertiseLoad(double value) {
        if (settings.loadHint() == Controller.LoadHint.NONE) {
            violations.add("action not allowed: advertise the load");
        }
    }

    @Override
    public void setIdleTimeout(double idleMillis) {
        if (idleMillis < 10 || idleMillis > settings.clientIdleTimeoutMillis()) {
            violations.add("idle timeout out of range");
        }
    }

    @Override
    public void scheduleTimer(String token, double delayMillis) {}

    @Override
    public void log(String text) {}
}
