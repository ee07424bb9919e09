package tinroad.catalog;

import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import org.pcollections.TreePMap;
import tinroad.config.Interner;
import tinroad.config.SettingsValidator;
import tinroad.config.ValidationErrors;

/**
 * Creates the versions of one table of the catalog: allocates its slots, and shares equal specs.
 */
final class CatalogTableBuilder<S, E extends CatalogEntry<S>> {
    private final SlotAllocator slots;
    private final Interner<S> specs = new Interner<>();

    CatalogTableBuilder(EntryTable<S, E> first, int maxEntries) {
        slots = new SlotAllocator(first.initialSlots(), maxEntries);
    }

    /**
     * Makes the slot of a removed entry available again. To be called once nothing refers to it.
     */
    void releaseSlot(int slot) {
        slots.release(slot);
    }

    /**
     * Validates these puts and removals, and adds what is invalid to {@code errors}. Returns the
     * number of entries that the table would have.
     */
    int validate(
            EntryTable<S, E> table,
            Map<String, S> put,
            Set<String> removed,
            ValidationErrors errors) {
        String keyword = table.type().keyword();
        int removedCount = 0;
        for (String name : removed) {
            if (table.get(name) == null) {
                errors.add(
                        keyword
                                + " "
                                + SettingsValidator.shown(name)
                                + " can't be removed: there is none");
            } else if (put.containsKey(name)) {
                errors.add(
                        keyword + " " + SettingsValidator.shown(name) + " is both put and removed");
            } else {
                removedCount++;
            }
        }
        int addedCount = 0;
        for (Map.Entry<String, S> entry : put.entrySet()) {
            SettingsValidator.name("put of " + keyword, -1, entry.getKey(), false, errors);
            table.type().validate(entry.getKey(), entry.getValue(), errors);
            addedCount += table.get(entry.getKey()) == null ? 1 : 0;
        }
        if (addedCount > slots.available()) {
            errors.add(
                    keyword
                            + ": no place for "
                            + addedCount
                            + " new ones before what still runs under "
                            + (slots.retiredCount() + removedCount)
                            + " removed ones has ended");
        }
        return table.size() - removedCount + addedCount;
    }

    /**
     * Returns the table after valid puts and removals.
     *
     * @param onSlotChange called with each slot that changes and its spec, or null if its entry was
     *     removed
     */
    EntryTable<S, E> apply(
            EntryTable<S, E> table,
            Map<String, S> put,
            Set<String> removed,
            BiConsumer<Integer, S> onSlotChange) {
        TreePMap<String, E> entries = table.entries();
        for (String name : removed) {
            int slot = entries.get(name).slot();
            entries = entries.minus(name);
            slots.retire(slot);
            onSlotChange.accept(slot, null);
        }
        for (Map.Entry<String, S> entry : put.entrySet()) {
            E existing = entries.get(entry.getKey());
            // Reuses the existing name object, so that equal names are stored once.
            String name = existing == null ? entry.getKey() : existing.name();
            S spec = specs.intern(entry.getValue());
            int slot = existing == null ? slots.allocate() : existing.slot();
            entries = entries.plus(name, table.type().entry(name, slot, spec));
            onSlotChange.accept(slot, spec);
        }
        return new EntryTable<>(
                table.type(), entries, table.hashAfter(put, removed), table.initialSlots());
    }
}
