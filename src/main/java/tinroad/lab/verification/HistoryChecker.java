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
 * Checks the history of a run against the rules that every run has to keep, once the run is over. A
 * violation names the request and traces it through every process that handled it.
 */
public final class HistoryChecker {
    /**
     * Longest time in ms by which an answer may be late: the slack of the settings plus that of the
     * sockets.
     */
    public static final double SLACK = 150;

    /**
     * A try that is sent later than this after the shutdown notice must not run: the {@code
     * drain_grace} of the lab's settings, and 50 ms for its way.
     */
    public static final double MAX_SENT_AFTER_NOTICE_MILLIS = 2500 + 50;

    /**
     * A connection that closes within this time, in ms, of the sending of a request may have been
     * closed before the request arrived: the request is sent again.
     */
    public static final double CROSSING = 50;

    /** Runs of at least this length are checked for memory growth. */
    public static final double MIN_GROWTH_CHECK_LENGTH_MILLIS = 60_000;

    /** Largest growth of a gateway's memory from the second to the last fifth of a run. */
    public static final double MAX_GROWTH_MB = 12;

    /**
     * The trace of a try includes the gateway's events from this long before the sending to this
     * long after the deadline.
     */
    private static final double TRACE_CONTEXT_MILLIS = 500;

    /** The rules, each named after its violation. */
    public enum Rule {
        /** A try got no answer in time, and no fault or closing connection excuses it. */
        LOST,
        /** A try ran or was answered more than once, or a request that may run once ran again. */
        TWICE,
        /** A try was served with a result that no run produced for it. */
        WRONG,
        /** A try was rejected although it ran. */
        REFUSED_BUT_RAN,
        /** A try ran although it was sent too long after the shutdown notice. */
        RAN_AFTER_NOTICE,
        /** A gateway's process ended without a cause in the script. */
        CRASHED,
        /** A gateway exceeded its memory or descriptors, or its memory grew over the run. */
        LIMIT,
        /** Something unexpected was recorded, such as bytes that belong to no request. */
        STRANGE
    }

    /** One violation of a rule; {@code trace} has one line for each related event. */
    public record Violation(Rule rule, String description, List<String> trace) {}

    /** Counts of requests by outcome, and of the violations that concern requests. */
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

    private final RunHistory history;
    private final List<Violation> violations = new ArrayList<>();
    private int excusedTries;
    private final Map<String, Set<String>> resultsByKey = new HashMap<>();

    /**
     * The result of the check of a run.
     *
     * @param broken all violations
     * @param excused number of tries that got no answer in time and still violate no rule, because
     *     a fault of the script explains it or their connection closed as they were sent
     */
    public record Verdict(List<Violation> broken, int excused) {}

    private HistoryChecker(RunHistory history) {
        this.history = history;
    }

    /** Checks the history of a finished run. */
    public static Verdict check(RunHistory history) {
        HistoryChecker checker = new HistoryChecker(history);
        return new Verdict(checker.check(), checker.excusedTries);
    }

    /** Counts the requests of a run by outcome, and its violations by rule. */
    public static OutcomeCounts fates(RunHistory history, List<Violation> violations) {
        int[] counts = new int[3];
        history.requests.forEach(
                r ->
                        counts[
                                r.end == Try.Outcome.SERVED
                                        ? 0
                                        : r.end == Try.Outcome.REFUSED ? 1 : 2]++);
        return new OutcomeCounts(
                history.requests.size(),
                counts[0],
                counts[1],
                counts[2],
                count(violations, Rule.LOST),
                count(violations, Rule.TWICE),
                count(violations, Rule.WRONG));
    }

    private static long count(List<Violation> violations, Rule rule) {
        return violations.stream().filter(b -> b.rule == rule).count();
    }

    private List<Violation> check() {
        Map<Integer, List<Try>> triesThatRan = new HashMap<>();
        for (Try t : history.tries) {
            if (t.result != null && t.key != null) {
                resultsByKey
                        .computeIfAbsent(t.gateway + " " + t.key, k -> new HashSet<>())
                        .add(t.result);
            }
            if (!t.free && t.runs > 0) {
                triesThatRan.computeIfAbsent(t.request, k -> new ArrayList<>()).add(t);
            }
        }
        history.tries.forEach(this::check);
        triesThatRan.forEach(
                (request, ran) -> {
                    if (ran.size() > 1) {
                        addViolation(
                                Rule.TWICE,
                                ran.get(1),
                                "ran in " + ran.size() + " tries, and may run once only");
                    }
                });
        history.incarnations.forEach(this::check);
        history.strange.forEach(s -> violations.add(new Violation(Rule.STRANGE, s, List.of())));
        return violations;
    }

    private void check(Try t) {
        if (t.runs > 1) {
            addViolation(Rule.TWICE, t, "its id ran " + t.runs + " times");
        }
        if (t.answers > 1) {
            addViolation(Rule.TWICE, t, "got " + t.answers + " answers");
        }
        if (t.answer == Try.Outcome.REFUSED && t.runs > 0) {
            addViolation(Rule.REFUSED_BUT_RAN, t, "was refused, and ran");
        }
        if (t.answer == Try.Outcome.SERVED && !servedValidResult(t)) {
            addViolation(Rule.WRONG, t, "was served with what no run made for it");
        }
        RunHistory.GatewayIncarnation incarnation = incarnationOf(t);
        if (t.runs > 0
                && incarnation != null
                && t.sentAt > incarnation.noticedAt + MAX_SENT_AFTER_NOTICE_MILLIS) {
            addViolation(
                    Rule.RAN_AFTER_NOTICE,
                    t,
                    "ran, though it was sent "
                            + Math.round(t.sentAt - incarnation.noticedAt)
                            + " ms after the notice");
        }
        double endedAt = Double.isNaN(t.answeredAt) ? t.brokenAt : t.answeredAt;
        boolean crossed = Double.isNaN(t.answeredAt) && t.brokenAt - t.sentAt <= CROSSING;
        boolean inTime =
                !Double.isNaN(t.answeredAt)
                        && t.answeredAt
                                <= t.deadlineAt + SLACK + stalledMillis(t.sentAt, t.answeredAt);
        if (Double.isNaN(t.sentAt) || inTime) {
            return;
        }
        if (crossed || isExcused(t, Double.isNaN(endedAt) ? t.deadlineAt + SLACK : endedAt)) {
            excusedTries++;
        } else {
            addViolation(
                    Rule.LOST,
                    t,
                    Double.isNaN(endedAt)
                            ? "got no answer"
                            : Double.isNaN(t.answeredAt)
                                    ? "lost its connection, and the script did not cut it"
                                    : "was answered "
                                            + Math.round(t.answeredAt - t.deadlineAt)
                                            + " ms after its due time");
        }
    }

    private boolean servedValidResult(Try t) {
        return t.served != null
                && (t.served.equals(t.result)
                        || (t.free
                                && t.key != null
                                && resultsByKey
                                        .getOrDefault(t.gateway + " " + t.key, Set.of())
                                        .contains(t.served)));
    }

    private RunHistory.GatewayIncarnation incarnationOf(Try t) {
        return history.incarnations.stream()
                .filter(l -> l.gateway == t.gateway && l.number == t.incarnation)
                .findFirst()
                .orElse(null);
    }

    private boolean isExcused(Try t, double until) {
        return history.excusedIntervals.stream()
                .anyMatch(e -> e.gateway() == t.gateway && e.from() <= until && e.to() >= t.sentAt);
    }

    /** Total length of the lab's own stalls that overlap this interval. */
    private double stalledMillis(double from, double to) {
        return history.stalls.stream()
                .filter(s -> s[1] > from && s[0] < to)
                .mapToDouble(s -> s[1] - s[0])
                .sum();
    }

    private void check(RunHistory.GatewayIncarnation incarnation) {
        if (!Double.isNaN(incarnation.endedAt) && !incarnation.endedByScript) {
            violations.add(
                    new Violation(
                            Rule.CRASHED,
                            "gateway "
                                    + incarnation.gateway
                                    + " ended by itself at "
                                    + formatTime(incarnation.endedAt)
                                    + ", exit "
                                    + incarnation.exit,
                            eventsNear(
                                    incarnation.gateway,
                                    incarnation.endedAt - TRACE_CONTEXT_MILLIS,
                                    incarnation.endedAt + TRACE_CONTEXT_MILLIS)));
        }
        if (incarnation.mostMemoryMb > history.plan.script().fleet().memoryMb()
                || incarnation.maxDescriptors > history.plan.script().fleet().sockets()) {
            violations.add(
                    new Violation(
                            Rule.LIMIT,
                            "gateway "
                                    + incarnation.gateway
                                    + " held "
                                    + Math.round(incarnation.mostMemoryMb)
                                    + " MB and "
                                    + incarnation.maxDescriptors
                                    + " descriptors",
                            List.of()));
        }
        if (history.plan.script().length() >= MIN_GROWTH_CHECK_LENGTH_MILLIS
                && incarnation.grownMb() > MAX_GROWTH_MB) {
            violations.add(
                    new Violation(
                            Rule.LIMIT,
                            "gateway "
                                    + incarnation.gateway
                                    + " grew by "
                                    + Math.round(incarnation.grownMb())
                                    + " MB over the day",
                            List.of()));
        }
    }

    private void addViolation(Rule rule, Try t, String description) {
        List<String> trace = new ArrayList<>();
        for (Try other : history.tries) {
            if (other.request == t.request) {
                trace.add(
                        "try "
                                + other.number
                                + ", "
                                + other.id
                                + ", of proxy "
                                + other.proxy
                                + " at gateway "
                                + other.gateway
                                + ", due "
                                + formatTime(other.deadlineAt));
                other.steps.forEach(s -> trace.add("  " + formatStep(s)));
                trace.addAll(
                        eventsNear(
                                other.gateway,
                                other.sentAt - TRACE_CONTEXT_MILLIS,
                                other.deadlineAt + TRACE_CONTEXT_MILLIS));
            }
        }
        violations.add(
                new Violation(
                        rule,
                        "request "
                                + t.request
                                + ", try "
                                + t.number
                                + ", "
                                + t.id
                                + ": "
                                + description,
                        trace));
    }

    private List<String> eventsNear(int gateway, double from, double to) {
        Set<String> lines = new TreeSet<>();
        for (Try.Step s : history.events) {
            if (s.where().equals("gateway " + gateway) && s.at() >= from && s.at() <= to) {
                lines.add("  " + formatStep(s));
            }
        }
        return List.copyOf(lines);
    }

    private static String formatStep(Try.Step s) {
        return formatTime(s.at()) + " " + s.where() + ": " + s.what();
    }

    private static String formatTime(double millis) {
        return String.format(Locale.ROOT, "%9.3f s", millis / 1000);
    }
}
