package tinroad.lab.verification;

import java.util.ArrayList;
import java.util.List;
import org.HdrHistogram.Histogram;
import tinroad.lab.script.Script;
import tinroad.lab.script.Script.RequestClass;

/** The figures of a day, from its ledger. Times in ms from the beginning of the load. */
public final class RunMetrics {
    /** Width of a window of service. */
    public static final double WINDOW = 100;

    /** Width of a bin of arrivals. */
    public static final double BIN = 50;

    /** So long after the faults arrivals are looked at for waves. */
    public static final double AFTERMATH = 5000;

    /** Service is level over this time: single windows hold too few requests. */
    static final double LEVEL_OVER = 500;

    /** So long service stays at the share that counts as full. */
    static final double STAYS = 3000;

    static final double FULL = 0.95;
    private static final long LONGEST_MICROS = 120_000_000;

    private final RunHistory ledger;
    private final Script script;
    private final double[] asked;
    private final double[] served;

    /** The figures of this ledger. */
    public RunMetrics(RunHistory ledger) {
        this.ledger = ledger;
        script = ledger.plan.script();
        asked = new double[(int) Math.ceil(script.length() / WINDOW)];
        served = new double[asked.length];
        for (RunHistory.RequestRecord f : ledger.requests) {
            RequestClass kind = script.classes().get(f.asked.kind());
            int w = (int) (f.asked.at() / WINDOW);
            asked[w] += kind.gain();
            served[w] += inTime(f) ? kind.gain() : 0;
        }
    }

    private boolean inTime(RunHistory.RequestRecord f) {
        return f.end == Try.Outcome.SERVED
                && f.endedAt <= f.asked.at() + script.classes().get(f.asked.kind()).objective();
    }

    /** Worth asked for in each window. */
    public double[] asked() {
        return asked.clone();
    }

    /** Worth of what came in each window and was served in time. */
    public double[] served() {
        return served.clone();
    }

    /**
     * Share of the worth served in time, of what came from {@code from} to {@code to}; NaN where
     * nothing came.
     */
    public double service(double from, double to) {
        double a = 0;
        double s = 0;
        for (int w = Math.max(0, (int) (from / WINDOW));
                w < Math.min(asked.length, (int) Math.round(to / WINDOW));
                w++) {
            a += asked[w];
            s += served[w];
        }
        return a == 0 ? Double.NaN : s / a;
    }

    /**
     * The service before the first fault, or of the whole day from the first moment that counts
     * where there is none.
     */
    public double before() {
        double first = ledger.plan.firstFault();
        return service(
                script.settle(),
                Double.isNaN(first) || first <= script.settle() ? script.length() : first);
    }

    /**
     * Time from the faults' end to the first moment after which, for 3 s, every half second has 95%
     * of the service before; NaN without faults, infinite where the day ends first.
     */
    public double toFullService() {
        if (Double.isNaN(ledger.faultEnd)) {
            return Double.NaN;
        }
        double enough = FULL * before();
        for (double t = Math.floor(ledger.faultEnd / WINDOW) * WINDOW;
                t + STAYS <= script.length();
                t += WINDOW) {
            boolean full = true;
            for (double at = t; full && at + LEVEL_OVER <= t + STAYS; at += WINDOW) {
                double service = service(at, at + LEVEL_OVER);
                full = Double.isNaN(service) || service >= enough;
            }
            if (full) {
                return Math.max(0, t - ledger.faultEnd);
            }
        }
        return Double.POSITIVE_INFINITY;
    }

    /** Tries sent in each bin from {@code from} on. */
    public int[] arrivals(double from, double to) {
        int[] bins = new int[Math.max(0, (int) Math.ceil((to - from) / BIN))];
        for (Try t : ledger.tries) {
            if (t.sentAt >= from && t.sentAt < to) {
                bins[(int) ((t.sentAt - from) / BIN)]++;
            }
        }
        return bins;
    }

    /** Largest bin over the mean one, in the time after the faults; NaN without faults. */
    public double peakOverMean() {
        int[] bins =
                arrivals(ledger.faultEnd, Math.min(script.length(), ledger.faultEnd + AFTERMATH));
        int sum = 0;
        int most = 0;
        for (int bin : bins) {
            sum += bin;
            most = Math.max(most, bin);
        }
        return sum == 0 ? Double.NaN : (double) most * bins.length / sum;
    }

    /**
     * Time from the start of a process to its first report that it takes work, of this part of all
     * that were started again; infinite where that never came, NaN where none was, or nobody
     * looked.
     */
    public double ready(double part) {
        double[] all =
                ledger.incarnations.stream()
                        .filter(l -> l.number > 0 && !Double.isNaN(l.begunAt))
                        .mapToDouble(
                                l ->
                                        Double.isNaN(l.listedAt)
                                                ? Double.POSITIVE_INFINITY
                                                : l.listedAt - l.begunAt)
                        .sorted()
                        .toArray();
        return all.length == 0 ? Double.NaN : all[(int) Math.ceil(part * all.length) - 1];
    }

    /** Tries for each request, from the first moment that counts. */
    public double triesPerFirst() {
        long requests =
                ledger.requests.stream().filter(f -> f.asked.at() >= script.settle()).count();
        long tries =
                ledger.requests.stream()
                        .filter(f -> f.asked.at() >= script.settle())
                        .mapToLong(f -> f.tries)
                        .sum();
        return (double) tries / requests;
    }

    /** Share of the engines' work that served nobody in time. */
    public double wasted() {
        double useful =
                ledger.requests.stream()
                        .filter(this::inTime)
                        .mapToDouble(f -> f.asked.work())
                        .sum();
        return ledger.engineWork == 0 ? 0 : Math.max(0, 1 - useful / ledger.engineWork);
    }

    /**
     * Time from a request's arrival at its proxy to its answer, in microseconds, of those of this
     * class that were served.
     */
    public Histogram latency(int kind) {
        Histogram histogram = new Histogram(LONGEST_MICROS, 3);
        for (RunHistory.RequestRecord f : ledger.requests) {
            if (f.asked.kind() == kind
                    && f.end == Try.Outcome.SERVED
                    && f.asked.at() >= script.settle()) {
                histogram.recordValue(
                        Math.min(
                                LONGEST_MICROS,
                                Math.max(0, Math.round(1000 * (f.endedAt - f.asked.at())))));
            }
        }
        return histogram;
    }

    /**
     * Most in a second at one gateway, and most over all of them, from {@code from} to {@code to}.
     */
    public int[] most(RunHistory.Counter what, double from, double to) {
        int[] most = new int[2];
        for (int second = (int) (from / 1000); second < to / 1000; second++) {
            int all = 0;
            for (int g = 0; g < script.fleet().gateways(); g++) {
                int n = ledger.counted(what, g, second);
                all += n;
                most[0] = Math.max(most[0], n);
            }
            most[1] = Math.max(most[1], all);
        }
        return most;
    }

    /** Mean a second and gateway, from {@code from} to {@code to}, as whole seconds. */
    public double mean(RunHistory.Counter what, double from, double to) {
        List<Integer> all = new ArrayList<>();
        for (int second = (int) Math.ceil(from / 1000); second < Math.floor(to / 1000); second++) {
            for (int g = 0; g < script.fleet().gateways(); g++) {
                all.add(ledger.counted(what, g, second));
            }
        }
        return all.stream().mapToInt(i -> i).average().orElse(Double.NaN);
    }
}
