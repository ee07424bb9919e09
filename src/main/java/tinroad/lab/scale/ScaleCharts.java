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
 * The charts of a sweep, one for each figure that operators ask for: points as measured, the fit as
 * a line.
 */
final class ScaleCharts {
    private static final List<String> DRAWN =
            List.of(
                    "cpu_part",
                    "resident_mb",
                    "bytes_in_s",
                    "start_ms",
                    "added_p99_ms",
                    "death_known_ms");
    private static final int STEPS = 60;

    private ScaleCharts() {}

    static void draw(String sweep, List<Line> lines, List<Fit> fits, Path folder)
            throws IOException {
        // No display: the pictures go into files.
        System.setProperty("java.awt.headless", "true");
        for (String metric : DRAWN) {
            XYChart chart =
                    new XYChartBuilder()
                            .width(720)
                            .height(360)
                            .title(sweep + ": " + metric)
                            .xAxisTitle(sweep)
                            .yAxisTitle(metric)
                            .build();
            for (String role : List.of("hollow", "real")) {
                points(
                        chart,
                        role,
                        lines.stream()
                                .filter(
                                        l ->
                                                l.role().equals(role)
                                                        && l.metric().equals(metric)
                                                        && Double.isFinite(l.value()))
                                .toList());
                fits.stream()
                        .filter(f -> f.role().equals(role) && f.metric().equals(metric))
                        .forEach(f -> fit(chart, f, lines));
            }
            if (!chart.getSeriesMap().isEmpty()) {
                chart.getStyler().setYAxisMin(0.0);
                BitmapEncoder.saveBitmap(
                        chart,
                        folder.resolve("scale-" + sweep + "-" + metric.replace('_', '-'))
                                .toString(),
                        BitmapEncoder.BitmapFormat.PNG);
            }
        }
    }

    private static void points(XYChart chart, String role, List<Line> lines) {
        if (!lines.isEmpty()) {
            chart.addSeries(
                            role,
                            lines.stream().mapToDouble(Line::x).toArray(),
                            lines.stream().mapToDouble(Line::value).toArray())
                    .setMarker(SeriesMarkers.CIRCLE)
                    .setLineWidth(0);
        }
    }

    private static void fit(XYChart chart, Fit f, List<Line> lines) {
        double from = lines.stream().mapToDouble(Line::x).min().orElse(0);
        List<Double> xs = new ArrayList<>();
        List<Double> ys = new ArrayList<>();
        for (int i = 0; i <= STEPS; i++) {
            double x = from + (f.largest() - from) * i / STEPS;
            xs.add(x);
            ys.add(f.at(x));
        }
        chart.addSeries(
                        f.role()
                                + ", "
                                + f.form().name().toLowerCase(Locale.ROOT)
                                + " of all but the largest",
                        xs,
                        ys)
                .setMarker(SeriesMarkers.NONE)
                .setLineWidth(1);
    }
}
