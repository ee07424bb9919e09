package tinroad.lab.scale;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.style.markers.SeriesMarkers;

/**
 * Draws the charts of a sweep, one for each metric that operators need: the measured points and the
 * regression as a curve.
 */
final class ScaleCharts {
    private static final List<String> METRICS =
            List.of(
                    "cpu_part",
                    "resident_mb",
                    "bytes_in_s",
                    "start_ms",
                    "added_p99_ms",
                    "death_known_ms");
    private static final int CURVE_STEPS = 60;

    private ScaleCharts() {}

    static void draw(
            String sweepName,
            List<Measurement> measurements,
            List<Regression> regressions,
            Path folder)
            throws IOException {
        // Headless: the charts are written to files.
        System.setProperty("java.awt.headless", "true");
        for (String metric : METRICS) {
            XYChart chart =
                    new XYChartBuilder()
                            .width(720)
                            .height(360)
                            .title(sweepName + ": " + metric)
                            .xAxisTitle(sweepName)
                            .yAxisTitle(metric)
                            .build();
            for (String role : List.of("hollow", "real")) {
                addPoints(
                        chart,
                        role,
                        measurements.stream()
                                .filter(
                                        m ->
                                                m.role().equals(role)
                                                        && m.metric().equals(metric)
                                                        && Double.isFinite(m.value()))
                                .toList());
                regressions.stream()
                        .filter(r -> r.role().equals(role) && r.metric().equals(metric))
                        .forEach(r -> addCurve(chart, r, measurements));
            }
            if (!chart.getSeriesMap().isEmpty()) {
                chart.getStyler().setYAxisMin(0.0);
                BitmapEncoder.saveBitmap(
                        chart,
                        folder.resolve("scale-" + sweepName + "-" + metric.replace('_', '-'))
                                .toString(),
                        BitmapEncoder.BitmapFormat.PNG);
            }
        }
    }

    private static void addPoints(XYChart chart, String role, List<Measurement> measurements) {
        if (!measurements.isEmpty()) {
            chart.addSeries(
                            role,
                            measurements.stream().mapToDouble(Measurement::x).toArray(),
                            measurements.stream().mapToDouble(Measurement::value).toArray())
                    .setMarker(SeriesMarkers.CIRCLE)
                    .setLineWidth(0);
        }
    }

    private static void addCurve(XYChart chart, Regression r, List<Measurement> measurements) {
        double smallest = measurements.stream().mapToDouble(Measurement::x).min().orElse(0);
        List<Double> xs = new ArrayList<>();
        List<Double> ys = new ArrayList<>();
        for (int i = 0; i <= CURVE_STEPS; i++) {
            double x = smallest + (r.largestSize() - smallest) * i / CURVE_STEPS;
            xs.add(x);
            ys.add(r.predict(x));
        }
        chart.addSeries(
                        r.role()
                                + ", "
                                + r.form().name().toLowerCase(Locale.ROOT)
                                + " of all but the largest",
                        xs,
                        ys)
                .setMarker(SeriesMarkers.NONE)
                .setLineWidth(1);
    }
}
