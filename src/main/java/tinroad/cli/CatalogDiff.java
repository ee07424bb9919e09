package tinroad.cli;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Function;
import tinroad.catalog.Catalog;
import tinroad.catalog.CatalogChange;
import tinroad.catalog.CatalogEntry;
import tinroad.config.SettingsValidator;
import tinroad.config.SiteWriter;
import tinroad.overload.Controller.RequestClass;

/** The effect of a change on a catalog, as rows to print: one for each changed class or tenant. */
final class CatalogDiff {
    /** The columns of {@link #rows}. */
    static final List<String> COLUMNS = List.of("entry", "name", "change", "from", "to");

    private static final int MAX_ROWS = 100;

    private final List<List<Object>> rows = new ArrayList<>();

    /** Computes the difference that {@code change} makes to {@code before}. */
    CatalogDiff(Catalog before, CatalogChange change) {
        addRows(
                "class",
                change.putClasses(),
                change.removedClasses(),
                before::classEntry,
                CatalogDiff::fields);
        addRows(
                "org",
                change.putTenants(),
                change.removedTenants(),
                before::tenantEntry,
                SiteWriter::fields);
    }

    /** Returns the rows; if there are too many, the first ones and the number of the others. */
    List<List<Object>> rows() {
        int omitted = rows.size() - MAX_ROWS;
        if (omitted <= 0) {
            return rows;
        }
        List<List<Object>> first = new ArrayList<>(rows.subList(0, MAX_ROWS));
        first.add(List.of("", "and " + omitted + " more", "", "", ""));
        return first;
    }

    private <S> void addRows(
            String entryKind,
            Map<String, S> put,
            Set<String> removed,
            Function<String, ? extends CatalogEntry<S>> entryBefore,
            Function<S, Map<String, Object>> toFields) {
        for (String name : new TreeSet<>(removed)) {
            rows.add(List.of(entryKind, SettingsValidator.shown(name), "removed", "", ""));
        }
        new TreeMap<>(put)
                .forEach(
                        (name, spec) -> {
                            CatalogEntry<S> before = entryBefore.apply(name);
                            Map<String, Object> from =
                                    before == null ? Map.of() : toFields.apply(before.spec());
                            Map<String, Object> to = toFields.apply(spec);
                            rows.add(
                                    List.of(
                                            entryKind,
                                            SettingsValidator.shown(name),
                                            before == null ? "new" : "changed",
                                            differing(from, to),
                                            differing(to, from)));
                        });
    }

    private static Map<String, Object> fields(RequestClass spec) {
        Map<String, Object> fields = new LinkedHashMap<>(SiteWriter.fields(spec));
        fields.put("class_calls", spec.callsDependency());
        fields.put("degraded_worth", spec.degradedWeightShare());
        return fields;
    }

    /** Formats the fields of {@code one} that are absent from {@code other} or differ there. */
    private static String differing(Map<String, Object> one, Map<String, Object> other) {
        Map<String, Object> difference = new LinkedHashMap<>(one);
        difference.entrySet().removeIf(field -> field.getValue().equals(other.get(field.getKey())));
        return difference.toString().replaceAll("^.|.$", "");
    }
}
