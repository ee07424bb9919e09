package tinroad.lab.scale;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Collectors;

/** The measurements of a sweep, and the files that they are written to. */
public final class SweepResult {
    /** Names of the files in the results folder. */
    static final String POINTS_FILE = "scale.jsonl";

    static final String FITS_FILE = "scale-fits.jsonl";
    static final String CHECKS_FILE = "scale-hollow-real.jsonl";

    /** Metrics that are compared between a hollow gateway and a real one without load. */
    static final List<String> COMPARED_METRICS =
            List.of(
                    "cpu_part",
                    "loop_part",
                    "heap_mb",
                    "resident_mb",
                    "datagrams_in_s",
                    "datagrams_out_s",
                    "bytes_in_s",
                    "bytes_out_s",
                    "start_ms",
                    "stall_ms",
                    "descriptors");

    private static final ObjectMapper JSON = new ObjectMapper();

    private final String runId;
    private final String sweepName;
    private final List<Measurement> measurements;

    SweepResult(String runId, String sweepName, List<Measurement> measurements) {
        this.runId = runId;
        this.sweepName = sweepName;
        this.measurements = measurements;
    }

    List<Measurement> measurements() {
        return measurements;
    }

    /** Regressions of all metrics that have enough sizes, by role and name. */
    List<Regression> regressions() {
        Map<String, List<Measurement>> byMetric =
                measurements.stream()
                        .collect(
                                Collectors.groupingBy(
                                        m -> m.role() + "/" + m.metric(),
                                        LinkedHashMap::new,
                                        Collectors.toList()));
        return byMetric.values().stream().map(Regression::of).filter(f -> f != null).toList();
    }

    /** Comparison of the hollow gateways with the real ones at each size, as lines of JSON. */
    List<String> comparisonsAsJson() {
        List<String> all = new ArrayList<>();
        for (Measurement h : measurements) {
            if (h.role().equals("hollow") && COMPARED_METRICS.contains(h.metric())) {
                measurements.stream()
                        .filter(
                                r ->
                                        r.role().equals("real")
                                                && r.metric().equals(h.metric())
                                                && r.x() == h.x())
                        .findFirst()
                        .ifPresent(
                                r -> {
                                    ObjectNode o =
                                            JSON.createObjectNode()
                                                    .put("run", runId)
                                                    .put("sweep", sweepName);
                                    Measurement.putNumber(o, "x", h.x());
                                    o.put("metric", h.metric());
                                    Measurement.putNumber(o, "hollow", h.value());
                                    Measurement.putNumber(o, "real", r.value());
                                    Measurement.putNumber(o, "off", h.value() / r.value() - 1);
                                    o.put("n", h.n());
                                    all.add(o.toString());
                                });
            }
        }
        return all;
    }

    /** The rows of the command's table: each metric at each size. */
    public List<List<Object>> tableRows() {
        List<List<Object>> rows = new ArrayList<>();
        for (Measurement m : measurements) {
            rows.add(
                    List.of(
                            ScaleReader.formatNumber(m.x()),
                            m.role(),
                            m.metric(),
                            Double.isFinite(m.value())
                                    ? String.format(Locale.ROOT, "%.4g", m.value())
                                    : "-",
                            m.unit(),
                            m.n(),
                            m.note()));
        }
        return rows;
    }

    /** The measurements as lines of JSON. */
    public List<String> measurementsAsJson() {
        return measurements.stream().map(Measurement::json).toList();
    }

    /** Whether a size could not be run. */
    public boolean hasUnplayedSize() {
        return measurements.stream().anyMatch(m -> m.note().startsWith("not played"));
    }

    /**
     * Appends the measurements to the files in the folder, replaces the regressions of earlier runs
     * of the same sweep, and draws the charts.
     */
    public void write(Path folder) throws IOException {
        Files.createDirectories(folder);
        Files.write(
                folder.resolve(POINTS_FILE),
                measurementsAsJson(),
                StandardOpenOption.CREATE,
                StandardOpenOption.APPEND);
        Files.write(
                folder.resolve(CHECKS_FILE),
                comparisonsAsJson(),
                StandardOpenOption.CREATE,
                StandardOpenOption.APPEND);
        Path file = folder.resolve(FITS_FILE);
        List<String> remaining = new ArrayList<>();
        if (Files.exists(file)) {
            for (String line : Files.readAllLines(file)) {
                if (!JSON.readTree(line).path("sweep").asText().equals(sweepName)) {
                    remaining.add(line);
                }
            }
        }
        regressions().forEach(f -> remaining.add(f.json()));
        Files.write(file, remaining);
        ScaleCharts.draw(sweepName, measurements, regressions(), folder);
    }
}
