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
 * What runs have measured, and the fits over it, as the result files hold them. A file that is not
 * there has no lines. Guards against a fit that names a run of which there is no point: such a fit
 * is a fault of the file.
 */
final class Results {
    /**
     * A measured value; {@code value} is NaN where the machine could not carry the size, and {@code
     * note} says why.
     */
    record Point(String run, double x, double value, String unit, String note) {}

    /**
     * A slope: the form, what it foretold of the largest size that was run, and how far off that
     * was.
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
            double largest,
            double foretold,
            double measured,
            double error,
            List<String> runs) {

        double at(double x) {
            return switch (form) {
                case "flat" -> a;
                case "log" -> a + b * StrictMath.log(x);
                case "linear" -> a + b * x;
                default -> StrictMath.exp(a) * StrictMath.pow(x, exponent);
            };
        }
    }

    /**
     * How far a hollow gateway is off from a real one in the same fleet; {@code off} is relative,
     * the sweep and its size may not be told.
     */
    record Off(
            String run,
            String metric,
            double hollow,
            double real,
            double off,
            String sweep,
            double x) {
        /** At which size, in words. */
        String where() {
            return Double.isNaN(x) ? "" : " (at " + Numbers.format(x) + ")";
        }
    }

    private static final Set<String> FORMS = Set.of("flat", "log", "linear", "worse");
    private static final ObjectMapper JSON = new ObjectMapper();

    private final Map<String, List<Point>> points = new LinkedHashMap<>();
    private final Map<String, Fit> fits = new TreeMap<>();
    private final List<Off> offs = new ArrayList<>();
    private final Set<String> runs = new TreeSet<>();
    private final List<ValidationError> faults = new ArrayList<>();

    /** Reads the three files. */
    Results(List<Path> pointFiles, List<Path> fitFiles, List<Path> offFiles) throws IOException {
        for (Path file : pointFiles) {
            read(file, this::point);
        }
        for (Path file : fitFiles) {
            read(file, this::fit);
        }
        for (Path file : offFiles) {
            read(file, this::off);
        }
    }

    private interface Line {
        /**
         * Takes a line; throws {@link IllegalArgumentException} in words where it is no such line.
         */
        void take(JsonNode line, int number);
    }

    private void read(Path file, Line take) throws IOException {
        if (!Files.exists(file)) {
            return;
        }
        List<String> lines = Files.readAllLines(file);
        for (int i = 0; i < lines.size(); i++) {
            try {
                if (!lines.get(i).isBlank()) {
                    take.take(JSON.readTree(lines.get(i)), i + 1);
                }
            } catch (JsonProcessingException e) {
                faults.add(
                        new ValidationError(
                                file.toString(), i + 1, "", "not JSON: " + e.getOriginalMessage()));
            } catch (IllegalArgumentException e) {
                faults.add(new ValidationError(file.toString(), i + 1, "", e.getMessage()));
            }
        }
    }

    private static double number(JsonNode line, String key) {
        return line.path(key).asDouble(Double.NaN);
    }

    private void point(JsonNode line, int number) {
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
                                number(line, "value"),
                                line.get("unit").asText(),
                                line.path("note").asText("")));
    }

    private void fit(JsonNode line, int number) {
        List<String> of = new ArrayList<>();
        line.path("runs").forEach(r -> of.add(r.asText()));
        Fit fit =
                new Fit(
                        line.path("id").asText(),
                        line.path("unit").asText(),
                        line.path("form").asText(),
                        number(line, "a"),
                        number(line, "b"),
                        number(line, "low"),
                        number(line, "high"),
                        number(line, "exponent"),
                        number(line, "largest"),
                        number(line, "foretold"),
                        number(line, "measured"),
                        number(line, "error"),
                        of);
        if (fit.id().isEmpty() || !FORMS.contains(fit.form()) || Double.isNaN(fit.a())) {
            throw new IllegalArgumentException(
                    "a fit must have id, a, and as form one of flat, log, linear, worse");
        }
        of.stream()
                .filter(run -> !runs.contains(run))
                .findFirst()
                .ifPresent(
                        run -> {
                            throw new IllegalArgumentException(
                                    "fit "
                                            + fit.id()
                                            + " names the run "
                                            + run
                                            + ", of which there is no point");
                        });
        if (of.isEmpty()) {
            throw new IllegalArgumentException("fit " + fit.id() + " names no run");
        }
        if (fits.put(fit.id(), fit) != null) {
            throw new IllegalArgumentException("fit " + fit.id() + " stands there twice");
        }
    }

    private void off(JsonNode line, int number) {
        String run = line.path("run").asText();
        if (!runs.contains(run)) {
            throw new IllegalArgumentException(
                    "names the run " + run + ", of which there is no point");
        }
        offs.add(
                new Off(
                        run,
                        line.path("metric").asText(),
                        number(line, "hollow"),
                        number(line, "real"),
                        number(line, "off"),
                        line.path("sweep").asText(),
                        number(line, "x")));
    }

    /** What is wrong in the files. */
    List<ValidationError> faults() {
        return faults;
    }

    /** The fit of this name, or null. */
    Fit fit(String id) {
        return fits.get(id);
    }

    /** All fits, by name. */
    Map<String, Fit> fits() {
        return Collections.unmodifiableMap(fits);
    }

    /** Names of all that has points. */
    Set<String> measured() {
        return points.keySet();
    }

    /** What was measured at exactly this size, those that could not be carried included. */
    List<Point> at(String id, double x) {
        return points.getOrDefault(id, List.of()).stream().filter(p -> p.x() == x).toList();
    }

    /** How far hollow ones are off. */
    List<Off> offs() {
        return offs;
    }
}
