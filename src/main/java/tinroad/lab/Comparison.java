package tinroad.lab;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import tinroad.lab.schedule.Draw;
import tinroad.lab.verification.PairedComparison;

/**
 * Compares two programs that run the same script, metric by metric, over the seeds whose runs are
 * valid for both.
 */
public final class Comparison {
    private static final long SEED = 17;

    private final List<Report> first = new ArrayList<>();
    private final List<Report> second = new ArrayList<>();

    /** Adds the reports of both programs for one seed; skipped if the load of either ran late. */
    public void add(Report a, Report b) {
        if ((boolean) a.figures().get("counts") && (boolean) b.figures().get("counts")) {
            first.add(a);
            second.add(b);
        }
    }

    /**
     * Returns one row for each metric: name, both medians, the interval of the difference, the
     * number of pairs, and the conclusion.
     */
    public List<List<Object>> rows() {
        List<List<Object>> rows = new ArrayList<>();
        for (String name : Report.COMPARED) {
            List<double[]> pairs = new ArrayList<>();
            for (int i = 0; i < first.size(); i++) {
                double[] pair = {first.get(i).figure(name), second.get(i).figure(name)};
                if (!Double.isNaN(pair[0]) && !Double.isNaN(pair[1])) {
                    pairs.add(pair);
                }
            }
            if (!pairs.isEmpty()) {
                PairedComparison comparison =
                        PairedComparison.of(
                                pairs.stream().mapToDouble(x -> x[0]).toArray(),
                                pairs.stream().mapToDouble(x -> x[1]).toArray(),
                                Draw.stream(SEED, name));
                boolean better = name.equals("service") == comparison.low() > 0;
                rows.add(
                        List.of(
                                name,
                                text(comparison.first()),
                                text(comparison.second()),
                                text(comparison.low()),
                                text(comparison.high()),
                                comparison.pairs(),
                                !comparison.differ()
                                        ? "no difference beyond the noise"
                                        : better ? "the second is better" : "the first is better"));
            }
        }
        return rows;
    }

    private static String text(double x) {
        return Math.abs(x) > 1e9
                ? x > 0 ? "never" : "-never"
                : String.format(Locale.ROOT, "%.4f", x);
    }
}
