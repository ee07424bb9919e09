package tinroad.lab.capacity;

import com.typesafe.config.Config;
import com.typesafe.config.ConfigException;
import com.typesafe.config.ConfigList;
import com.typesafe.config.ConfigObject;
import com.typesafe.config.ConfigValue;
import java.io.IOException;
import java.lang.reflect.RecordComponent;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import tinroad.fleet.MembershipConfig;
import tinroad.operator.OperatorException;
import tinroad.operator.ValidatedFile;
import tinroad.operator.ValidationError;

/**
 * Calculates all figures of the page from the file of formulas, the result files and constants of
 * the code. Rejects figures without a basis: every input that a row names must exist, and a row
 * must not claim more certainty than its least certain input has.
 */
final class Figures {
    /**
     * A size of the target.
     *
     * @param formula formula over the sizes above it in the file, or empty for a plain number
     * @param source where the number comes from; empty means that the operators gave it
     * @param assumptionReason why the number is assumed, or empty if it is not
     */
    record TargetSize(
            String name,
            double value,
            String formula,
            String description,
            String source,
            String assumptionReason) {}

    /**
     * The evaluated term of a row.
     *
     * @param relativeError relative error of the fit that it was read from, or NaN
     * @param text description of the term for the page
     * @param missingReason why there is no value, or empty
     * @param hasNotes whether a run that it was read from has a note at its point
     */
    private record Term(
            double value,
            Kind kind,
            double relativeError,
            String text,
            String missingReason,
            boolean hasNotes) {
        static Term of(double value, Kind kind, String text) {
            return new Term(value, kind, Double.NaN, text, "", false);
        }

        static Term missing(String text, String why) {
            return new Term(Double.NaN, Kind.COMPUTED, Double.NaN, text, why, false);
        }
    }

    /** The keys that say what a term is read from; each term has exactly one of them. */
    private static final Set<String> TERM_SOURCES =
            new TreeSet<>(
                    Set.of("fit", "point", "assumed", "code", "tuning", "row", "beyond", "worth"));

    private final Config root;
    private final Path folder;
    private final Results results;
    private final Map<String, TargetSize> sizes = new LinkedHashMap<>();
    private final Map<String, Row.Evaluated> rows = new LinkedHashMap<>();
    private final Set<String> usedFits = new TreeSet<>();

    /** Runs that no row may use, and why. */
    private final Map<String, String> rejectedRuns = new LinkedHashMap<>();

    private final List<ValidationError> errors = new ArrayList<>();

    private Figures(Config root, Path folder) throws IOException {
        this.root = root;
        this.folder = folder;
        results =
                new Results(
                        resolveFiles("points"), resolveFiles("fits"), resolveFiles("hollow-real"));
        errors.addAll(results.errors());
        for (ConfigValue run : root.getList("rejected")) {
            Config config = ((ConfigObject) run).toConfig();
            rejectedRuns.put(config.getString("run"), config.getString("why"));
        }
    }

    /** Reads and calculates the figures of a file; throws with all errors found in it. */
    static Figures read(Path file) throws OperatorException, IOException {
        Config root = ValidatedFile.read(file, Figures.class);
        Figures figures = new Figures(root, file.toAbsolutePath().getParent());
        for (ConfigValue size : root.getList("target")) {
            figures.readTargetSize((ConfigObject) size);
        }
        for (ConfigValue row : (ConfigList) root.getValue("rows")) {
            figures.readRow((ConfigObject) row);
        }
        if (!figures.errors.isEmpty()) {
            throw new OperatorException(figures.errors.stream().distinct().sorted().toList());
        }
        return figures;
    }

    private List<Path> resolveFiles(String key) {
        return root.getStringList(key).stream().map(folder::resolve).toList();
    }

    private void addError(ConfigObject definition, String key, String text) {
        errors.add(ValidatedFile.errorAt(definition.getOrDefault(key, definition), key, text));
    }

    private void readTargetSize(ConfigObject definition) {
        Config config = definition.toConfig().withFallback(root.getConfig("each.target"));
        String name = config.getString("name");
        String sizeFormula = config.getString("size");
        try {
            List<String> assumptionReasons = new ArrayList<>(List.of(config.getString("assumed")));
            double value =
                    Formula.evaluate(
                            sizeFormula,
                            otherName -> {
                                assumptionReasons.add(sizeNamed(otherName).assumptionReason());
                                return sizeNamed(otherName).value();
                            });
            String formula = sizeFormula.matches("[0-9._eE-]+") ? "" : sizeFormula;
            if (sizes.put(
                            name,
                            new TargetSize(
                                    name,
                                    value,
                                    formula,
                                    config.getString("text"),
                                    config.getString("source"),
                                    joinDistinct(assumptionReasons)))
                    != null) {
                addError(definition, "name", "must differ from the names of the other sizes");
            }
        } catch (IllegalArgumentException e) {
            addError(definition, "size", e.getMessage());
        }
    }

    private TargetSize sizeNamed(String name) {
        if (!sizes.containsKey(name)) {
            throw new IllegalArgumentException(
                    "names "
                            + name
                            + ", which is neither a size of the target nor a term of this row");
        }
        return sizes.get(name);
    }

    // --- rows ---

    private void readRow(ConfigObject definition) {
        Config config = definition.toConfig().withFallback(root.getConfig("each.rows"));
        Map<String, ConfigObject> termDefinitions = new LinkedHashMap<>();
        config.getObject("terms").entrySet().stream()
                .sorted(Map.Entry.comparingByKey())
                .forEach(e -> termDefinitions.put(e.getKey(), (ConfigObject) e.getValue()));
        Row row =
                new Row(
                        definition,
                        config.getString("id"),
                        config.getString("table"),
                        config.getString("what"),
                        config.getString("unit"),
                        config.getString("figure"),
                        termDefinitions,
                        Kind.valueOf(config.getString("kind").toUpperCase(Locale.ROOT)),
                        config.getString("budget"),
                        config.getString("mechanism"),
                        config.getString("wants"),
                        config.getString("missing"));
        if (rows.containsKey(row.id()) || sizes.containsKey(row.id())) {
            addError(
                    definition,
                    "id",
                    "must differ from the ids of the other rows and the names of sizes");
            return;
        }
        Map<String, Term> terms = new LinkedHashMap<>();
        termDefinitions.forEach(
                (name, termDefinition) -> terms.put(name, readTerm(row, termDefinition)));
        Set<String> usedNames = new TreeSet<>();
        // A budget must not use a term whose run is missing: it would be NaN, which is an error.
        double budget =
                row.budgetFormula().isEmpty()
                        ? Double.NaN
                        : evaluate(row, "budget", row.budgetFormula(), terms, usedNames);
        boolean budgetAssumed = usedNames.stream().anyMatch(this::isAssumed);
        if (!row.budgetFormula().isEmpty()
                && row.mechanism().isEmpty() == row.wantedMechanism().isEmpty()) {
            addError(
                    definition,
                    "budget",
                    "must have either a mechanism that keeps it, or wants, naming the missing one");
        }
        String missingReasons =
                joinDistinct(terms.values().stream().map(Term::missingReason).toList());
        if (missingReasons.isEmpty() && !row.missingReason().isEmpty()) {
            addError(
                    definition,
                    "missing",
                    "is declared missing, but everything that it names exists");
        }
        double value = Double.NaN;
        double maxError = Double.NaN;
        if (missingReasons.isEmpty()) {
            Set<String> namesInFormula = new TreeSet<>();
            value = evaluate(row, "figure", row.formula(), terms, namesInFormula);
            maxError =
                    terms.values().stream()
                            .mapToDouble(Term::relativeError)
                            .filter(e -> !Double.isNaN(e))
                            .max()
                            .orElse(Double.NaN);
            Kind kind =
                    terms.values().stream()
                            .map(Term::kind)
                            .reduce(Kind.COMPUTED, Kind::lessCertain);
            kind = namesInFormula.stream().anyMatch(this::isAssumed) ? Kind.ASSUMED : kind;
            if (kind != row.declaredKind()) {
                addError(
                        definition,
                        "kind",
                        "must be "
                                + kind.text()
                                + " because of its inputs; found "
                                + row.declaredKind().text());
            }
            usedNames.addAll(namesInFormula);
            terms.keySet().stream()
                    .filter(name -> !usedNames.contains(name))
                    .forEach(
                            name ->
                                    addError(
                                            definition, "figure", "does not use its term " + name));
        }
        List<String> termTexts =
                terms.entrySet().stream()
                        .map(e -> e.getKey() + ": " + e.getValue().text())
                        .toList();
        rows.put(
                row.id(),
                new Row.Evaluated(
                        row,
                        value,
                        maxError,
                        row.missingReason().isEmpty() ? missingReasons : row.missingReason(),
                        termTexts,
                        budget,
                        budgetAssumed,
                        terms.values().stream().anyMatch(Term::hasNotes)));
    }

    private boolean isAssumed(String name) {
        return sizes.containsKey(name) && !sizes.get(name).assumptionReason().isEmpty();
    }

    private static String joinDistinct(List<String> texts) {
        return texts.stream()
                .filter(t -> !t.isEmpty())
                .distinct()
                .reduce((a, b) -> a + "; " + b)
                .orElse("");
    }

    private double evaluate(
            Row row, String key, String formula, Map<String, Term> terms, Set<String> usedNames) {
        try {
            double value =
                    Formula.evaluate(
                            formula,
                            name -> {
                                usedNames.add(name);
                                return terms.containsKey(name)
                                        ? terms.get(name).value()
                                        : sizeNamed(name).value();
                            });
            if (!Double.isFinite(value)) {
                addError(row.definition(), key, "has no finite value");
            }
            return value;
        } catch (IllegalArgumentException e) {
            addError(row.definition(), key, e.getMessage());
            return Double.NaN;
        }
    }

    // --- terms ---

    private Term readTerm(Row row, ConfigObject definition) {
        Set<String> sources = new TreeSet<>(definition.keySet());
        sources.retainAll(TERM_SOURCES);
        if (sources.size() != 1) {
            addError(definition, "", "must have one of " + String.join(", ", TERM_SOURCES));
            return Term.of(Double.NaN, Kind.COMPUTED, "");
        }
        String key = sources.iterator().next();
        try {
            return evaluateTerm(row, key, definition.toConfig());
        } catch (ConfigException.Missing e) {
            addError(
                    definition,
                    key,
                    "is incomplete: "
                            + e.getMessage().replaceAll(".*setting found for key '(\\w+)'.*", "$1")
                            + " is missing");
        } catch (IllegalArgumentException e) {
            addError(definition, key, e.getMessage());
        } catch (IOException e) {
            addError(definition, key, "can't be read: " + e.getMessage());
        }
        return Term.of(Double.NaN, row.declaredKind(), "");
    }

    private Term evaluateTerm(Row row, String key, Config config) throws IOException {
        return switch (key) {
            case "fit" -> withKindOfSizes(fitTerm(row, config), config, "at");
            case "point" -> withKindOfSizes(pointTerm(row, config), config, "at");
            case "assumed" ->
                    Term.of(
                            config.getDouble(key),
                            Kind.ASSUMED,
                            "assumed "
                                    + Numbers.format(config.getDouble(key))
                                    + " ("
                                    + config.getString("source")
                                    + ")");
            case "code" ->
                    constantTerm(
                            sourceConstant(config),
                            config.getString(key).replaceAll(".*/", "")
                                    + "."
                                    + config.getString("name"));
            case "tuning" ->
                    constantTerm(
                            membershipDefault(config.getString(key)),
                            "MembershipConfig." + config.getString(key));
            case "row" -> rowTerm(config.getString(key));
            default -> withKindOfSizes(quotaTerm(config, key), config, key, "places");
        };
    }

    private static Term constantTerm(double value, String name) {
        return Term.of(value, Kind.COMPUTED, "`" + name + "` = " + Numbers.format(value));
    }

    private double evaluateSize(Config config, String key) {
        return Formula.evaluate(config.getString(key), name -> sizeNamed(name).value());
    }

    /** Marks the term as assumed if one of the sizes that these settings name is assumed. */
    private Term withKindOfSizes(Term term, Config config, String... keys) {
        Set<String> names = new TreeSet<>();
        for (String key : keys) {
            Formula.evaluate(
                    config.getString(key),
                    name -> {
                        names.add(name);
                        return sizeNamed(name).value();
                    });
        }
        boolean assumed = names.stream().anyMatch(this::isAssumed);
        return assumed
                ? new Term(
                        term.value(),
                        Kind.ASSUMED,
                        term.relativeError(),
                        term.text(),
                        term.missingReason(),
                        term.hasNotes())
                : term;
    }

    private Term fitTerm(Row row, Config config) {
        String id = config.getString("fit");
        double size = evaluateSize(config, "at");
        String text = "fit `" + id + "` at " + Numbers.format(size);
        Results.Fit fit = results.fit(id);
        fit = fit != null && fit.runs().stream().anyMatch(rejectedRuns::containsKey) ? null : fit;
        if (fit == null && row.missingReason().isEmpty()) {
            throw new IllegalArgumentException(
                    "no fit "
                            + id
                            + " in the results; there are "
                            + idsOfSameSweep(id, results.fits().keySet()));
        } else if (fit == null) {
            return Term.missing(text, "wants " + id);
        }
        if (Double.isNaN(fit.relativeError())) {
            throw new IllegalArgumentException(
                    "fit " + id + " was not tested at a larger size: its error is unknown");
        }
        // A negative value shows that the form no longer holds beyond the largest run.
        if (fit.valueAt(size) < 0 && row.missingReason().isEmpty()) {
            throw new IllegalArgumentException(
                    "fit "
                            + id
                            + " has a negative value at "
                            + Numbers.format(size)
                            + ": it is not valid there");
        } else if (fit.valueAt(size) < 0) {
            return Term.missing(text, "less than nothing by " + id);
        }
        usedFits.add(id);
        return new Term(
                fit.valueAt(size),
                Kind.EXTRAPOLATED,
                fit.relativeError(),
                text + ", run up to " + Numbers.format(fit.largestSize()),
                "",
                false);
    }

    /** Returns the median of the points at this size; the text names the runs and their notes. */
    private Term pointTerm(Row row, Config config) {
        String id = config.getString("point");
        double size = evaluateSize(config, "at");
        String text = "point `" + id + "` at " + Numbers.format(size);
        List<Results.Point> points =
                results.pointsAt(id, size).stream()
                        .filter(p -> !rejectedRuns.containsKey(p.run()))
                        .toList();
        double[] values =
                points.stream()
                        .mapToDouble(Results.Point::value)
                        .filter(v -> !Double.isNaN(v))
                        .sorted()
                        .toArray();
        if (values.length == 0 && row.missingReason().isEmpty()) {
            throw new IllegalArgumentException(
                    "no point "
                            + id
                            + " at "
                            + Numbers.format(size)
                            + " in the results"
                            + points.stream()
                                    .map(
                                            p ->
                                                    ": the machine could not handle this size, "
                                                            + p.note())
                                    .findFirst()
                                    .orElse(
                                            "; there are "
                                                    + idsOfSameSweep(id, results.pointIds())));
        } else if (values.length == 0) {
            return Term.missing(text, "wants " + id + " at " + Numbers.format(size));
        }
        String sweep = id.replaceAll("/.*", "");
        String targetSize =
                root.hasPath("sweeps." + sweep) ? root.getString("sweeps." + sweep) : "";
        if (!config.getString("at").equals(targetSize)) {
            throw new IllegalArgumentException(
                    "is measured at "
                            + Numbers.format(size)
                            + ", which is not "
                            + (targetSize.isEmpty()
                                    ? "a size of the target that 'sweeps' names"
                                    : targetSize + ", the target's size of this sweep")
                            + ": name a fit");
        }
        double median = (values[(values.length - 1) / 2] + values[values.length / 2]) / 2;
        String notes = joinDistinct(points.stream().map(Results.Point::note).toList());
        String runs =
                points.stream()
                        .map(Results.Point::run)
                        .distinct()
                        .collect(Collectors.joining(", "));
        return new Term(
                median,
                Kind.MEASURED,
                Double.NaN,
                text + ", run " + runs + (notes.isEmpty() ? "" : " (" + notes + ")"),
                "",
                !notes.isEmpty());
    }

    /** Lists the ids that belong to the same sweep, for an error message. */
    private static String idsOfSameSweep(String id, Set<String> allIds) {
        String sweep = id.replaceAll("/.*", "/");
        String ids =
                allIds.stream().filter(n -> n.startsWith(sweep)).collect(Collectors.joining(", "));
        return ids.isEmpty() ? "none of " + sweep.replace("/", "") : ids;
    }

    private Term rowTerm(String id) {
        Row.Evaluated other = rows.get(id);
        if (other == null) {
            throw new IllegalArgumentException("no row " + id + " above this one");
        }
        return other.hasValue()
                ? new Term(
                        other.value(),
                        other.row().declaredKind(),
                        other.relativeError(),
                        "row `" + id + "`",
                        "",
                        other.hasNotes())
                : Term.missing("row `" + id + "`", "wants the row " + id);
    }

    private Term quotaTerm(Config config, String key) throws IOException {
        double quota = evaluateSize(config, key);
        double counters = evaluateSize(config, "places");
        double demandFactor = config.getDouble("times");
        TenantQuotaSimulation.Outcome outcome =
                new TenantQuotaSimulation(
                                sourceConstant(root.getConfig("window")),
                                sourceConstant(root.getConfig("spread")))
                        .simulate(quota, demandFactor, counters);
        return Term.of(
                key.equals("beyond") ? outcome.overShare() : outcome.meanWeight(),
                Kind.COMPUTED,
                "tenant with a quota of `"
                        + config.getString(key)
                        + "` a second, asking "
                        + Numbers.format(demandFactor)
                        + " times as much, places that count: "
                        + Numbers.format(counters)
                        + ", simulated");
    }

    private static double membershipDefault(String name) {
        RecordComponent component =
                Arrays.stream(MembershipConfig.class.getRecordComponents())
                        .filter(r -> r.getName().equals(name))
                        .findFirst()
                        .orElseThrow(
                                () ->
                                        new IllegalArgumentException(
                                                "no " + name + " in MembershipConfig"));
        try {
            return ((Number) component.getAccessor().invoke(MembershipConfig.DEFAULT))
                    .doubleValue();
        } catch (ReflectiveOperationException e) {
            // Can't happen: the accessors of a public record are public.
            throw new IllegalStateException(e);
        }
    }

    /**
     * Reads a constant from the source code, so that the page is out of date as soon as the
     * constant changes there.
     */
    private double sourceConstant(Config config) throws IOException {
        Path source =
                folder.resolve(root.getString("sources"))
                        .resolve(config.getString("code") + ".java");
        Matcher found =
                Pattern.compile(
                                "\\b"
                                        + Pattern.quote(config.getString("name"))
                                        + " = ([-0-9_.* ()/+]+);")
                        .matcher(Files.readString(source));
        if (!found.find()) {
            throw new IllegalArgumentException(
                    "no constant " + config.getString("name") + " in " + source.getFileName());
        }
        return Formula.evaluate(found.group(1), name -> sizeNamed(name).value());
    }

    // --- access by the tables ---

    /** Returns the sizes of the target, in the order of the file. */
    List<TargetSize> sizes() {
        return List.copyOf(sizes.values());
    }

    /** Returns all rows, in the order of the file. */
    List<Row.Evaluated> rows() {
        return List.copyOf(rows.values());
    }

    /** Returns the row with this id, or null. */
    Row.Evaluated row(String id) {
        return rows.get(id);
    }

    /** Returns the fits that rows use. */
    List<Results.Fit> fits() {
        return usedFits.stream().map(results::fit).toList();
    }

    /** Returns the deviations of hollow gateways in all runs that are not rejected. */
    List<Results.Deviation> deviations() {
        return results.deviations().stream()
                .filter(d -> !rejectedRuns.containsKey(d.run()))
                .toList();
    }

    /** Returns the runs that no row may use, and why. */
    Map<String, String> rejectedRuns() {
        return rejectedRuns;
    }

    /** Returns the relative forecast error above which a fit is not accepted as a slope. */
    double maxForecastError() {
        return root.getDouble("most-error");
    }
}
