package tinroad.lab.capacity;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.stream.Collectors;

/** Renders the page's tables as Markdown. The same figures always give the same text. */
final class Tables {
    /** Tables that summarize all figures; any other table shows the rows that name it. */
    private static final List<String> SUMMARY_TABLES =
            List.of("target", "order", "ratios", "missing", "rejected", "slopes", "hollow-real");

    private static final String NO_MECHANISM = "**none yet**";
    private static final String EMPTY_CELL = "-";

    private final Figures figures;

    Tables(Figures figures) {
        this.figures = figures;
    }

    /** Returns the names of all tables that a page must contain. */
    Set<String> tableNames() {
        Set<String> names = new LinkedHashSet<>(SUMMARY_TABLES);
        figures.rows().forEach(r -> names.add(r.row().table()));
        return names;
    }

    /** Returns the lines of a table. */
    List<String> render(String name) {
        return switch (name) {
            case "target" ->
                    markdownTable(
                            List.of("size", "figure", "as"),
                            figures.sizes(),
                            s ->
                                    List.of(
                                            s.description(),
                                            Numbers.format(s.value()),
                                            provenance(s)));
            case "order" -> missingMechanismsTable();
            case "ratios" ->
                    markdownTable(
                            List.of(
                                    "ratio",
                                    "role",
                                    "what",
                                    "figure",
                                    "budget",
                                    "kind",
                                    "carried by"),
                            rowsWithBudget(),
                            r ->
                                    List.of(
                                            ratioText(r),
                                            r.row().table(),
                                            r.row().description(),
                                            figureText(r),
                                            budgetText(r),
                                            kindText(r),
                                            mechanismText(r)));
            case "missing" ->
                    markdownTable(
                            List.of("role", "figure", "budget", "why"),
                            figures.rows().stream().filter(r -> !r.hasValue()).toList(),
                            r ->
                                    List.of(
                                            r.row().table(),
                                            description(r),
                                            budgetText(r),
                                            r.missingReason()));
            case "rejected" ->
                    markdownTable(
                            List.of("run", "why it counts for no row"),
                            List.copyOf(figures.rejectedRuns().entrySet()),
                            e -> List.of(e.getKey(), e.getValue()));
            case "slopes" -> fitsTable();
            case "hollow-real" -> hollowDeviationsTable();
            default ->
                    markdownTable(
                            List.of(
                                    "what",
                                    "figure",
                                    "kind",
                                    "budget",
                                    "ratio",
                                    "carried by",
                                    "from"),
                            figures.rows().stream()
                                    .filter(r -> r.row().table().equals(name))
                                    .toList(),
                            r ->
                                    List.of(
                                            r.row().description(),
                                            figureText(r),
                                            kindText(r),
                                            budgetText(r),
                                            ratioText(r),
                                            mechanismText(r),
                                            sourcesText(r)));
        };
    }

    /** Returns a figure or a size for use in a sentence, or null if no row or size has this id. */
    String inlineText(String id) {
        Row.Evaluated row = figures.row(id);
        return row != null
                ? figureText(row)
                : figures.sizes().stream()
                        .filter(s -> s.name().equals(id))
                        .map(s -> Numbers.format(s.value()))
                        .findFirst()
                        .orElse(null);
    }

    private static <T> List<String> markdownTable(
            List<String> headers, List<T> items, Function<T, List<String>> cells) {
        List<String> lines = new ArrayList<>();
        lines.add(markdownRow(headers));
        lines.add(markdownRow(headers.stream().map(n -> "---").toList()));
        items.forEach(item -> lines.add(markdownRow(cells.apply(item))));
        return lines;
    }

    private static String markdownRow(List<String> cells) {
        return cells.stream()
                .map(c -> c.replace("|", "\\|"))
                .collect(Collectors.joining(" | ", "| ", " |"));
    }

    private static String provenance(Figures.TargetSize size) {
        String origin =
                size.formula().isEmpty()
                        ? "given" + (size.source().isEmpty() ? "" : ": " + size.source())
                        : "`" + size.formula() + "`";
        return size.assumptionReason().isEmpty()
                ? origin
                : "*assumed*: "
                        + size.assumptionReason()
                        + (size.formula().isEmpty() ? "" : "; " + origin);
    }

    /** Returns the rows with a figure and a budget, the highest ratio first. */
    private List<Row.Evaluated> rowsWithBudget() {
        return figures.rows().stream()
                .filter(r -> r.hasValue() && !Double.isNaN(r.budget()))
                .sorted(Comparator.comparingDouble(Row.Evaluated::ratio).reversed())
                .toList();
    }

    /** Lists the missing mechanisms, ordered by the highest ratio that each has to bring down. */
    private List<String> missingMechanismsTable() {
        Map<String, List<Row.Evaluated>> rowsByMechanism = new LinkedHashMap<>();
        rowsWithBudget().stream()
                .filter(r -> !r.row().wantedMechanism().isEmpty())
                .forEach(
                        r ->
                                rowsByMechanism
                                        .computeIfAbsent(
                                                r.row().wantedMechanism(), w -> new ArrayList<>())
                                        .add(r));
        return markdownTable(
                List.of(
                        "missing mechanism",
                        "ratio",
                        "by the figure",
                        "kind",
                        "other ratios beyond one that it is to carry"),
                List.copyOf(rowsByMechanism.entrySet()),
                e -> {
                    Row.Evaluated worst = e.getValue().get(0);
                    return List.of(
                            e.getKey(),
                            ratioText(worst),
                            worst.row().description() + ": " + figureText(worst),
                            kindText(worst),
                            otherRatiosOverBudget(e.getValue()));
                });
    }

    private static String otherRatiosOverBudget(List<Row.Evaluated> rows) {
        String ratios =
                rows.stream()
                        .skip(1)
                        .filter(r -> r.ratio() > 1)
                        .map(r -> ratioText(r) + " (" + r.row().description() + ")")
                        .collect(Collectors.joining("; "));
        return ratios.isEmpty() ? EMPTY_CELL : ratios;
    }

    private List<String> fitsTable() {
        return markdownTable(
                List.of(
                        "fit",
                        "form",
                        "slope (interval of 95%)",
                        "largest run",
                        "foretold there",
                        "measured there",
                        "error",
                        "runs"),
                figures.fits(),
                f ->
                        List.of(
                                "`" + f.id() + "`",
                                f.form().equals("worse")
                                        ? "power " + Numbers.format(f.exponent())
                                        : f.form(),
                                (f.form().equals("flat") ? "none" : Numbers.format(f.b()))
                                        + " ("
                                        + Numbers.format(f.low())
                                        + " to "
                                        + Numbers.format(f.high())
                                        + ")",
                                Numbers.format(f.largestSize()),
                                Numbers.format(f.predicted()) + " " + f.unit(),
                                Numbers.format(f.measured()) + " " + f.unit(),
                                Numbers.formatPercent(f.relativeError())
                                        + (f.relativeError() > figures.maxForecastError()
                                                ? ", no slope"
                                                : ""),
                                String.join(", ", f.runs())));
    }

    /** Shows for each metric how far hollow gateways deviate from real ones over all sizes. */
    private List<String> hollowDeviationsTable() {
        Map<String, List<Results.Deviation>> byMetric = new TreeMap<>();
        figures.deviations().stream()
                .filter(d -> Double.isFinite(d.relative()))
                .forEach(
                        d ->
                                byMetric.computeIfAbsent(
                                                d.sweep() + " `" + d.metric() + "`",
                                                m -> new ArrayList<>())
                                        .add(d));
        return markdownTable(
                List.of(
                        "sweep, figure",
                        "sizes",
                        "off by, median",
                        "off by, most",
                        "there hollow",
                        "there real",
                        "runs"),
                List.copyOf(byMetric.entrySet()),
                e -> {
                    List<Results.Deviation> sorted =
                            e.getValue().stream()
                                    .sorted(Comparator.comparingDouble(d -> Math.abs(d.relative())))
                                    .toList();
                    Results.Deviation worst = sorted.get(sorted.size() - 1);
                    double median =
                            (Math.abs(sorted.get((sorted.size() - 1) / 2).relative())
                                            + Math.abs(sorted.get(sorted.size() / 2).relative()))
                                    / 2;
                    return List.of(
                            e.getKey(),
                            Numbers.format(sorted.size()),
                            Numbers.formatPercent(median),
                            Numbers.formatPercent(worst.relative()) + worst.sizeText(),
                            Numbers.format(worst.hollow()),
                            Numbers.format(worst.real()),
                            sorted.stream()
                                    .map(Results.Deviation::run)
                                    .distinct()
                                    .sorted()
                                    .collect(Collectors.joining(", ")));
                });
    }

    private static String description(Row.Evaluated r) {
        return r.row().description();
    }

    private static String figureText(Row.Evaluated r) {
        return r.hasValue()
                ? (Numbers.format(r.value()) + " " + r.row().unit()).strip()
                : "not measured";
    }

    private String kindText(Row.Evaluated r) {
        if (!r.hasValue()) {
            return "missing";
        }
        String errorText =
                Double.isNaN(r.relativeError())
                        ? ""
                        : " ("
                                + Numbers.formatPercent(r.relativeError())
                                + (r.relativeError() > figures.maxForecastError()
                                        ? ": forecast failed"
                                        : "")
                                + ")";
        return "*"
                + r.row().declaredKind().text()
                + "*"
                + errorText
                + (r.hasNotes() ? ", noted" : "");
    }

    private static String budgetText(Row.Evaluated r) {
        return Double.isNaN(r.budget())
                ? EMPTY_CELL
                : (Numbers.format(r.budget()) + " " + r.row().unit()).strip()
                        + (r.budgetAssumed() ? " (*assumed*)" : "");
    }

    private static String ratioText(Row.Evaluated r) {
        return r.hasValue() && !Double.isNaN(r.budget()) ? Numbers.format(r.ratio()) : EMPTY_CELL;
    }

    private static String mechanismText(Row.Evaluated r) {
        return !r.row().mechanism().isEmpty()
                ? r.row().mechanism()
                : r.row().wantedMechanism().isEmpty()
                        ? EMPTY_CELL
                        : NO_MECHANISM + ": " + r.row().wantedMechanism();
    }

    private static String sourcesText(Row.Evaluated r) {
        List<String> parts = new ArrayList<>();
        if (!r.row().terms().containsKey(r.row().formula())) {
            parts.add("`" + r.row().formula() + "`");
        }
        if (r.row().budgetFormula().matches(".*[-+*/].*")) {
            parts.add("budget `" + r.row().budgetFormula() + "`");
        }
        parts.addAll(r.termTexts());
        return (r.hasValue() ? "" : r.missingReason() + ": ") + String.join("; ", parts);
    }
}
