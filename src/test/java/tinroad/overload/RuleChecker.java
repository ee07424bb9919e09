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
 * A small server that obeys a controller's actions and notes where one of the four rules is broken.
 */
class RuleChecker implements Controller.Actions {
    /** What the server knows of one request. */
    static final class Seen {
        final Request request;
        final Controller.RequestClass spec;
        final double arrived;
        final double due;
        int answers;
        boolean running;
        boolean over;
        boolean ran;
        boolean atCall;
        boolean calling;
        String joined;

        Seen(Request request, Controller.RequestClass spec, double arrived, double due) {
            this.request = request;
            this.spec = spec;
            this.arrived = arrived;
            this.due = due;
        }
    }

    final Settings settings;

    /** The classes as they stand now, by place; null where there is none. */
    final List<Controller.RequestClass> classes;

    final Map<String, Seen> seen = new LinkedHashMap<>();
    final Map<String, Double> kept = new LinkedHashMap<>();

    /**
     * Until when a key may not run again: by the window of the class as it stood when the one that
     * ran came.
     */
    final Map<String, Double> ranKeys = new LinkedHashMap<>();

    final List<String> broken = new ArrayList<>();
    final List<Double> lingering = new ArrayList<>();
    double now;
    double drainedAt = Double.MAX_VALUE;

    RuleChecker(Settings settings) {
        this.settings = settings;
        classes = new ArrayList<>(settings.classes());
    }

    void arrive(Request r) {
        double arrived = now - r.ageMillis();
        Controller.RequestClass spec = classes.get(r.classSlot());
        double due =
                settings.requestsCarryDeadline()
                        ? r.deadlineAtMillis()
                        : arrived + spec.deadlineMillis();
        seen.put(r.id(), new Seen(r, spec, arrived, due));
    }

    /**
     * The kept request that a new one with this key repeats if it arrived while the entry lived, or
     * null.
     */
    String repeatOf(String key, double arrived) {
        for (Map.Entry<String, Double> e : kept.entrySet()) {
            if (e.getValue() >= arrived && key.equals(seen.get(e.getKey()).request.resultKey())) {
                return e.getKey();
            }
        }
        return null;
    }

    /** To be called after each event: memory, due times and the end of a drain. */
    void check(double leaveAt) {
        double kb = 0;
        for (Seen s : seen.values()) {
            boolean inMemory = !s.over;
            kb +=
                    !inMemory
                            ? 0
                            : s.request.memoryKb()
                                    * (s.running || s.atCall ? settings.runMemoryFactor() : 1);
            if (s.answers == 0
                    && now > Math.max(s.due, s.arrived) + settings.rules().answerSlackMillis()) {
                s.answers = 1;
                broken.add("lost " + s.request.id());
            }
            if (s.answers == 0 && now >= leaveAt) {
                broken.add("drain: unanswered " + s.request.id());
            }
        }
        kept.values().removeIf(until -> until < now - 100);
        kb += kept.values().stream().filter(until -> until >= now).count() * settings.keyKb();
        if (kb > settings.memoryKb()) {
            broken.add("fall-over: memory");
        }
        long crowd = seen.values().stream().filter(s -> s.running).count();
        if (crowd > settings.cores() * settings.rules().concurrencyPerCore()) {
            broken.add("fall-over: crowd");
        }
    }

    void end(String id, Outcome outcome) {
        Seen s = seen.get(id);
        s.running = false;
        s.atCall = false;
        s.over = true;
        if (outcome == Outcome.OK || outcome == Outcome.FAILED) {
            s.answers = Math.max(1, s.answers);
        }
    }

    private void answer(Seen s, String how) {
        if (s.over && s.answers > 0) {
            return;
        }
        if (s.answers++ > 0) {
            broken.add("second answer " + how + " " + s.request.id());
        }
    }

    @Override
    public void run(String id) {
        Seen s = seen.get(id);
        Idempotency kind = s.spec.idempotency();
        if (s.over) {
            return;
        }
        if (kind != Idempotency.IDEMPOTENT && s.ran) {
            broken.add("duplicate " + id);
        }
        if (kind == Idempotency.IDEMPOTENT_WITH_KEY) {
            Double until = ranKeys.get(s.request.resultKey());
            if (until != null && s.arrived <= until) {
                broken.add("duplicate key " + s.request.resultKey());
            }
            ranKeys.put(s.request.resultKey(), s.arrived + s.spec.keyWindowMillis());
        }
        if (s.arrived > drainedAt + settings.rules().drainGraceMillis()) {
            broken.add("drain: ran " + id);
        }
        s.ran = true;
        s.running = true;
    }

    @Override
    public void reject(String id, double stayAway, boolean last) {
        Seen s = seen.get(id);
        boolean effect = s.spec.idempotency() != Idempotency.IDEMPOTENT;
        if (effect && (s.ran || s.joined != null)) {
            broken.add("duplicate: refused after a run " + id);
        }
        answer(s, "refuse");
        s.over |= !s.running;
    }

    @Override
    public void fail(String id) {
        Seen s = seen.get(id);
        answer(s, "fail");
        s.over |= !s.running && !s.atCall;
    }

    @Override
    public void cancel(String id) {
        if (settings.cancellationMode() == Controller.CancellationMode.NONE) {
            broken.add("fault: halt");
        }
    }

    @Override
    public void callDependency(String id, double within) {
        seen.get(id).calling = true;
        lingering.removeIf(until -> until <= now);
        long inHand = seen.values().stream().filter(s -> s.calling).count() + lingering.size();
        double share = settings.dependency().concurrentCallQuota();
        if (settings.dependency().kind() == Controller.DependencyKind.SHARED
                && share >= 2
                && inHand > share) {
            broken.add("fall-over: calls below");
        }
    }

    /** A call came back; one given up stays below for a while. */
    void callEnds(Seen s, Outcome outcome) {
        s.calling = false;
        if (outcome == Outcome.TIMED_OUT || outcome == Outcome.CANCELED) {
            lingering.add(now + settings.dependency().lingerMillis());
        }
        if (outcome == Outcome.OK) {
            s.atCall = false;
            s.running = true;
        }
    }

    @Override
    public void skipDependency(String id) {
        Seen s = seen.get(id);
        if (s.spec.degradedWeightShare() == 0) {
            broken.add("fault: skip");
        }
        s.atCall = false;
        s.running = true;
    }

    @Override
    public void retainKey(String id, double duration) {
        kept.put(id, now + duration);
    }

    @Override
    public void releaseKey(String id) {
        kept.remove(id);
    }

    @Override
    public void replayResult(String id) {
        Seen s = seen.get(id);
        if (s.request.duplicateOf() == null) {
            broken.add("fault: reuse");
        }
        s.joined = s.request.duplicateOf();
    }

    @Override
    public void setHealth(boolean good, boolean stored) {}

    @Override
    public void advertiseLoad(double value) {
        if (settings.loadHint() == Controller.LoadHint.NONE) {
            broken.add("fault: say");
        }
    }

    @Override
    public void setIdleTimeout(double after) {
        if (after < 10 || after > settings.clientIdleMillis()) {
            broken.add("fault: idle");
        }
    }

    @Override
    public void scheduleTimer(String token, double delay) {}

    @Override
    public void log(String text) {}
}
