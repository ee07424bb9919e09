package tinroad.catalog;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.pcollections.TreePMap;

/**
 * One table of a catalog, which never changes. A sorted tree: 40 bytes a node, where the hashed map
 * of the same library takes 96 (measured).
 *
 * @param places how many places it was given at the first; later ones are the {@link SlotTable}' to
 *     know
 */
record EntryTable<S, E extends CatalogEntry<S>>(
        EntryType<S, E> kind, TreePMap<String, E> entries, ContentHash hash, int places) {
    /**
     * The table of a list; of two with the same name, which the reader refuses, the first counts.
     */
    static <S, E extends CatalogEntry<S>> EntryTable<S, E> of(
            EntryType<S, E> kind, List<String> names, List<S> specs) {
        TreePMap<String, E> entries = TreePMap.empty();
        ContentHash hash = ContentHash.EMPTY;
        for (int i = 0; i < specs.size(); i++) {
            String name = names.get(i);
            TreePMap<String, E> with = entries.plus(name, kind.entry(name, i, specs.get(i)));
            if (with.size() > entries.size()) {
                entries = with;
                hash = hash.plus(kind.hash(name, specs.get(i)));
            }
        }
        return new EntryTable<>(kind, entries, hash, specs.size());
    }

    E get(String name) {
        return entries.get(name);
    }

    int size() {
        return entries.size();
    }

    /** The hash after these puts and removals. */
    ContentHash after(Map<String, S> put, Set<String> removed) {
        ContentHash sum = hash;
        for (String name : removed) {
            sum = without(sum, name);
        }
        for (Map.Entry<String, S> e : put.entrySet()) {
            sum = without(sum, e.getKey()).plus(kind.hash(e.getKey(), e.getValue()));
        }
        return sum;
    }

    private ContentHash without(ContentHash sum, String name) {
        E there = entries.get(name);
        return there == null ? sum : sum.minus(kind.hash(name, there.spec()));
    }

    /** Whether these puts and removals would leave it as it is. */
    boolean has(Map<String, S> put, Set<String> removed) {
        return removed.stream().noneMatch(entries::containsKey)
                && put.entrySet().stream()
                        .allMatch(
                                e ->
                                        entries.containsKey(e.getKey())
                                                && entries.get(e.getKey())
                                                        .spec()
                                                        .equals(e.getValue()));
    }
}
