package tinroad.overload;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/**
 * Versions of a {@link SlotTable} share what did not change, and none shows the changes of a later
 * one.
 */
class SlotTableTest {
    @Test
    void versionKeepsItsValuesWhateverLaterOnesSet() {
        SlotTable<Integer> first = SlotTable.of(IntStream.range(0, 1000).boxed().toList());
        SlotTable<Integer> second = first.nextVersion();
        second.set(300, -1);
        second.set(301, null);
        second.set(5000, 7);
        SlotTable<Integer> third = second.nextVersion();
        third.set(300, -2);
        assertEquals(
                List.of(300, 301, 1000), List.of(first.get(300), first.get(301), first.size()));
        assertNull(first.get(5000));
        assertEquals(
                List.of(-1, 7, 5001), List.of(second.get(300), second.get(5000), second.size()));
        assertNull(second.get(301));
        assertEquals(
                List.of(-2, 7, 299, 5001),
                List.of(third.get(300), third.get(5000), third.get(299), third.size()));
    }

    @Test
    void readsBeyondTheTableAreNullAndSettingInvalidSlotsFails() {
        SlotTable<String> empty = new SlotTable<>();
        assertNull(empty.get(-1));
        assertNull(empty.get(Integer.MAX_VALUE));
        assertThrows(IllegalArgumentException.class, () -> empty.set(-1, "x"));
        assertThrows(IllegalArgumentException.class, () -> empty.set(SlotTable.MAX_SLOTS, "x"));
        assertEquals(0, empty.size());
    }

    @Property(tries = 100, seed = "30")
    void everyVersionEqualsItsModelAtTheCreationOfTheNext(@ForAll long seed) {
        Random random = new Random(seed);
        SlotTable<Integer> table = new SlotTable<>();
        Map<Integer, Integer> model = new TreeMap<>();
        List<SlotTable<Integer>> versions = new ArrayList<>();
        List<Map<Integer, Integer>> models = new ArrayList<>();
        for (int i = 0; i < 400; i++) {
            int slot = random.nextInt(1 + random.nextInt(3000));
            Integer value = random.nextInt(4) == 0 ? null : Integer.valueOf(i);
            table.set(slot, value);
            model.put(slot, value);
            if (random.nextInt(40) == 0) {
                versions.add(table);
                models.add(new TreeMap<>(model));
                table = table.nextVersion();
            }
        }
        for (int version = 0; version < versions.size(); version++) {
            for (int slot = 0; slot < 3000; slot++) {
                assertEquals(models.get(version).get(slot), versions.get(version).get(slot));
            }
        }
    }
}
