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

/** The page's tables as text, from the figures. Same figures, same text. */
final class Tables {
    /** Tables that are not the rows of one name. */
    private static final List<String> SUMMARIES =
            List.of("target", "order", "ratios", "missing", "rejected", "slopes", "hollow-real");

    private static final String NONE_YET = "**none yet**";
    private static final String NOTHING = "-";

    private final Figures figures;

    Tables(Figures figures) {
        this.figures = figures;
    }

    /** Names of all tables that a page has to have. */
    Set<String> names() {
        Set<String> names = new LinkedHashSet<>(SUMMARIES);
        figures.rows().forEach(r -> names.add(r.row().table()));
        return names;
    }

    /** The lines of a table. */
    List<String> table(String name) {
        return switch (name) {
            case "target" ->
                    rows(
                            List.of("size", "figure", "as"),
                            figures.sizes(),
                            s -> List.of(s.text(), Numbers.format(s.value()), as(s)));
            case "order" -> order();
            case "ratios" ->
                    rows(
                            List.of(
                                    "ratio",
                                    "role",
                                    "what",
                                    "figure",
                                    "budget",
                                    "kind",
                                    "carried by"),
                            judged(),
                            r ->
                                    List.of(
                                            ratio(r),
                                            r.row().table(),
                                            r.row().what(),
                                            figure(r),
                                            budget(r),
                                            kind(r),
                                            carrier(r)));
            case "missing" ->
                    rows(
                            List.of("role", "figure", "budget", "why"),
                            figures.rows().stream().filter(r -> !r.known()).toList(),
                            r -> List.of(r.row().table(), what(r), budget(r), r.missing()));
            case "rejected" ->
                    rows(
                            List.of("run", "why it counts for no row"),
                            List.copyOf(figures.rejected().entrySet()),
                            e -> List.of(e.getKey(), e.getValue()));
            case "slopes" -> slopes();
            case "hollow-real" -> hollowReal();
            default ->
                    rows(
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
                                            r.row().what(),
                                            figure(r),
                                            kind(r),
                                            budget(r),
                                            ratio(r),
                                            carrier(r),
                                            from(r)));
        };
    }

    /** A figure or a size for a sentence, or null where there is none of this name. */
    String inline(String id) {
        Row.Worked row = figures.row(id);
        return row != null
                ? figure(row)
                : figures.sizes().stream()
                        .filter(s -> s.name().equals(id))
                        .map(s -> Numbers.format(s.value()))
                        .findFirst()
                        .orElse(null);
    }

    private static <T> List<String> rows(
            List<String> names, List<T> items, Function<T, List<String>> cells) {
        List<String> lines = new ArrayList<>();
        lines.add(line(names));
        lines.add(line(names.stream().map(n -> "---").toList()));
        items.forEach(item -> lines.add(line(cells.apply(item))));
        return lines;
    }

    private static String line(List<String> cells) {
        return cells.stream()
                .map(c -> c.replace("|", "\\|"))
                .collect(Collectors.joining(" | ", "| ", " |"));
    }

    private static String as(Figures.Size s) {
        String given =
                s.formula().isEmpty()
                        ? "given" + (s.source().isEmpty() ? "" : ": " + s.source())
                        : "`" + s.formula() + "`";
        return s.assumed().isEmpty()
                ? given
                : "*assumed*: " + s.assumed() + (s.formula().isEmpty() ? "" : "; " + given);
    }

    /** What has a figure and a budget, the worst first. */
    private List<Row.Worked> judged() {
        return figures.rows().stream()
                .filter(r -> r.known() && !Double.isNaN(r.budget()))
                .sorted(Comparator.comparingDouble(Row.Worked::ratio).reversed())
                .toList();
    }

    /** Mechanisms that are missing, by the worst figure that each is to carry. */
    private List<String> order() {
        Map<String, List<Row.Worked>> missing = new LinkedHashMap<>();
        judged().stream()
                .filter(r -> !r.row().wants().isEmpty())
                .forEach(
                        r ->
                                missing.computeIfAbsent(r.row().wants(), w -> new ArrayList<>())
                                        .add(r));
        return rows(
                List.of(
                        "missing mechanism",
                        "ratio",
                        "by the figure",
                        "kind",
                        "other ratios beyond one that it is to carry"),
                List.copyOf(missing.entrySet()),
                e -> {
                    Row.Worked worst = e.getValue().get(0);
                    return List.of(
                            e.getKey(),
                            ratio(worst),
                            worst.row().what() + ": " + figure(worst),
                            kind(worst),
                            others(e.getValue()));
                });
    }

    private static String others(List<Row.Worked> ofOne) {
        String text =
                ofOne.stream()
                        .skip(1)
                        .filter(r -> r.ratio() > 1)
                        .map(r -> ratio(r) + " (" + r.row().what() + ")")
                        .collect(Collectors.joining("; "));
        return text.isEmpty() ? NOTHING : text;
    }

    private List<String> slopes() {
        return rows(
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
                                Numbers.format(f.largest()),
                                Numbers.format(f.foretold()) + " " + f.unit(),
                                Numbers.format(f.measured()) + " " + f.unit(),
                                Numbers.formatPercent(f.error())
                                        + (f.error() > figures.mostError() ? ", no slope" : ""),
                                String.join(", ", f.runs())));
    }

    /** Of each figure how far hollow ones are off over all sizes that both were run at. */
    private List<String> hollowReal() {
        Map<String, List<Results.Off>> byFigure = new TreeMap<>();
        figures.offs().stream()
                .filter(o -> Double.isFinite(o.off()))
                .forEach(
                        o ->
                                byFigure.computeIfAbsent(
                                                o.sweep() + " `" + o.metric() + "`",
                                                m -> new ArrayList<>())
                                        .add(o));
        return rows(
                List.of(
                        "sweep, figure",
                        "sizes",
                        "off by, median",
                        "off by, most",
                        "there hollow",
                        "there real",
                        "runs"),
                List.copyOf(byFigure.entrySet()),
                e -> {
                    List<Results.Off> all =
                            e.getValue().stream()
                                    .sorted(Comparator.comparingDouble(o -> Math.abs(o.off())))
                                    .toList();
                    Results.Off worst = all.get(all.size() - 1);
                    double median =
                            (Math.abs(all.get((all.size() - 1) / 2).off())
                                            + Math.abs(all.get(all.size() / 2).off()))
                                    / 2;
                    return List.of(
                            e.getKey(),
                            Numbers.format(all.size()),
                            Numbers.formatPercent(median),
                            Numbers.formatPercent(worst.off()) + worst.where(),
                            Numbers.format(worst.hollow()),
                            Numbers.format(worst.real()),
                            all.stream()
                                    .map(Results.Off::run)
                                    .distinct()
                                    .sorted()
                                    .collect(Collectors.joining(", ")));
                });
    }

    private static String what(Row.Worked r) {
        return r.row().what();
    }

    private static String figure(Row.Worked r) {
        return r.known()
                ? (Numbers.format(r.value()) + " " + r.row().unit()).strip()
                : "not measured";
    }

    private String kind(Row.Worked r) {
        if (!r.known()) {
            return "missing";
        }
        String error =
                Double.isNaN(r.error())
                        ? ""
                        : " ("
                                + Numbers.formatPercent(r.error())
                                + (r.error() > figures.mostError() ? ": forecast failed" : "")
                                + ")";
        return "*" + r.row().kind().text() + "*" + error + (r.noted() ? ", noted" : "");
    }

    private static String budget(Row.Worked r) {
        return Double.isNaN(r.budget())
                ? NOTHING
                : (Numbers.format(r.budget()) + " " + r.row().unit()).strip()
                        + (r.guessed() ? " (*assumed*)" : "");
    }

    private static String ratio(Row.Worked r) {
        return r.known() && !Double.isNaN(r.budget()) ? Numbers.format(r.ratio()) : NOTHING;
    }

    private static String carrier(Row.Worked r) {
        return !r.row().mechanism().isEmpty()
                ? r.row().mechanism()
                : r.row().wants().isEmpty() ? NOTHING : NONE_YET + ": " + r.row().wants();
    }

    private static String from(Row.Worked r) {
        List<String> parts = new ArrayList<>();
        if (!r.row().terms().containsKey(r.row().figure())) {
            parts.add("`" + r.row().figure() + "`");
        }
        if (r.row().budget().matches(".*[-+*/].*")) {
            parts.add("budget `" + r.row().budget() + "`");
        }
        parts.addAll(r.terms());
        return (r.known() ? "" : r.missing() + ": ") + String.join("; ", parts);
    }
}
