package tinroad.lab.verification;

import java.util.ArrayList;
import java.util.List;
import org.HdrHistogram.Histogram;
import tinroad.lab.script.Script;
import tinroad.lab.script.Script.RequestClass;

/**
 * Computes the metrics of a run from its history. Service is the share of the requested gain that
 * was served within the latency objectives. Times in ms from the beginning of the load.
 */
public final class RunMetrics {
    /** Width of the windows for which service is computed, in ms. */
    public static final double WINDOW = 100;

    /** Width of the bins in which arrivals are counted, in ms. */
    public static final double BIN = 50;

    /** Arrivals are searched for waves up to this long after the faults. */
    public static final double WAVE_SEARCH_MILLIS = 5000;

    /** Service is averaged over this time, as a single window has too few requests. */
    static final double SERVICE_SPAN_MILLIS = 500;

    /** Service has to stay full for this long. */
    static final double STABLE_MILLIS = 3000;

    /** Service counts as full from this share of the service before the faults. */
    static final double FULL_SERVICE_SHARE = 0.95;

    private static final long MAX_LATENCY_MICROS = 120_000_000;

    private final RunHistory history;
    private final Script script;
    private final double[] requestedGain;
    private final double[] servedGain;

    /** The metrics of the run with this history. */
    public RunMetrics(RunHistory history) {
        this.history = history;
        script = history.plan.script();
        requestedGain = new double[(int) Math.ceil(script.length() / WINDOW)];
        servedGain = new double[requestedGain.length];
        for (RunHistory.RequestRecord r : history.requests) {
            RequestClass requestClass = script.classes().get(r.asked.kind());
            int w = (int) (r.asked.at() / WINDOW);
            requestedGain[w] += requestClass.gain();
            servedGain[w] += inTime(r) ? requestClass.gain() : 0;
        }
    }

    private boolean inTime(RunHistory.RequestRecord r) {
        return r.end == Try.Outcome.SERVED
                && r.endedAt <= r.asked.at() + script.classes().get(r.asked.kind()).objective();
    }

    /** Gain of the requests that arrived in each window. */
    public double[] asked() {
        return requestedGain.clone();
    }

    /** Gain of the requests that arrived in each window and were served in time. */
    public double[] served() {
        return servedGain.clone();
    }

    /**
     * Service of the requests that arrived from {@code from} to {@code to}; NaN where there were
     * none.
     */
    public double service(double from, double to) {
        double requested = 0;
        double inTime = 0;
        for (int w = Math.max(0, (int) (from / WINDOW));
                w < Math.min(requestedGain.length, (int) Math.round(to / WINDOW));
                w++) {
            requested += requestedGain[w];
            inTime += servedGain[w];
        }
        return requested == 0 ? Double.NaN : inTime / requested;
    }

    /**
     * Service from the end of the settling time to the first fault, or to the end of the run where
     * no fault follows the settling time.
     */
    public double before() {
        double first = history.plan.firstFault();
        return service(
                script.settle(),
                Double.isNaN(first) || first <= script.settle() ? script.length() : first);
    }

    /**
     * Time from the end of the faults to the first moment after which, for 3 s, every half second
     * has 95% of the service before the faults; NaN without faults, infinite where the run ends
     * first.
     */
    public double toFullService() {
        if (Double.isNaN(history.faultEnd)) {
            return Double.NaN;
        }
        double required = FULL_SERVICE_SHARE * before();
        for (double t = Math.floor(history.faultEnd / WINDOW) * WINDOW;
                t + STABLE_MILLIS <= script.length();
                t += WINDOW) {
            boolean full = true;
            for (double at = t;
                    full && at + SERVICE_SPAN_MILLIS <= t + STABLE_MILLIS;
                    at += WINDOW) {
                double service = service(at, at + SERVICE_SPAN_MILLIS);
                full = Double.isNaN(service) || service >= required;
            }
            if (full) {
                return Math.max(0, t - history.faultEnd);
            }
        }
        return Double.POSITIVE_INFINITY;
    }

    /** Number of tries sent in each bin from {@code from} to {@code to}. */
    public int[] arrivals(double from, double to) {
        int[] bins = new int[Math.max(0, (int) Math.ceil((to - from) / BIN))];
        for (Try t : history.tries) {
            if (t.sentAt >= from && t.sentAt < to) {
                bins[(int) ((t.sentAt - from) / BIN)]++;
            }
        }
        return bins;
    }

    /** Ratio of the largest to the mean bin of arrivals after the faults; NaN without faults. */
    public double peakOverMean() {
        int[] bins =
                arrivals(
                        history.faultEnd,
                        Math.min(script.length(), history.faultEnd + WAVE_SEARCH_MILLIS));
        int sum = 0;
        int largest = 0;
        for (int bin : bins) {
            sum += bin;
            largest = Math.max(largest, bin);
        }
        return sum == 0 ? Double.NaN : (double) largest * bins.length / sum;
    }

    /**
     * Quantile, over all restarted processes, of the time from the start of a process to its first
     * report that it takes work. Infinite where that report never came, NaN where no process was
     * restarted or starts were not recorded.
     */
    public double ready(double quantile) {
        double[] readyMillis =
                history.incarnations.stream()
                        .filter(l -> l.number > 0 && !Double.isNaN(l.begunAt))
                        .mapToDouble(
                                l ->
                                        Double.isNaN(l.listedAt)
                                                ? Double.POSITIVE_INFINITY
                                                : l.listedAt - l.begunAt)
                        .sorted()
                        .toArray();
        return readyMillis.length == 0
                ? Double.NaN
                : readyMillis[(int) Math.ceil(quantile * readyMillis.length) - 1];
    }

    /** Mean number of tries per request that arrived after the settling time. */
    public double triesPerFirst() {
        long requests =
                history.requests.stream().filter(r -> r.asked.at() >= script.settle()).count();
        long tries =
                history.requests.stream()
                        .filter(r -> r.asked.at() >= script.settle())
                        .mapToLong(r -> r.tries)
                        .sum();
        return (double) tries / requests;
    }

    /** Share of the engines' work that was not spent on requests served in time. */
    public double wasted() {
        double useful =
                history.requests.stream()
                        .filter(this::inTime)
                        .mapToDouble(r -> r.asked.work())
                        .sum();
        return history.engineWork == 0 ? 0 : Math.max(0, 1 - useful / history.engineWork);
    }

    /**
     * Latency in microseconds, from a request's arrival at its proxy to its answer, of the served
     * requests of a class.
     */
    public Histogram latency(int kind) {
        Histogram histogram = new Histogram(MAX_LATENCY_MICROS, 3);
        for (RunHistory.RequestRecord r : history.requests) {
            if (r.asked.kind() == kind
                    && r.end == Try.Outcome.SERVED
                    && r.asked.at() >= script.settle()) {
                histogram.recordValue(
                        Math.min(
                                MAX_LATENCY_MICROS,
                                Math.max(0, Math.round(1000 * (r.endedAt - r.asked.at())))));
            }
        }
        return histogram;
    }

    /**
     * Largest value of a counter per second from {@code from} to {@code to}: at index 0 of a single
     * gateway, at index 1 of all gateways together.
     */
    public int[] most(RunHistory.Counter counter, double from, double to) {
        int[] max = new int[2];
        for (int second = (int) (from / 1000); second < to / 1000; second++) {
            int total = 0;
            for (int g = 0; g < script.fleet().gateways(); g++) {
                int n = history.counted(counter, g, second);
                total += n;
                max[0] = Math.max(max[0], n);
            }
            max[1] = Math.max(max[1], total);
        }
        return max;
    }

    /** Mean of a counter per second and gateway, over the whole seconds of this interval. */
    public double mean(RunHistory.Counter counter, double from, double to) {
        List<Integer> values = new ArrayList<>();
        for (int second = (int) Math.ceil(from / 1000); second < Math.floor(to / 1000); second++) {
            for (int g = 0; g < script.fleet().gateways(); g++) {
                values.add(history.counted(counter, g, second));
            }
        }
        return values.stream().mapToInt(i -> i).average().orElse(Double.NaN);
    }
}
