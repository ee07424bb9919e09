package tinroad.lab.scale;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.DoubleUnaryOperator;
import org.apache.commons.math3.stat.regression.SimpleRegression;

/**
 * How a figure grows: fitted to all sizes but the largest, which the fit has to foretell.
 *
 * @param a intercept, b slope, low and high the ends of the slope's 95% interval
 * @param exponent of the law that grows faster than its size, else NaN
 * @param error of the forecast, as a share of what was measured
 */
record Fit(
        String sweep,
        String role,
        String metric,
        String unit,
        Form form,
        double a,
        double b,
        double low,
        double high,
        double exponent,
        double largest,
        double foretold,
        double measured,
        double error,
        Set<String> runs) {
    /** How it grows with its size. */
    enum Form {
        FLAT,
        LOG,
        LINEAR,
        WORSE
    }

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int LEAST_SIZES = 4;
    private static final double CONFIDENCE = 0.05;

    /** Figures that differ by no more than this share of their mean do not grow. */
    private static final double SAME = 0.05;

    /**
     * The fit of these lines of one figure, or null where there are too few sizes; lines without a
     * value are left out.
     */
    static Fit of(List<Line> lines) {
        TreeMap<Double, List<Double>> byX = new TreeMap<>();
        Set<String> runs = new TreeSet<>();
        for (Line l : lines) {
            if (Double.isFinite(l.value())) {
                byX.computeIfAbsent(l.x(), x -> new ArrayList<>()).add(l.value());
                runs.add(l.run());
            }
        }
        if (byX.size() < LEAST_SIZES) {
            return null;
        }
        Line one = lines.get(0);
        double largest = byX.lastKey();
        double measured = mean(byX.remove(largest));
        double[] xs = byX.keySet().stream().mapToDouble(x -> x).toArray();
        double[] ys = byX.values().stream().mapToDouble(Fit::mean).toArray();
        Chosen c = choose(xs, ys);
        double foretold = c.at.applyAsDouble(largest);
        double error =
                measured == 0
                        ? foretold == 0 ? 0 : Double.NaN
                        : Math.abs(foretold - measured) / Math.abs(measured);
        return new Fit(
                one.sweep(),
                one.role(),
                one.metric(),
                one.unit(),
                c.form,
                c.a,
                c.b,
                c.low,
                c.high,
                c.exponent,
                largest,
                foretold,
                measured,
                error,
                runs);
    }

    private static double mean(List<Double> values) {
        return values.stream().mapToDouble(v -> v).average().orElse(Double.NaN);
    }

    private record Chosen(
            Form form,
            double a,
            double b,
            double low,
            double high,
            double exponent,
            DoubleUnaryOperator at) {}

    private static Chosen choose(double[] xs, double[] ys) {
        SimpleRegression linear = regression(xs, ys, x -> x, y -> y);
        double mean = Arrays.stream(ys).average().orElse(0);
        double most = Arrays.stream(ys).max().orElse(0);
        double least = Arrays.stream(ys).min().orElse(0);
        boolean logs = xs[0] > 0;
        SimpleRegression log = logs ? regression(xs, ys, Math::log, y -> y) : null;
        if (most - least <= SAME * Math.abs(mean)
                || (!grows(linear) && (log == null || !grows(log)))) {
            double wide = width(linear);
            return new Chosen(
                    Form.FLAT,
                    mean,
                    0,
                    linear.getSlope() - wide,
                    linear.getSlope() + wide,
                    Double.NaN,
                    x -> mean);
        }
        double straight = squares(xs, ys, linear::predict);
        if (logs && least > 0) {
            SimpleRegression power = regression(xs, ys, Math::log, Math::log);
            double wide = width(power);
            DoubleUnaryOperator at = x -> Math.exp(power.predict(Math.log(x)));
            if (power.getSlope() - wide > 1 && squares(xs, ys, at) < straight) {
                return new Chosen(
                        Form.WORSE,
                        power.getIntercept(),
                        power.getSlope(),
                        power.getSlope() - wide,
                        power.getSlope() + wide,
                        power.getSlope(),
                        at);
            }
        }
        boolean bent = log != null && squares(xs, ys, x -> log.predict(Math.log(x))) < straight;
        SimpleRegression r = bent ? log : linear;
        double wide = width(r);
        return new Chosen(
                bent ? Form.LOG : Form.LINEAR,
                r.getIntercept(),
                r.getSlope(),
                r.getSlope() - wide,
                r.getSlope() + wide,
                Double.NaN,
                x -> r.predict(bent ? Math.log(x) : x));
    }

    private static SimpleRegression regression(
            double[] xs, double[] ys, DoubleUnaryOperator ofX, DoubleUnaryOperator ofY) {
        SimpleRegression r = new SimpleRegression();
        for (int i = 0; i < xs.length; i++) {
            r.addData(ofX.applyAsDouble(xs[i]), ofY.applyAsDouble(ys[i]));
        }
        return r;
    }

    private static double width(SimpleRegression r) {
        return r.getN() < 3 ? Double.NaN : r.getSlopeConfidenceInterval(CONFIDENCE);
    }

    /** Whether the slope is surely not 0. */
    private static boolean grows(SimpleRegression r) {
        return Math.abs(r.getSlope()) > width(r);
    }

    private static double squares(double[] xs, double[] ys, DoubleUnaryOperator at) {
        double sum = 0;
        for (int i = 0; i < xs.length; i++) {
            sum += Math.pow(ys[i] - at.applyAsDouble(xs[i]), 2);
        }
        return sum;
    }

    /** The value at a size, by this fit. */
    double at(double x) {
        return switch (form) {
            case FLAT -> a;
            case LOG -> a + b * Math.log(x);
            case LINEAR -> a + b * x;
            case WORSE -> Math.exp(a) * Math.pow(x, exponent);
        };
    }

    String id() {
        return sweep + "/" + role + "/" + metric;
    }

    String json() {
        ObjectNode o =
                JSON.createObjectNode()
                        .put("id", id())
                        .put("sweep", sweep)
                        .put("role", role)
                        .put("metric", metric)
                        .put("unit", unit)
                        .put("form", form.name().toLowerCase(Locale.ROOT));
        Line.number(o, "a", a);
        Line.number(o, "b", b);
        Line.number(o, "low", low);
        Line.number(o, "high", high);
        Line.number(o, "exponent", exponent);
        Line.number(o, "largest", largest);
        Line.number(o, "foretold", foretold);
        Line.number(o, "measured", measured);
        Line.number(o, "error", error);
        ArrayNode of = o.putArray("runs");
        runs.forEach(of::add);
        return o.toString();
    }
}
