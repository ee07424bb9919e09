package tinroad.lab;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import tinroad.lab.schedule.Draw;
import tinroad.lab.verification.PairedComparison;

/**
 * Two programs by the same script: the pairs of the seeds that count for both, figure by figure.
 */
public final class Comparison {
    private static final long SEED = 17;

    private final List<Report> first = new ArrayList<>();
    private final List<Report> second = new ArrayList<>();

    /** A seed played by both; left out where the load of one ran late. */
    public void add(Report a, Report b) {
        if ((boolean) a.figures().get("counts") && (boolean) b.figures().get("counts")) {
            first.add(a);
            second.add(b);
        }
    }

    /**
     * For each figure: name, both medians, the interval of the difference, pairs, and what it comes
     * to.
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
                PairedComparison p =
                        PairedComparison.of(
                                pairs.stream().mapToDouble(x -> x[0]).toArray(),
                                pairs.stream().mapToDouble(x -> x[1]).toArray(),
                                Draw.stream(SEED, name));
                boolean better = name.equals("service") == p.low() > 0;
                rows.add(
                        List.of(
                                name,
                                text(p.first()),
                                text(p.second()),
                                text(p.low()),
                                text(p.high()),
                                p.pairs(),
                                !p.differ()
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
