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
 * All figures of the page, worked out from its file, the result files and the constants of the
 * code. Guards against figures with nothing behind them: what a row names has to be there, and a
 * row is no surer than the least sure thing that it names.
 */
final class Figures {
    /**
     * A size of the target.
     *
     * @param formula over sizes above it, or empty
     * @param source who gave it, empty for the operators
     * @param assumed why it is taken to be so where nobody gave it, else empty
     */
    record Size(
            String name,
            double value,
            String formula,
            String text,
            String source,
            String assumed) {}

    /** What a term came to. */
    private record Term(
            double value, Kind kind, double error, String text, String missing, boolean noted) {
        static Term of(double value, Kind kind, String text) {
            return new Term(value, kind, Double.NaN, text, "", false);
        }

        static Term missing(String text, String why) {
            return new Term(Double.NaN, Kind.COMPUTED, Double.NaN, text, why, false);
        }
    }

    private static final Set<String> READ_FROM =
            new TreeSet<>(
                    Set.of("fit", "point", "assumed", "code", "tuning", "row", "beyond", "worth"));

    private final Config all;
    private final Path folder;
    private final Results results;
    private final Map<String, Size> sizes = new LinkedHashMap<>();
    private final Map<String, Row.Worked> rows = new LinkedHashMap<>();
    private final Set<String> fits = new TreeSet<>();

    /** Runs that count for no row, and why. */
    private final Map<String, String> rejected = new LinkedHashMap<>();

    private final List<ValidationError> faults = new ArrayList<>();

    private Figures(Config all, Path folder) throws IOException {
        this.all = all;
        this.folder = folder;
        results = new Results(files("points"), files("fits"), files("hollow-real"));
        faults.addAll(results.faults());
        for (ConfigValue one : all.getList("rejected")) {
            Config c = ((ConfigObject) one).toConfig();
            rejected.put(c.getString("run"), c.getString("why"));
        }
    }

    /** The figures of this file; throws with all that is wrong in it. */
    static Figures read(Path file) throws OperatorException, IOException {
        Config all = ValidatedFile.read(file, Figures.class);
        Figures figures = new Figures(all, file.toAbsolutePath().getParent());
        for (ConfigValue size : all.getList("target")) {
            figures.size((ConfigObject) size);
        }
        for (ConfigValue row : (ConfigList) all.getValue("rows")) {
            figures.row((ConfigObject) row);
        }
        if (!figures.faults.isEmpty()) {
            throw new OperatorException(figures.faults.stream().distinct().sorted().toList());
        }
        return figures;
    }

    private List<Path> files(String key) {
        return all.getStringList(key).stream().map(folder::resolve).toList();
    }

    private void wrong(ConfigObject at, String key, String text) {
        faults.add(ValidatedFile.errorAt(at.getOrDefault(key, at), key, text));
    }

    private void size(ConfigObject at) {
        Config c = at.toConfig().withFallback(all.getConfig("each.target"));
        String name = c.getString("name");
        String size = c.getString("size");
        try {
            List<String> guessed = new ArrayList<>(List.of(c.getString("assumed")));
            double value =
                    Formula.evaluate(
                            size,
                            other -> {
                                guessed.add(size(other).assumed());
                                return size(other).value();
                            });
            String formula = size.matches("[0-9._eE-]+") ? "" : size;
            if (sizes.put(
                            name,
                            new Size(
                                    name,
                                    value,
                                    formula,
                                    c.getString("text"),
                                    c.getString("source"),
                                    joined(guessed)))
                    != null) {
                wrong(at, "name", "must differ from the names of the other sizes");
            }
        } catch (IllegalArgumentException e) {
            wrong(at, "size", e.getMessage());
        }
    }

    private Size size(String name) {
        if (!sizes.containsKey(name)) {
            throw new IllegalArgumentException(
                    "names " + name + ", which is no size of the target and no term of this row");
        }
        return sizes.get(name);
    }

    // --- rows ---

    private void row(ConfigObject at) {
        Config c = at.toConfig().withFallback(all.getConfig("each.rows"));
        Map<String, ConfigObject> named = new LinkedHashMap<>();
        c.getObject("terms").entrySet().stream()
                .sorted(Map.Entry.comparingByKey())
                .forEach(e -> named.put(e.getKey(), (ConfigObject) e.getValue()));
        Row row =
                new Row(
                        at,
                        c.getString("id"),
                        c.getString("table"),
                        c.getString("what"),
                        c.getString("unit"),
                        c.getString("figure"),
                        named,
                        Kind.valueOf(c.getString("kind").toUpperCase(Locale.ROOT)),
                        c.getString("budget"),
                        c.getString("mechanism"),
                        c.getString("wants"),
                        c.getString("missing"));
        if (rows.containsKey(row.id()) || sizes.containsKey(row.id())) {
            wrong(at, "id", "must differ from the ids of the other rows and the names of sizes");
            return;
        }
        Map<String, Term> terms = new LinkedHashMap<>();
        named.forEach((name, term) -> terms.put(name, term(row, term)));
        Set<String> used = new TreeSet<>();
        // What a budget names has to be known; where a run is missing, it rests on none.
        double budget =
                row.budget().isEmpty()
                        ? Double.NaN
                        : formula(row, "budget", row.budget(), terms, used);
        boolean guessed = used.stream().anyMatch(this::guessed);
        if (!row.budget().isEmpty() && row.mechanism().isEmpty() == row.wants().isEmpty()) {
            wrong(
                    at,
                    "budget",
                    "must have either a mechanism that carries it, or the one that it wants");
        }
        String missing = joined(terms.values().stream().map(Term::missing).toList());
        if (missing.isEmpty() && !row.missing().isEmpty()) {
            wrong(at, "missing", "stands as missing, but all that it names is there");
        }
        double value = Double.NaN;
        double error = Double.NaN;
        if (missing.isEmpty()) {
            Set<String> figures = new TreeSet<>();
            value = formula(row, "figure", row.figure(), terms, figures);
            error =
                    terms.values().stream()
                            .mapToDouble(Term::error)
                            .filter(e -> !Double.isNaN(e))
                            .max()
                            .orElse(Double.NaN);
            Kind kind =
                    terms.values().stream()
                            .map(Term::kind)
                            .reduce(Kind.COMPUTED, Kind::lessCertain);
            kind = figures.stream().anyMatch(this::guessed) ? Kind.ASSUMED : kind;
            if (kind != row.kind()) {
                wrong(
                        at,
                        "kind",
                        "must be "
                                + kind.text()
                                + ", by what it names; found "
                                + row.kind().text());
            }
            used.addAll(figures);
            terms.keySet().stream()
                    .filter(name -> !used.contains(name))
                    .forEach(name -> wrong(at, "figure", "does not use its term " + name));
        }
        List<String> texts =
                terms.entrySet().stream()
                        .map(e -> e.getKey() + ": " + e.getValue().text())
                        .toList();
        rows.put(
                row.id(),
                new Row.Worked(
                        row,
                        value,
                        error,
                        row.missing().isEmpty() ? missing : row.missing(),
                        texts,
                        budget,
                        guessed,
                        terms.values().stream().anyMatch(Term::noted)));
    }

    private boolean guessed(String name) {
        return sizes.containsKey(name) && !sizes.get(name).assumed().isEmpty();
    }

    private static String joined(List<String> texts) {
        return texts.stream()
                .filter(t -> !t.isEmpty())
                .distinct()
                .reduce((a, b) -> a + "; " + b)
                .orElse("");
    }

    private double formula(
            Row row, String key, String text, Map<String, Term> terms, Set<String> used) {
        try {
            double value =
                    Formula.evaluate(
                            text,
                            name -> {
                                used.add(name);
                                return terms.containsKey(name)
                                        ? terms.get(name).value()
                                        : size(name).value();
                            });
            if (!Double.isFinite(value)) {
                wrong(row.at(), key, "comes to no number");
            }
            return value;
        } catch (IllegalArgumentException e) {
            wrong(row.at(), key, e.getMessage());
            return Double.NaN;
        }
    }

    // --- terms ---

    private Term term(Row row, ConfigObject at) {
        Set<String> from = new TreeSet<>(at.keySet());
        from.retainAll(READ_FROM);
        if (from.size() != 1) {
            wrong(at, "", "must have one of " + String.join(", ", READ_FROM));
            return Term.of(Double.NaN, Kind.COMPUTED, "");
        }
        String key = from.iterator().next();
        try {
            return term(row, key, at.toConfig());
        } catch (ConfigException.Missing e) {
            wrong(
                    at,
                    key,
                    "must stand beside what belongs to it: "
                            + e.getMessage().replaceAll(".*setting found for key '(\\w+)'.*", "$1")
                            + " is missing");
        } catch (IllegalArgumentException e) {
            wrong(at, key, e.getMessage());
        } catch (IOException e) {
            wrong(at, key, "can't be read: " + e.getMessage());
        }
        return Term.of(Double.NaN, row.kind(), "");
    }

    private Term term(Row row, String key, Config c) throws IOException {
        return switch (key) {
            case "fit" -> among(fit(row, c), c, "at");
            case "point" -> among(point(row, c), c, "at");
            case "assumed" ->
                    Term.of(
                            c.getDouble(key),
                            Kind.ASSUMED,
                            "assumed "
                                    + Numbers.format(c.getDouble(key))
                                    + " ("
                                    + c.getString("source")
                                    + ")");
            case "code" ->
                    ofCode(
                            constant(c),
                            c.getString(key).replaceAll(".*/", "") + "." + c.getString("name"));
            case "tuning" ->
                    ofCode(tuning(c.getString(key)), "MembershipConfig." + c.getString(key));
            case "row" -> other(c.getString(key));
            default -> among(sharing(c, key), c, key, "places");
        };
    }

    private static Term ofCode(double value, String name) {
        return Term.of(value, Kind.COMPUTED, "`" + name + "` = " + Numbers.format(value));
    }

    private double size(Config c, String key) {
        return Formula.evaluate(c.getString(key), name -> size(name).value());
    }

    /** No surer than the sizes that its settings name. */
    private Term among(Term term, Config c, String... keys) {
        Set<String> names = new TreeSet<>();
        for (String key : keys) {
            Formula.evaluate(
                    c.getString(key),
                    name -> {
                        names.add(name);
                        return size(name).value();
                    });
        }
        boolean assumed = names.stream().anyMatch(this::guessed);
        return assumed
                ? new Term(
                        term.value(),
                        Kind.ASSUMED,
                        term.error(),
                        term.text(),
                        term.missing(),
                        term.noted())
                : term;
    }

    private Term fit(Row row, Config c) {
        String id = c.getString("fit");
        double at = size(c, "at");
        String text = "fit `" + id + "` at " + Numbers.format(at);
        Results.Fit fit = results.fit(id);
        fit = fit != null && fit.runs().stream().anyMatch(rejected::containsKey) ? null : fit;
        if (fit == null && row.missing().isEmpty()) {
            throw new IllegalArgumentException(
                    "no fit "
                            + id
                            + " in the results; there are "
                            + list(id, results.fits().keySet()));
        } else if (fit == null) {
            return Term.missing(text, "wants " + id);
        }
        if (Double.isNaN(fit.error())) {
            throw new IllegalArgumentException(
                    "fit "
                            + id
                            + " foretold no size that was run: it has no error, and is no slope");
        }
        // Guards against a form that the sizes beyond the largest run no longer follow.
        if (fit.at(at) < 0 && row.missing().isEmpty()) {
            throw new IllegalArgumentException(
                    "fit "
                            + id
                            + " comes to less than nothing at "
                            + Numbers.format(at)
                            + ": it is no slope there");
        } else if (fit.at(at) < 0) {
            return Term.missing(text, "less than nothing by " + id);
        }
        fits.add(id);
        return new Term(
                fit.at(at),
                Kind.EXTRAPOLATED,
                fit.error(),
                text + ", run up to " + Numbers.format(fit.largest()),
                "",
                false);
    }

    /** The median of the runs at this size, each of them named, with what they noted. */
    private Term point(Row row, Config c) {
        String id = c.getString("point");
        double at = size(c, "at");
        String text = "point `" + id + "` at " + Numbers.format(at);
        List<Results.Point> there =
                results.at(id, at).stream().filter(p -> !rejected.containsKey(p.run())).toList();
        double[] values =
                there.stream()
                        .mapToDouble(Results.Point::value)
                        .filter(v -> !Double.isNaN(v))
                        .sorted()
                        .toArray();
        if (values.length == 0 && row.missing().isEmpty()) {
            throw new IllegalArgumentException(
                    "no point "
                            + id
                            + " at "
                            + Numbers.format(at)
                            + " in the results"
                            + there.stream()
                                    .map(p -> ": refused there, " + p.note())
                                    .findFirst()
                                    .orElse("; there are " + list(id, results.measured())));
        } else if (values.length == 0) {
            return Term.missing(text, "wants " + id + " at " + Numbers.format(at));
        }
        String sweep = id.replaceAll("/.*", "");
        String whole = all.hasPath("sweeps." + sweep) ? all.getString("sweeps." + sweep) : "";
        if (!c.getString("at").equals(whole)) {
            throw new IllegalArgumentException(
                    "is measured at "
                            + Numbers.format(at)
                            + ", which is not "
                            + (whole.isEmpty()
                                    ? "a size of the target that 'sweeps' names"
                                    : whole + ", the target's size of this sweep")
                            + ": name a fit");
        }
        double median = (values[(values.length - 1) / 2] + values[values.length / 2]) / 2;
        String noted = joined(there.stream().map(Results.Point::note).toList());
        String runs =
                there.stream().map(Results.Point::run).distinct().collect(Collectors.joining(", "));
        return new Term(
                median,
                Kind.MEASURED,
                Double.NaN,
                text + ", run " + runs + (noted.isEmpty() ? "" : " (" + noted + ")"),
                "",
                !noted.isEmpty());
    }

    /** What there is of the same sweep. */
    private static String list(String id, Set<String> names) {
        String sweep = id.replaceAll("/.*", "/");
        String same =
                names.stream().filter(n -> n.startsWith(sweep)).collect(Collectors.joining(", "));
        return same.isEmpty() ? "none of " + sweep.replace("/", "") : same;
    }

    private Term other(String id) {
        Row.Worked other = rows.get(id);
        if (other == null) {
            throw new IllegalArgumentException("no row " + id + " above this one");
        }
        return other.known()
                ? new Term(
                        other.value(),
                        other.row().kind(),
                        other.error(),
                        "row `" + id + "`",
                        "",
                        other.noted())
                : Term.missing("row `" + id + "`", "wants the row " + id);
    }

    private Term sharing(Config c, String key) throws IOException {
        double quota = size(c, key);
        double places = size(c, "places");
        double times = c.getDouble("times");
        Sharing.Verdict verdict =
                new Sharing(constant(all.getConfig("window")), constant(all.getConfig("spread")))
                        .judge(quota, times, places);
        return Term.of(
                key.equals("beyond") ? verdict.over() : verdict.worth(),
                Kind.COMPUTED,
                "tenant with a quota of `"
                        + c.getString(key)
                        + "` a second, asking "
                        + Numbers.format(times)
                        + " times as much, places that count: "
                        + Numbers.format(places)
                        + ", simulated");
    }

    private static double tuning(String name) {
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
            // Can't happen: a record's accessors are public.
            throw new IllegalStateException(e);
        }
    }

    /**
     * A constant of the code, read from its source: the page is out of step as soon as it changes
     * there.
     */
    private double constant(Config c) throws IOException {
        Path source =
                folder.resolve(all.getString("sources")).resolve(c.getString("code") + ".java");
        Matcher found =
                Pattern.compile(
                                "\\b"
                                        + Pattern.quote(c.getString("name"))
                                        + " = ([-0-9_.* ()/+]+);")
                        .matcher(Files.readString(source));
        if (!found.find()) {
            throw new IllegalArgumentException(
                    "no constant " + c.getString("name") + " in " + source.getFileName());
        }
        return Formula.evaluate(found.group(1), name -> size(name).value());
    }

    // --- what the page reads ---

    List<Size> sizes() {
        return List.copyOf(sizes.values());
    }

    /** All rows, in the order of the file. */
    List<Row.Worked> rows() {
        return List.copyOf(rows.values());
    }

    /** A row by its id, or null. */
    Row.Worked row(String id) {
        return rows.get(id);
    }

    /** The fits that rows rest on. */
    List<Results.Fit> fits() {
        return fits.stream().map(results::fit).toList();
    }

    /** How far hollow ones are off, in runs that count. */
    List<Results.Off> offs() {
        return results.offs().stream().filter(o -> !rejected.containsKey(o.run())).toList();
    }

    /** Runs that count for no row, and why. */
    Map<String, String> rejected() {
        return rejected;
    }

    /** A forecast that was off by more than this is no slope. */
    double mostError() {
        return all.getDouble("most-error");
    }
}
