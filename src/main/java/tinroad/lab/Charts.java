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

/**
 * The charts of a run: service, and the tries that the fleet meets, over the day; each as SVG and
 * PNG.
 */
final class Charts {
    private static final int STEP = 5;

    private Charts() {}

    static void draw(Schedule plan, RunMetrics measures, double faultEnd, Path folder)
            throws IOException {
        // No display: the pictures go into files.
        System.setProperty("java.awt.headless", "true");
        double step = STEP * RunMetrics.WINDOW;
        List<Double> at = new ArrayList<>();
        List<Double> service = new ArrayList<>();
        List<Double> tries = new ArrayList<>();
        List<Double> possible = new ArrayList<>();
        RecoveryBound bound = new RecoveryBound(plan, 0);
        for (double t = 0; t + step <= plan.script().length(); t += step) {
            double share = measures.service(t, t + step);
            int sent = 0;
            for (int n : measures.arrivals(t, t + step)) {
                sent += n;
            }
            at.add((t + step / 2) / 1000);
            service.add(Double.isNaN(share) ? 0 : share);
            possible.add(bound.service(t + step / 2));
            tries.add(sent / step * 1000);
        }
        XYChart served =
                chart(plan, "share of the worth served in time", at, service, 1.05, faultEnd);
        served.addSeries("what the engines' warm-up allows", at, possible)
                .setMarker(SeriesMarkers.NONE)
                .setLineColor(Color.GRAY)
                .setLineWidth(1);
        save(served, folder.resolve("service"));
        save(
                chart(
                        plan,
                        "tries a second",
                        at,
                        tries,
                        1.1 * tries.stream().mapToDouble(d -> d).max().orElse(1),
                        faultEnd),
                folder.resolve("tries"));
    }

    private static XYChart chart(
            Schedule plan,
            String what,
            List<Double> x,
            List<Double> y,
            double top,
            double faultEnd) {
        XYChart chart =
                new XYChartBuilder()
                        .width(900)
                        .height(360)
                        .title(plan.script().title() + ", seed " + plan.seed())
                        .xAxisTitle("s")
                        .yAxisTitle(what)
                        .build();
        chart.getStyler().setYAxisMin(0.0).setYAxisMax(top).setLegendVisible(false);
        chart.addSeries(what, x, y).setMarker(SeriesMarkers.NONE);
        line(chart, "faults begin", plan.firstFault(), top, Color.RED);
        line(chart, "faults end", faultEnd, top, Color.GREEN.darker());
        return chart;
    }

    private static void line(XYChart chart, String name, double at, double top, Color color) {
        if (!Double.isNaN(at)) {
            chart.addSeries(name, new double[] {at / 1000, at / 1000}, new double[] {0, top})
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
