package tinroad.lab;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.HdrHistogram.Histogram;
import tinroad.lab.schedule.FaultEvent;
import tinroad.lab.schedule.Schedule;
import tinroad.lab.script.Script;
import tinroad.lab.verification.HistoryChecker;
import tinroad.lab.verification.RecoveryBound;
import tinroad.lab.verification.RunHistory;
import tinroad.lab.verification.RunHistory.Counter;
import tinroad.lab.verification.RunMetrics;
import tinroad.lab.verification.Try;

/** What is told of a run: figures by name, the broken rules, files and charts. */
public final class Report {
    /** The figures that programs are compared by; of all but the first, less is better. */
    static final List<String> COMPARED =
            List.of("service", "to_full_s", "tries_per_first", "wasted", "peak_over_mean");

    private static final ObjectMapper JSON = new ObjectMapper();

    /**
     * So long, in ms, a gateway takes from the start of its process until it listens
     * (lab/start-cost.sh).
     */
    private static final double REACH_AFTER = 1100;

    private static final double[] QUANTILES = {50, 99};

    private final Lab.RunOutcome outcome;
    private final Schedule plan;
    private final RunMetrics measures;
    private final List<HistoryChecker.Violation> broken;
    private final HistoryChecker.OutcomeCounts fates;
    private final Map<String, Object> figures = new LinkedHashMap<>();

    /** The report of this run. */
    public Report(Lab.RunOutcome outcome) {
        this.outcome = outcome;
        plan = outcome.ledger().plan;
        measures = new RunMetrics(outcome.ledger());
        HistoryChecker.Verdict verdict = HistoryChecker.check(outcome.ledger());
        broken = verdict.broken();
        fates = HistoryChecker.fates(outcome.ledger(), broken);
        fill();
        put("excused_tries", (long) verdict.excused());
    }

    private void fill() {
        Script script = plan.script();
        RunHistory ledger = outcome.ledger();
        double from = Double.isNaN(plan.firstFault()) ? script.settle() : plan.firstFault();
        double to =
                Double.isNaN(ledger.faultEnd)
                        ? script.length()
                        : Math.min(script.length(), ledger.faultEnd);
        put("seed", plan.seed());
        put("plan", plan.digest());
        put("service", measures.service(script.settle(), script.length()));
        put("service_before", measures.before());
        put("service_fault", measures.service(from, to));
        put("service_after", measures.service(to, script.length()));
        put("to_full_s", measures.toFullService() / 1000);
        put(
                "bound_s",
                new RecoveryBound(plan, 0).toFullService(ledger.faultEnd, measures.before())
                        / 1000);
        put(
                "bound_reached_s",
                new RecoveryBound(
                                        plan,
                                        REACH_AFTER
                                                + (script.roster().minDelayMillis()
                                                                + script.roster().maxDelayMillis())
                                                        / 2)
                                .toFullService(ledger.faultEnd, measures.before())
                        / 1000);
        put("ready_p50_s", measures.ready(0.5) / 1000);
        put("ready_p90_s", measures.ready(0.9) / 1000);
        put("ready_most_s", measures.ready(1) / 1000);
        put("tries_per_first", measures.triesPerFirst());
        put("peak_over_mean", measures.peakOverMean());
        put("wasted", measures.wasted());
        for (int k = 0; k < script.classes().size(); k++) {
            Histogram latency = measures.latency(k);
            for (double q : QUANTILES) {
                put(
                        script.classes().get(k).name() + "_p" + Math.round(q) + "_ms",
                        latency.getValueAtPercentile(q) / 1000.0);
            }
        }
        put("checks_s_gateway", measures.mean(Counter.CHECKS, script.settle(), script.length()));
        put(
                "checks_s_fleet_most",
                (double) measures.most(Counter.CHECKS, script.settle(), script.length())[1]);
        put(
                "connections_s_gateway_most",
                (double) measures.most(Counter.CONNECTIONS, script.settle(), script.length())[0]);
        put("runs_s_gateway_fault", measures.mean(Counter.RUNS, from, to));
        put(
                "memory_mb",
                ledger.incarnations.stream().mapToDouble(l -> l.mostMemoryMb).max().orElse(0));
        put("late_p99_ms", outcome.late());
        put("cpu_left", outcome.cpuLeft());
        put("counts", outcome.counts());
        put("broken", (long) broken.size());
    }

    private void put(String name, Object value) {
        figures.put(
                name,
                value instanceof Double d
                        ? Double.isFinite(d) ? (Object) (Math.round(d * 1e4) / 1e4) : d
                        : value);
    }

    /**
     * All figures by name: a number, a text or a truth value; NaN where there is none, infinite
     * where it never came.
     */
    public Map<String, Object> figures() {
        return figures;
    }

    /** A figure that is a number. */
    public double figure(String name) {
        return ((Number) figures.get(name)).doubleValue();
    }

    /** What is broken. */
    public List<HistoryChecker.Violation> broken() {
        return broken;
    }

    /** The last line. */
    public HistoryChecker.OutcomeCounts fates() {
        return fates;
    }

    /** The figures as one object on one line. */
    public String line() {
        ObjectNode line = JSON.createObjectNode();
        line.put("title", plan.script().title());
        figures.forEach(
                (name, value) -> {
                    if (value instanceof Double d && !Double.isFinite(d)) {
                        line.put(name, Double.isNaN(d) ? null : "never");
                    } else {
                        line.putPOJO(name, value);
                    }
                });
        ObjectNode f =
                line.putObject("fates")
                        .put("asked", fates.asked())
                        .put("served", fates.served())
                        .put("refused", fates.refused())
                        .put("failed", fates.failed());
        f.put("lost", fates.lost()).put("twice", fates.twice()).put("wrong", fates.wrong());
        return line.toString();
    }

    /**
     * Every try on a line, in the order in which they were made: the way to the cause of what the
     * figures show.
     */
    private void tries(Path folder) throws IOException {
        try (PrintWriter out =
                new PrintWriter(Files.newBufferedWriter(folder.resolve("tries.jsonl")))) {
            for (Try t : outcome.ledger().tries) {
                out.println(
                        JSON.createObjectNode()
                                .put("request", t.request)
                                .put("try", t.number)
                                .put("proxy", t.proxy)
                                .put("gateway", t.gateway)
                                .put("asked_ms", plan.requests().get(t.request).at())
                                .put("sent_ms", t.sentAt)
                                .put("ran_ms", t.ranAt)
                                .put("answered_ms", t.answeredAt)
                                .put("end", String.valueOf(t.end)));
            }
        }
    }

    /**
     * Writes result, windows, tries, faults, the ways of what is broken, and charts into a folder.
     */
    public void write(Path folder) throws IOException {
        Files.createDirectories(folder);
        Files.writeString(folder.resolve("result.jsonl"), line() + "\n");
        try (PrintWriter out =
                new PrintWriter(Files.newBufferedWriter(folder.resolve("windows.jsonl")))) {
            double[] asked = measures.asked();
            double[] served = measures.served();
            int[] tries = measures.arrivals(0, plan.script().length());
            int bins = (int) (RunMetrics.WINDOW / RunMetrics.BIN);
            for (int w = 0; w < asked.length; w++) {
                int sent = 0;
                for (int b = w * bins; b < Math.min(tries.length, (w + 1) * bins); b++) {
                    sent += tries[b];
                }
                out.println(
                        JSON.createObjectNode()
                                .put("at_ms", w * RunMetrics.WINDOW)
                                .put("asked", asked[w])
                                .put("served", served[w])
                                .put("tries", sent));
            }
        }
        try (PrintWriter out =
                new PrintWriter(Files.newBufferedWriter(folder.resolve("faults.jsonl")))) {
            for (FaultEvent h : plan.faultEvents()) {
                out.println(
                        JSON.createObjectNode()
                                .put("at_ms", h.at())
                                .put("until_ms", h.until())
                                .put("gateway", h.gateway())
                                .put("do", h.fault().action().name().toLowerCase(Locale.ROOT))
                                .put("heard", h.notified()));
            }
        }
        try (PrintWriter out =
                new PrintWriter(Files.newBufferedWriter(folder.resolve("broken.txt")))) {
            for (HistoryChecker.Violation b : broken) {
                out.println(b.rule() + ": " + b.description());
                b.trace().forEach(out::println);
            }
        }
        tries(folder);
        Charts.draw(plan, measures, outcome.ledger().faultEnd, folder);
    }
}
