package tinroad.lab.capacity;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import tinroad.operator.ValidationError;

/**
 * The contents of the result files: measured points, the fits over them, and comparisons of hollow
 * and real gateways. A missing file counts as empty. A fit or a comparison that names a run without
 * any point is an error.
 */
final class Results {
    /**
     * A measured value. {@code value} is NaN if the machine could not handle the size; {@code note}
     * then says why.
     */
    record Point(String run, double x, double value, String unit, String note) {}

    /**
     * A function fitted to the measured points.
     *
     * @param form how a value grows with the size: flat, log, linear or worse (a power law)
     * @param a constant term; for a power law the logarithm of its coefficient
     * @param b slope
     * @param low lower bound of the 95% interval of the slope
     * @param high upper bound of the 95% interval of the slope
     * @param exponent exponent of a power law
     * @param largestSize largest size that was run
     * @param predicted value that the fit over the smaller sizes predicted at the largest size
     * @param measured value measured at the largest size
     * @param relativeError error of the prediction; NaN if no prediction was tested
     * @param runs runs whose points were fitted
     */
    record Fit(
            String id,
            String unit,
            String form,
            double a,
            double b,
            double low,
            double high,
            double exponent,
            double largestSize,
            double predicted,
            double measured,
            double relativeError,
            List<String> runs) {

        /** Returns the fitted value at size {@code x}. */
        double valueAt(double x) {
            return switch (form) {
                case "flat" -> a;
                case "log" -> a + b * StrictMath.log(x);
                case "linear" -> a + b * x;
                default -> StrictMath.exp(a) * StrictMath.pow(x, exponent);
            };
        }
    }

    /**
     * The deviation of a hollow gateway from a real one in the same fleet.
     *
     * @param relative deviation relative to the real gateway; NaN if unknown
     * @param sweep name of the sweep, or empty if unknown
     * @param x size in this sweep, or NaN if unknown
     */
    record Deviation(
            String run,
            String metric,
            double hollow,
            double real,
            double relative,
            String sweep,
            double x) {
        /** Returns the size as a suffix for a table cell, or an empty string if it is unknown. */
        String sizeText() {
            return Double.isNaN(x) ? "" : " (at " + Numbers.format(x) + ")";
        }
    }

    private static final Set<String> FORMS = Set.of("flat", "log", "linear", "worse");
    private static final ObjectMapper JSON = new ObjectMapper();

    private final Map<String, List<Point>> points = new LinkedHashMap<>();
    private final Map<String, Fit> fits = new TreeMap<>();
    private final List<Deviation> deviations = new ArrayList<>();
    private final Set<String> runs = new TreeSet<>();
    private final List<ValidationError> errors = new ArrayList<>();

    /** Reads the three kinds of result files. */
    Results(List<Path> pointFiles, List<Path> fitFiles, List<Path> deviationFiles)
            throws IOException {
        for (Path file : pointFiles) {
            read(file, this::parsePoint);
        }
        for (Path file : fitFiles) {
            read(file, this::parseFit);
        }
        for (Path file : deviationFiles) {
            read(file, this::parseDeviation);
        }
    }

    private interface LineParser {
        /**
         * Parses a line. Throws {@link IllegalArgumentException} with a message for the user if the
         * line is invalid.
         */
        void parse(JsonNode line, int lineNumber);
    }

    private void read(Path file, LineParser parser) throws IOException {
        if (!Files.exists(file)) {
            return;
        }
        List<String> lines = Files.readAllLines(file);
        for (int i = 0; i < lines.size(); i++) {
            try {
                if (!lines.get(i).isBlank()) {
                    parser.parse(JSON.readTree(lines.get(i)), i + 1);
                }
            } catch (JsonProcessingException e) {
                errors.add(
                        new ValidationError(
                                file.toString(), i + 1, "", "not JSON: " + e.getOriginalMessage()));
            } catch (IllegalArgumentException e) {
                errors.add(new ValidationError(file.toString(), i + 1, "", e.getMessage()));
            }
        }
    }

    private static double numberOrNaN(JsonNode line, String key) {
        return line.path(key).asDouble(Double.NaN);
    }

    private void parsePoint(JsonNode line, int lineNumber) {
        for (String key : List.of("run", "sweep", "x", "role", "metric", "unit")) {
            if (!line.hasNonNull(key)) {
                throw new IllegalArgumentException("a point must have " + key);
            }
        }
        String run = line.get("run").asText();
        runs.add(run);
        points.computeIfAbsent(
                        line.get("sweep").asText()
                                + "/"
                                + line.get("role").asText()
                                + "/"
                                + line.get("metric").asText(),
                        id -> new ArrayList<>())
                .add(
                        new Point(
                                run,
                                line.get("x").asDouble(),
                                numberOrNaN(line, "value"),
                                line.get("unit").asText(),
                                line.path("note").asText("")));
    }

    private void parseFit(JsonNode line, int lineNumber) {
        List<String> fitRuns = new ArrayList<>();
        line.path("runs").forEach(r -> fitRuns.add(r.asText()));
        Fit fit =
                new Fit(
                        line.path("id").asText(),
                        line.path("unit").asText(),
                        line.path("form").asText(),
                        numberOrNaN(line, "a"),
                        numberOrNaN(line, "b"),
                        numberOrNaN(line, "low"),
                        numberOrNaN(line, "high"),
                        numberOrNaN(line, "exponent"),
                        numberOrNaN(line, "largest"),
                        numberOrNaN(line, "foretold"),
                        numberOrNaN(line, "measured"),
                        numberOrNaN(line, "error"),
                        fitRuns);
        if (fit.id().isEmpty() || !FORMS.contains(fit.form()) || Double.isNaN(fit.a())) {
            throw new IllegalArgumentException(
                    "a fit must have id, a, and as form one of flat, log, linear, worse");
        }
        fitRuns.stream()
                .filter(run -> !runs.contains(run))
                .findFirst()
                .ifPresent(
                        run -> {
                            throw new IllegalArgumentException(
                                    "fit "
                                            + fit.id()
                                            + " names the run "
                                            + run
                                            + ", which has no points");
                        });
        if (fitRuns.isEmpty()) {
            throw new IllegalArgumentException("fit " + fit.id() + " names no run");
        }
        if (fits.put(fit.id(), fit) != null) {
            throw new IllegalArgumentException("fit " + fit.id() + " appears twice");
        }
    }

    private void parseDeviation(JsonNode line, int lineNumber) {
        String run = line.path("run").asText();
        if (!runs.contains(run)) {
            throw new IllegalArgumentException("names the run " + run + ", which has no points");
        }
        deviations.add(
                new Deviation(
                        run,
                        line.path("metric").asText(),
                        numberOrNaN(line, "hollow"),
                        numberOrNaN(line, "real"),
                        numberOrNaN(line, "off"),
                        line.path("sweep").asText(),
                        numberOrNaN(line, "x")));
    }

    /** Returns the errors found in the files. */
    List<ValidationError> errors() {
        return errors;
    }

    /** Returns the fit with this id, or null. */
    Fit fit(String id) {
        return fits.get(id);
    }

    /** Returns all fits by their ids. */
    Map<String, Fit> fits() {
        return Collections.unmodifiableMap(fits);
    }

    /** Returns the ids ({@code SWEEP/ROLE/METRIC}) that have points. */
    Set<String> pointIds() {
        return points.keySet();
    }

    /**
     * Returns the points at exactly this size, including those that the machine could not handle.
     */
    List<Point> pointsAt(String id, double x) {
        return points.getOrDefault(id, List.of()).stream().filter(p -> p.x() == x).toList();
    }

    /** Returns the deviations of hollow gateways from real ones. */
    List<Deviation> deviations() {
        return deviations;
    }
}
