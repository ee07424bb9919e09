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

/** What a sweep has measured, and the files that tell of it. */
public final class Sweep {
    /** Names of its files in the folder of results. */
    static final String POINTS = "scale.jsonl";

    static final String FITS = "scale-fits.jsonl";
    static final String CHECKS = "scale-hollow-real.jsonl";

    /** What a hollow gateway and a real one without load are both measured by. */
    static final List<String> CHECKED =
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

    private final String run;
    private final String name;
    private final List<Line> lines;

    Sweep(String run, String name, List<Line> lines) {
        this.run = run;
        this.name = name;
        this.lines = lines;
    }

    List<Line> lines() {
        return lines;
    }

    /** Fits of all figures that have enough sizes, by role and name. */
    List<Fit> fits() {
        Map<String, List<Line>> byFigure =
                lines.stream()
                        .collect(
                                Collectors.groupingBy(
                                        l -> l.role() + "/" + l.metric(),
                                        LinkedHashMap::new,
                                        Collectors.toList()));
        return byFigure.values().stream().map(Fit::of).filter(f -> f != null).toList();
    }

    /** Hollow beside real, size by size, as lines of JSON. */
    List<String> checks() {
        List<String> all = new ArrayList<>();
        for (Line h : lines) {
            if (h.role().equals("hollow") && CHECKED.contains(h.metric())) {
                lines.stream()
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
                                                    .put("run", run)
                                                    .put("sweep", name);
                                    Line.number(o, "x", h.x());
                                    o.put("metric", h.metric());
                                    Line.number(o, "hollow", h.value());
                                    Line.number(o, "real", r.value());
                                    Line.number(o, "off", h.value() / r.value() - 1);
                                    o.put("n", h.n());
                                    all.add(o.toString());
                                });
            }
        }
        return all;
    }

    /** The table of the command: each figure at each size. */
    public List<List<Object>> rows() {
        List<List<Object>> rows = new ArrayList<>();
        for (Line l : lines) {
            rows.add(
                    List.of(
                            ScaleReader.plain(l.x()),
                            l.role(),
                            l.metric(),
                            Double.isFinite(l.value())
                                    ? String.format(Locale.ROOT, "%.4g", l.value())
                                    : "-",
                            l.unit(),
                            l.n(),
                            l.note()));
        }
        return rows;
    }

    /** The same as lines of JSON. */
    public List<String> json() {
        return lines.stream().map(Line::json).toList();
    }

    /** Whether a size was not carried. */
    public boolean refused() {
        return lines.stream().anyMatch(l -> l.note().startsWith("not played"));
    }

    /**
     * Adds its points to the folder's, and puts its fits in the place of those of an earlier run of
     * the same sweep; charts beside them.
     */
    public void write(Path folder) throws IOException {
        Files.createDirectories(folder);
        Files.write(
                folder.resolve(POINTS),
                json(),
                StandardOpenOption.CREATE,
                StandardOpenOption.APPEND);
        Files.write(
                folder.resolve(CHECKS),
                checks(),
                StandardOpenOption.CREATE,
                StandardOpenOption.APPEND);
        Path file = folder.resolve(FITS);
        List<String> kept = new ArrayList<>();
        if (Files.exists(file)) {
            for (String line : Files.readAllLines(file)) {
                if (!JSON.readTree(line).path("sweep").asText().equals(name)) {
                    kept.add(line);
                }
            }
        }
        fits().forEach(f -> kept.add(f.json()));
        Files.write(file, kept);
        ScaleCharts.draw(name, lines, fits(), folder);
    }
}
