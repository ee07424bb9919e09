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

/** What a change does to a catalog, as rows to print: one for each class and tenant. */
final class CatalogDiff {
    /** The columns of {@link #rows}. */
    static final List<String> COLUMNS = List.of("entry", "name", "change", "from", "to");

    private static final int MAX_ROWS = 100;

    private final List<List<Object>> rows = new ArrayList<>();

    /** The difference that {@code change} makes to {@code before}. */
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

    /** The rows; of very many the first, and how many more there are. */
    List<List<Object>> rows() {
        int more = rows.size() - MAX_ROWS;
        if (more <= 0) {
            return rows;
        }
        List<List<Object>> first = new ArrayList<>(rows.subList(0, MAX_ROWS));
        first.add(List.of("", "and " + more + " more", "", "", ""));
        return first;
    }

    private <S> void addRows(
            String word,
            Map<String, S> put,
            Set<String> removed,
            Function<String, ? extends CatalogEntry<S>> entryBefore,
            Function<S, Map<String, Object>> toFields) {
        for (String name : new TreeSet<>(removed)) {
            rows.add(List.of(word, SettingsValidator.shown(name), "removed", "", ""));
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
                                            word,
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

    /** The fields of {@code one} that {@code other} has not, or has with another value. */
    private static String differing(Map<String, Object> one, Map<String, Object> other) {
        Map<String, Object> rest = new LinkedHashMap<>(one);
        rest.entrySet().removeIf(field -> field.getValue().equals(other.get(field.getKey())));
        return rest.toString().replaceAll("^.|.$", "");
    }
}
