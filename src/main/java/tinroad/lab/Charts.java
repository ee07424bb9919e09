package tinroad.lab;

import java.awt.Color;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.VectorGraphicsEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.style.markers.SeriesMarkers;
import tinroad.lab.schedule.Schedule;
import tinroad.lab.verification.RecoveryBound;
import tinroad.lab.verification.RunMetrics;

/** Draws the charts of a run, service and tries per second over time, each as SVG and PNG. */
final class Charts {
    /** Number of metric windows that one point of a chart covers. */
    private static final int WINDOWS_PER_POINT = 5;

    private Charts() {}

    static void draw(Schedule schedule, RunMetrics metrics, double faultEnd, Path folder)
            throws IOException {
        // The charts are written to files and need no display.
        System.setProperty("java.awt.headless", "true");
        double stepMillis = WINDOWS_PER_POINT * RunMetrics.WINDOW;
        List<Double> seconds = new ArrayList<>();
        List<Double> service = new ArrayList<>();
        List<Double> tries = new ArrayList<>();
        List<Double> possible = new ArrayList<>();
        RecoveryBound bound = new RecoveryBound(schedule, 0);
        for (double t = 0; t + stepMillis <= schedule.script().length(); t += stepMillis) {
            double share = metrics.service(t, t + stepMillis);
            int sent = 0;
            for (int n : metrics.arrivals(t, t + stepMillis)) {
                sent += n;
            }
            seconds.add((t + stepMillis / 2) / 1000);
            service.add(Double.isNaN(share) ? 0 : share);
            possible.add(bound.service(t + stepMillis / 2));
            tries.add(sent / stepMillis * 1000);
        }
        XYChart served =
                chart(
                        schedule,
                        "share of the worth served in time",
                        seconds,
                        service,
                        1.05,
                        faultEnd);
        served.addSeries("what the engines' warm-up allows", seconds, possible)
                .setMarker(SeriesMarkers.NONE)
                .setLineColor(Color.GRAY)
                .setLineWidth(1);
        save(served, folder.resolve("service"));
        save(
                chart(
                        schedule,
                        "tries a second",
                        seconds,
                        tries,
                        1.1 * tries.stream().mapToDouble(d -> d).max().orElse(1),
                        faultEnd),
                folder.resolve("tries"));
    }

    private static XYChart chart(
            Schedule schedule,
            String label,
            List<Double> x,
            List<Double> y,
            double top,
            double faultEnd) {
        XYChart chart =
                new XYChartBuilder()
                        .width(900)
                        .height(360)
                        .title(schedule.script().title() + ", seed " + schedule.seed())
                        .xAxisTitle("s")
                        .yAxisTitle(label)
                        .build();
        chart.getStyler().setYAxisMin(0.0).setYAxisMax(top).setLegendVisible(false);
        chart.addSeries(label, x, y).setMarker(SeriesMarkers.NONE);
        line(chart, "faults begin", schedule.firstFault(), top, Color.RED);
        line(chart, "faults end", faultEnd, top, Color.GREEN.darker());
        return chart;
    }

    private static void line(XYChart chart, String name, double atMillis, double top, Color color) {
        if (!Double.isNaN(atMillis)) {
            chart.addSeries(
                            name,
                            new double[] {atMillis / 1000, atMillis / 1000},
                            new double[] {0, top})
                    .setMarker(SeriesMarkers.NONE)
                    .setLineColor(color)
                    .setLineWidth(1);
        }
    }

    private static void save(XYChart chart, Path file) throws IOException {
        BitmapEncoder.saveBitmap(chart, file.toString(), BitmapEncoder.BitmapFormat.PNG);
        VectorGraphicsEncoder.saveVectorGraphic(
                chart, file.toString(), VectorGraphicsEncoder.VectorGraphicsFormat.SVG);
    }
}
