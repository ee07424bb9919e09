package tinroad;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import tinroad.Controller.Outcome;
import tinroad.Controller.Request;
import tinroad.Controller.Semantics;
import tinroad.Controller.Settings;

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
        double arrived = now - r.age();
        Controller.RequestClass spec = classes.get(r.classIndex());
        double due = settings.passesDeadline() ? r.due() : arrived + spec.deadline();
        seen.put(r.id(), new Seen(r, spec, arrived, due));
    }

    /**
     * The kept request that a new one with this key repeats if it arrived while the entry lived, or
     * null.
     */
    String repeatOf(String key, double arrived) {
        for (Map.Entry<String, Double> e : kept.entrySet()) {
            if (e.getValue() >= arrived && key.equals(seen.get(e.getKey()).request.key())) {
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
                                    * (s.running || s.atCall ? settings.runFactor() : 1);
            if (s.answers == 0
                    && now > Math.max(s.due, s.arrived) + settings.rules().answerSlack()) {
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
        if (crowd > settings.cores() * settings.rules().crowdPerCore()) {
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
        Semantics kind = s.spec.semantics();
        if (s.over) {
            return;
        }
        if (kind != Semantics.FREE && s.ran) {
            broken.add("duplicate " + id);
        }
        if (kind == Semantics.GUARDED) {
            Double until = ranKeys.get(s.request.key());
            if (until != null && s.arrived <= until) {
                broken.add("duplicate key " + s.request.key());
            }
            ranKeys.put(s.request.key(), s.arrived + s.spec.keyWindow());
        }
        if (s.arrived > drainedAt + settings.rules().drainGrace()) {
            broken.add("drain: ran " + id);
        }
        s.ran = true;
        s.running = true;
    }

    @Override
    public void refuse(String id, double stayAway, boolean last) {
        Seen s = seen.get(id);
        boolean effect = s.spec.semantics() != Semantics.FREE;
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
    public void halt(String id) {
        if (settings.halt() == Controller.Halt.NONE) {
            broken.add("fault: halt");
        }
    }

    @Override
    public void call(String id, double within) {
        seen.get(id).calling = true;
        lingering.removeIf(until -> until <= now);
        long inHand = seen.values().stream().filter(s -> s.calling).count() + lingering.size();
        double share = settings.below().callShare();
        if (settings.below().kind() == Controller.Below.COMMON && share >= 2 && inHand > share) {
            broken.add("fall-over: calls below");
        }
    }

    /** A call came back; one given up stays below for a while. */
    void callEnds(Seen s, Outcome outcome) {
        s.calling = false;
        if (outcome == Outcome.TIMED_OUT || outcome == Outcome.CANCELED) {
            lingering.add(now + settings.below().lingers());
        }
        if (outcome == Outcome.OK) {
            s.atCall = false;
            s.running = true;
        }
    }

    @Override
    public void skip(String id) {
        Seen s = seen.get(id);
        if (s.spec.skipWorth() == 0) {
            broken.add("fault: skip");
        }
        s.atCall = false;
        s.running = true;
    }

    @Override
    public void keep(String id, double duration) {
        kept.put(id, now + duration);
    }

    @Override
    public void forget(String id) {
        kept.remove(id);
    }

    @Override
    public void reuse(String id) {
        Seen s = seen.get(id);
        if (s.request.repeats() == null) {
            broken.add("fault: reuse");
        }
        s.joined = s.request.repeats();
    }

    @Override
    public void health(boolean good, boolean stored) {}

    @Override
    public void say(double value) {
        if (settings.say() == Controller.Say.NONE) {
            broken.add("fault: say");
        }
    }

    @Override
    public void idle(double after) {
        if (after < 10 || after > settings.idle()) {
            broken.add("fault: idle");
        }
    }

    @Override
    public void timer(String token, double delay) {}

    @Override
    public void log(String text) {}
}
