package tinroad.catalog;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.pcollections.TreePMap;

/**
 * One table of a catalog; immutable. A sorted tree: 40 bytes a node, where the hashed map of the
 * same library takes 96 (measured).
 *
 * @param initialSlots how many slots the first version had; {@link SlotAllocator} knows later ones
 */
record EntryTable<S, E extends CatalogEntry<S>>(
        EntryType<S, E> type, TreePMap<String, E> entries, ContentHash hash, int initialSlots) {
    /**
     * The table of a list; of two with the same name, which the reader rejects, the first counts.
     */
    static <S, E extends CatalogEntry<S>> EntryTable<S, E> of(
            EntryType<S, E> type, List<String> names, List<S> specs) {
        TreePMap<String, E> entries = TreePMap.empty();
        ContentHash hash = ContentHash.EMPTY;
        for (int i = 0; i < specs.size(); i++) {
            String name = names.get(i);
            TreePMap<String, E> extended = entries.plus(name, type.entry(name, i, specs.get(i)));
            if (extended.size() > entries.size()) {
                entries = extended;
                hash = hash.plus(type.hash(name, specs.get(i)));
            }
        }
        return new EntryTable<>(type, entries, hash, specs.size());
    }

    E get(String name) {
        return entries.get(name);
    }

    int size() {
        return entries.size();
    }

    /** The hash after these puts and removals. */
    ContentHash hashAfter(Map<String, S> put, Set<String> removed) {
        ContentHash sum = hash;
        for (String name : removed) {
            sum = without(sum, name);
        }
        for (Map.Entry<String, S> entry : put.entrySet()) {
            sum = without(sum, entry.getKey()).plus(type.hash(entry.getKey(), entry.getValue()));
        }
        return sum;
    }

    private ContentHash without(ContentHash sum, String name) {
        E existing = entries.get(name);
        return existing == null ? sum : sum.minus(type.hash(name, existing.spec()));
    }

    /** Whether these puts and removals would leave it as it is. */
    boolean isUnchangedBy(Map<String, S> put, Set<String> removed) {
        return removed.stream().noneMatch(entries::containsKey)
                && put.entrySet().stream()
                        .allMatch(
                                change -> {
                                    E existing = entries.get(change.getKey());
                                    return existing != null
                                            && existing.spec().equals(change.getValue());
                                });
    }
}
