package tinroad.catalog;

import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import org.pcollections.TreePMap;
import tinroad.config.Interner;
import tinroad.config.SettingsValidator;
import tinroad.config.ValidationErrors;

/** Makes versions of one table of the catalog: allocates its slots, and shares equal specs. */
final class CatalogTableBuilder<S, E extends CatalogEntry<S>> {
    private final SlotAllocator slots;
    private final Interner<S> specs = new Interner<>();

    CatalogTableBuilder(EntryTable<S, E> first, int maxEntries) {
        slots = new SlotAllocator(first.initialSlots(), maxEntries);
    }

    /** Nothing refers to this slot any more. */
    void releaseSlot(int slot) {
        slots.release(slot);
    }

    /** Adds what is invalid in these puts and removals; returns how many entries there would be. */
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
        int added = 0;
        for (Map.Entry<String, S> entry : put.entrySet()) {
            SettingsValidator.name("put of " + keyword, -1, entry.getKey(), false, errors);
            table.type().validate(entry.getKey(), entry.getValue(), errors);
            added += table.get(entry.getKey()) == null ? 1 : 0;
        }
        if (added > slots.available()) {
            errors.add(
                    keyword
                            + ": no place for "
                            + added
                            + " new ones before what still runs under "
                            + (slots.retiredCount() + removedCount)
                            + " removed ones has ended");
        }
        return table.size() - removedCount + added;
    }

    /**
     * The table after valid puts and removals.
     *
     * @param onSlotChange is given each slot that changes, with its spec, or null where its entry
     *     was removed
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
            // The name that is there already, so that equal ones are held once.
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
