package tinroad.lab.verification;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * The rules, judged from a ledger once the day is over. A broken one names the request and tells
 * its way through every process that it came to.
 */
public final class HistoryChecker {
    /**
     * An answer may come so long after its due time, in ms: the slack of the settings and that of
     * the sockets.
     */
    public static final double SLACK = 150;

    /** What came later than this after the notice does not run, in ms. */
    public static final double GRACE = 2500 + 50;

    /** A request that crosses the close of its connection within this, in ms, goes again. */
    public static final double CROSSING = 50;

    /**
     * On a day this long, in ms, memory must be level: it grows by so many MB at most from its
     * second to its last fifth.
     */
    public static final double LONG_DAY = 60_000;

    public static final double GROWN_MB = 12;

    /** Events of a gateway this near a try, in ms, are told with it. */
    private static final double NEAR = 500;

    /** What is broken. */
    public enum Rule {
        LOST,
        TWICE,
        WRONG,
        REFUSED_BUT_RAN,
        RAN_AFTER_NOTICE,
        CRASHED,
        LIMIT,
        STRANGE
    }

    /** One broken rule; {@code trace} is one line for each thing that happened. */
    public record Violation(Rule rule, String description, List<String> trace) {}

    /** What became of all requests, in one line. */
    public record OutcomeCounts(
            int asked, int served, int refused, int failed, long lost, long twice, long wrong) {
        @Override
        public String toString() {
            return "fates: asked "
                    + asked
                    + ", served "
                    + served
                    + ", refused "
                    + refused
                    + ", failed "
                    + failed
                    + ", lost "
                    + lost
                    + ", twice "
                    + twice
                    + ", wrong "
                    + wrong;
        }
    }

    private final RunHistory ledger;
    private final List<Violation> broken = new ArrayList<>();
    private int excused;
    private final Map<String, Set<String>> results = new HashMap<>();

    /**
     * The verdict of a day.
     *
     * @param broken all that is broken
     * @param excused tries that had no answer in time, and are no broken rule as the script took
     *     them, or a close crossed them
     */
    public record Verdict(List<Violation> broken, int excused) {}

    private HistoryChecker(RunHistory ledger) {
        this.ledger = ledger;
    }

    /** Judges a day, once. */
    public static Verdict check(RunHistory ledger) {
        HistoryChecker rules = new HistoryChecker(ledger);
        return new Verdict(rules.check(), rules.excused);
    }

    /** The count of the fates. */
    public static OutcomeCounts fates(RunHistory ledger, List<Violation> broken) {
        int[] ends = new int[3];
        ledger.requests.forEach(
                f ->
                        ends[
                                f.end == Try.Outcome.SERVED
                                        ? 0
                                        : f.end == Try.Outcome.REFUSED ? 1 : 2]++);
        return new OutcomeCounts(
                ledger.requests.size(),
                ends[0],
                ends[1],
                ends[2],
                count(broken, Rule.LOST),
                count(broken, Rule.TWICE),
                count(broken, Rule.WRONG));
    }

    private static long count(List<Violation> broken, Rule rule) {
        return broken.stream().filter(b -> b.rule == rule).count();
    }

    private List<Violation> check() {
        Map<Integer, List<Try>> once = new HashMap<>();
        for (Try t : ledger.tries) {
            if (t.result != null && t.key != null) {
                results.computeIfAbsent(t.gateway + " " + t.key, k -> new HashSet<>())
                        .add(t.result);
            }
            if (!t.free && t.runs > 0) {
                once.computeIfAbsent(t.request, k -> new ArrayList<>()).add(t);
            }
        }
        ledger.tries.forEach(this::check);
        once.forEach(
                (request, ran) -> {
                    if (ran.size() > 1) {
                        breaks(
                                Rule.TWICE,
                                ran.get(1),
                                "ran in " + ran.size() + " tries, and may run once only");
                    }
                });
        ledger.incarnations.forEach(this::check);
        ledger.strange.forEach(s -> broken.add(new Violation(Rule.STRANGE, s, List.of())));
        return broken;
    }

    private void check(Try t) {
        if (t.runs > 1) {
            breaks(Rule.TWICE, t, "its id ran " + t.runs + " times");
        }
        if (t.answers > 1) {
            breaks(Rule.TWICE, t, "got " + t.answers + " answers");
        }
        if (t.answer == Try.Outcome.REFUSED && t.runs > 0) {
            breaks(Rule.REFUSED_BUT_RAN, t, "was refused, and ran");
        }
        if (t.answer == Try.Outcome.SERVED && !owns(t)) {
            breaks(Rule.WRONG, t, "was served with what no run made for it");
        }
        RunHistory.GatewayIncarnation life = life(t);
        if (t.runs > 0 && life != null && t.sentAt > life.noticedAt + GRACE) {
            breaks(
                    Rule.RAN_AFTER_NOTICE,
                    t,
                    "ran, though it was sent "
                            + Math.round(t.sentAt - life.noticedAt)
                            + " ms after the notice");
        }
        double last = Double.isNaN(t.answeredAt) ? t.brokenAt : t.answeredAt;
        boolean crossed = Double.isNaN(t.answeredAt) && t.brokenAt - t.sentAt <= CROSSING;
        boolean intime =
                !Double.isNaN(t.answeredAt)
                        && t.answeredAt <= t.deadlineAt + SLACK + stalled(t.sentAt, t.answeredAt);
        if (Double.isNaN(t.sentAt) || intime) {
            return;
        }
        if (crossed || excused(t, Double.isNaN(last) ? t.deadlineAt + SLACK : last)) {
            excused++;
        } else {
            breaks(
                    Rule.LOST,
                    t,
                    Double.isNaN(last)
                            ? "got no answer"
                            : Double.isNaN(t.answeredAt)
                                    ? "lost its connection, and the script did not cut it"
                                    : "was answered "
                                            + Math.round(t.answeredAt - t.deadlineAt)
                                            + " ms after its due time");
        }
    }

    private boolean owns(Try t) {
        return t.served != null
                && (t.served.equals(t.result)
                        || (t.free
                                && t.key != null
                                && results.getOrDefault(t.gateway + " " + t.key, Set.of())
                                        .contains(t.served)));
    }

    private RunHistory.GatewayIncarnation life(Try t) {
        return ledger.incarnations.stream()
                .filter(l -> l.gateway == t.gateway && l.number == t.incarnation)
                .findFirst()
                .orElse(null);
    }

    private boolean excused(Try t, double until) {
        return ledger.excusedIntervals.stream()
                .anyMatch(e -> e.gateway() == t.gateway && e.from() <= until && e.to() >= t.sentAt);
    }

    /** For how long the lab itself stood still meanwhile. */
    private double stalled(double from, double to) {
        return ledger.stalls.stream()
                .filter(s -> s[1] > from && s[0] < to)
                .mapToDouble(s -> s[1] - s[0])
                .sum();
    }

    private void check(RunHistory.GatewayIncarnation life) {
        if (!Double.isNaN(life.endedAt) && !life.endedByScript) {
            broken.add(
                    new Violation(
                            Rule.CRASHED,
                            "gateway "
                                    + life.gateway
                                    + " ended by itself at "
                                    + at(life.endedAt)
                                    + ", exit "
                                    + life.exit,
                            near(life.gateway, life.endedAt - NEAR, life.endedAt + NEAR)));
        }
        if (life.mostMemoryMb > ledger.plan.script().fleet().memoryMb()
                || life.mostDescriptors > ledger.plan.script().fleet().sockets()) {
            broken.add(
                    new Violation(
                            Rule.LIMIT,
                            "gateway "
                                    + life.gateway
                                    + " held "
                                    + Math.round(life.mostMemoryMb)
                                    + " MB and "
                                    + life.mostDescriptors
                                    + " descriptors",
                            List.of()));
        }
        if (ledger.plan.script().length() >= LONG_DAY && life.grownMb() > GROWN_MB) {
            broken.add(
                    new Violation(
                            Rule.LIMIT,
                            "gateway "
                                    + life.gateway
                                    + " grew by "
                                    + Math.round(life.grownMb())
                                    + " MB over the day",
                            List.of()));
        }
    }

    private void breaks(Rule rule, Try t, String what) {
        List<String> way = new ArrayList<>();
        for (Try other : ledger.tries) {
            if (other.request == t.request) {
                way.add(
                        "try "
                                + other.number
                                + ", "
                                + other.id
                                + ", of proxy "
                                + other.proxy
                                + " at gateway "
                                + other.gateway
                                + ", due "
                                + at(other.deadlineAt));
                other.steps.forEach(s -> way.add("  " + line(s)));
                way.addAll(near(other.gateway, other.sentAt - NEAR, other.deadlineAt + NEAR));
            }
        }
        broken.add(
                new Violation(
                        rule,
                        "request " + t.request + ", try " + t.number + ", " + t.id + ": " + what,
                        way));
    }

    private List<String> near(int gateway, double from, double to) {
        Set<String> lines = new TreeSet<>();
        for (Try.Step s : ledger.events) {
            if (s.where().equals("gateway " + gateway) && s.at() >= from && s.at() <= to) {
                lines.add("  " + line(s));
            }
        }
        return List.copyOf(lines);
    }

    private static String line(Try.Step s) {
        return at(s.at()) + " " + s.where() + ": " + s.what();
    }

    private static String at(double ms) {
        return String.format(Locale.ROOT, "%9.3f s", ms / 1000);
    }
}
