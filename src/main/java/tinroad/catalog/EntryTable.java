package tinroad.catalog;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.pcollections.TreePMap;

/**
 * One table of a catalog. Immutable. It uses a sorted tree, with 40 bytes per node, as the hash map
 * of the same library takes 96.
 *
 * @param initialSlots number of slots of the first version; {@link SlotAllocator} knows later ones
 */
record EntryTable<S, E extends CatalogEntry<S>>(
        EntryType<S, E> type, TreePMap<String, E> entries, ContentHash hash, int initialSlots) {
    /**
     * Creates the table of a list. If two entries have the same name, which the reader of the
     * settings rejects, the first one counts.
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

    /** The hash of the content after these puts and removals. */
    ContentHash hashAfter(Map<String, S> put, Set<String> removed) {
        ContentHash sum = hash;
        for (String name : removed) {
            sum = subtractEntry(sum, name);
        }
        for (Map.Entry<String, S> entry : put.entrySet()) {
            sum =
                    subtractEntry(sum, entry.getKey())
                            .plus(type.hash(entry.getKey(), entry.getValue()));
        }
        return sum;
    }

    private ContentHash subtractEntry(ContentHash sum, String name) {
        E existing = entries.get(name);
        return existing == null ? sum : sum.minus(type.hash(name, existing.spec()));
    }

    /** Whether these puts and removals would leave the table unchanged. */
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
