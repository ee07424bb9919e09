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
 * Describes how a metric grows with the size of a sweep: a regression over all sizes except the
 * largest, and its forecast for the largest, which is compared with the measurement there.
 *
 * @param intercept the intercept; for {@code FLAT} the mean
 * @param slope the slope; for {@code WORSE} that of the logarithms
 * @param slopeLow lower end of the slope's 95% confidence interval
 * @param slopeHigh upper end of that interval
 * @param exponent of the power law where the metric grows faster than linearly, otherwise NaN
 * @param largestSize the size that the regression leaves out and forecasts
 * @param forecast the value that the regression predicts at the largest size
 * @param measured the value measured at the largest size
 * @param relativeError difference between forecast and measurement, as a share of the measurement
 * @param runIds runs that the measurements come from
 */
record Regression(
        String sweep,
        String role,
        String metric,
        String unit,
        Form form,
        double intercept,
        double slope,
        double slopeLow,
        double slopeHigh,
        double exponent,
        double largestSize,
        double forecast,
        double measured,
        double relativeError,
        Set<String> runIds) {
    /** Form of the growth; {@code WORSE} is a power law with an exponent above 1. */
    enum Form {
        FLAT,
        LOG,
        LINEAR,
        WORSE
    }

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int MIN_SIZES = 4;
    private static final double SIGNIFICANCE_LEVEL = 0.05;

    /** Values whose spread is at most this share of their mean count as constant. */
    private static final double FLAT_SPREAD_SHARE = 0.05;

    /**
     * Fits the measurements of one metric; returns null where there are fewer than {@link
     * #MIN_SIZES} sizes. Measurements without a value are left out.
     */
    static Regression of(List<Measurement> measurements) {
        TreeMap<Double, List<Double>> valuesBySize = new TreeMap<>();
        Set<String> runIds = new TreeSet<>();
        for (Measurement m : measurements) {
            if (Double.isFinite(m.value())) {
                valuesBySize.computeIfAbsent(m.x(), x -> new ArrayList<>()).add(m.value());
                runIds.add(m.runId());
            }
        }
        if (valuesBySize.size() < MIN_SIZES) {
            return null;
        }
        Measurement first = measurements.get(0);
        double largestSize = valuesBySize.lastKey();
        double measured = mean(valuesBySize.remove(largestSize));
        double[] xs = valuesBySize.keySet().stream().mapToDouble(x -> x).toArray();
        double[] ys = valuesBySize.values().stream().mapToDouble(Regression::mean).toArray();
        FittedModel model = selectModel(xs, ys);
        double forecast = model.predictor.applyAsDouble(largestSize);
        double relativeError =
                measured == 0
                        ? forecast == 0 ? 0 : Double.NaN
                        : Math.abs(forecast - measured) / Math.abs(measured);
        return new Regression(
                first.sweep(),
                first.role(),
                first.metric(),
                first.unit(),
                model.form,
                model.intercept,
                model.slope,
                model.slopeLow,
                model.slopeHigh,
                model.exponent,
                largestSize,
                forecast,
                measured,
                relativeError,
                runIds);
    }

    private static double mean(List<Double> values) {
        return values.stream().mapToDouble(v -> v).average().orElse(Double.NaN);
    }

    private record FittedModel(
            Form form,
            double intercept,
            double slope,
            double slopeLow,
            double slopeHigh,
            double exponent,
            DoubleUnaryOperator predictor) {}

    private static FittedModel selectModel(double[] xs, double[] ys) {
        SimpleRegression linear = regression(xs, ys, x -> x, y -> y);
        double mean = Arrays.stream(ys).average().orElse(0);
        double max = Arrays.stream(ys).max().orElse(0);
        double min = Arrays.stream(ys).min().orElse(0);
        boolean positiveSizes = xs[0] > 0;
        SimpleRegression log = positiveSizes ? regression(xs, ys, Math::log, y -> y) : null;
        if (max - min <= FLAT_SPREAD_SHARE * Math.abs(mean)
                || (!hasSignificantSlope(linear) && (log == null || !hasSignificantSlope(log)))) {
            double halfWidth = slopeHalfWidth(linear);
            return new FittedModel(
                    Form.FLAT,
                    mean,
                    0,
                    linear.getSlope() - halfWidth,
                    linear.getSlope() + halfWidth,
                    Double.NaN,
                    x -> mean);
        }
        double linearError = sumOfSquaredResiduals(xs, ys, linear::predict);
        if (positiveSizes && min > 0) {
            SimpleRegression power = regression(xs, ys, Math::log, Math::log);
            double halfWidth = slopeHalfWidth(power);
            DoubleUnaryOperator predictor = x -> Math.exp(power.predict(Math.log(x)));
            if (power.getSlope() - halfWidth > 1
                    && sumOfSquaredResiduals(xs, ys, predictor) < linearError) {
                return new FittedModel(
                        Form.WORSE,
                        power.getIntercept(),
                        power.getSlope(),
                        power.getSlope() - halfWidth,
                        power.getSlope() + halfWidth,
                        power.getSlope(),
                        predictor);
            }
        }
        boolean logarithmic =
                log != null
                        && sumOfSquaredResiduals(xs, ys, x -> log.predict(Math.log(x)))
                                < linearError;
        SimpleRegression best = logarithmic ? log : linear;
        double halfWidth = slopeHalfWidth(best);
        return new FittedModel(
                logarithmic ? Form.LOG : Form.LINEAR,
                best.getIntercept(),
                best.getSlope(),
                best.getSlope() - halfWidth,
                best.getSlope() + halfWidth,
                Double.NaN,
                x -> best.predict(logarithmic ? Math.log(x) : x));
    }

    private static SimpleRegression regression(
            double[] xs,
            double[] ys,
            DoubleUnaryOperator transformX,
            DoubleUnaryOperator transformY) {
        SimpleRegression regression = new SimpleRegression();
        for (int i = 0; i < xs.length; i++) {
            regression.addData(transformX.applyAsDouble(xs[i]), transformY.applyAsDouble(ys[i]));
        }
        return regression;
    }

    private static double slopeHalfWidth(SimpleRegression regression) {
        return regression.getN() < 3
                ? Double.NaN
                : regression.getSlopeConfidenceInterval(SIGNIFICANCE_LEVEL);
    }

    /** Whether the confidence interval of the slope excludes 0. */
    private static boolean hasSignificantSlope(SimpleRegression regression) {
        return Math.abs(regression.getSlope()) > slopeHalfWidth(regression);
    }

    private static double sumOfSquaredResiduals(
            double[] xs, double[] ys, DoubleUnaryOperator predictor) {
        double sum = 0;
        for (int i = 0; i < xs.length; i++) {
            sum += Math.pow(ys[i] - predictor.applyAsDouble(xs[i]), 2);
        }
        return sum;
    }

    /** The value that this regression predicts at size {@code x}. */
    double predict(double x) {
        return switch (form) {
            case FLAT -> intercept;
            case LOG -> intercept + slope * Math.log(x);
            case LINEAR -> intercept + slope * x;
            case WORSE -> Math.exp(intercept) * Math.pow(x, exponent);
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
        Measurement.putNumber(o, "a", intercept);
        Measurement.putNumber(o, "b", slope);
        Measurement.putNumber(o, "low", slopeLow);
        Measurement.putNumber(o, "high", slopeHigh);
        Measurement.putNumber(o, "exponent", exponent);
        Measurement.putNumber(o, "largest", largestSize);
        Measurement.putNumber(o, "foretold", forecast);
        Measurement.putNumber(o, "measured", measured);
        Measurement.putNumber(o, "error", relativeError);
        ArrayNode runArray = o.putArray("runs");
        runIds.forEach(runArray::add);
        return o.toString();
    }
}
