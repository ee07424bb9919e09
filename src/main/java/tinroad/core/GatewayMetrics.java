package tinroad.core;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Counts of what a gateway has done since its process started; read by operators. Counts are held
 * by the slot of their class: those of a removed class stay under its name until the slot is
 * assigned again, which bounds the table. Owned by the event loop.
 */
public final class GatewayMetrics {
    /** With more classes than this at the start, a class has a row from its first answer on. */
    static final int MAX_EMPTY_ROWS = 256;

    private String[] names;
    private long[] served;
    private long[] rejected;
    private long[] failed;
    private long runs;

    /** A class and how many of its answers were of each kind; invalid ones count as failed. */
    public record Row(String name, long served, long rejected, long failed) {
        private static Row sum(Row first, Row second) {
            return new Row(
                    first.name,
                    first.served + second.served,
                    first.rejected + second.rejected,
                    first.failed + second.failed);
        }
    }

    GatewayMetrics(List<String> classNames) {
        names =
                classNames.size() <= MAX_EMPTY_ROWS
                        ? classNames.toArray(String[]::new)
                        : new String[0];
        served = new long[names.length];
        rejected = new long[names.length];
        failed = new long[names.length];
    }

    /** An answer leaves to a request of the class in this slot. */
    void countResponse(int slot, String name, Response.Kind kind) {
        ensureRow(slot, name);
        long[] counts =
                switch (kind) {
                    case SERVED -> served;
                    case REJECTED -> rejected;
                    case FAILED, INVALID -> failed;
                };
        counts[slot]++;
    }

    private void ensureRow(int slot, String name) {
        if (slot >= names.length) {
            int size = Math.max(slot + 1, 2 * names.length);
            names = Arrays.copyOf(names, size);
            served = Arrays.copyOf(served, size);
            rejected = Arrays.copyOf(rejected, size);
            failed = Arrays.copyOf(failed, size);
        }
        if (!name.equals(names[slot])) {
            names[slot] = name;
            served[slot] = 0;
            rejected[slot] = 0;
            failed[slot] = 0;
        }
    }

    /** A run was sent to the engine; sending it again on a later link is the same run. */
    void countRun() {
        runs++;
    }

    /**
     * One row a class, in the order of slots; a class that was removed and added again is one row.
     */
    public List<Row> rows() {
        Map<String, Row> rows = new LinkedHashMap<>();
        for (int slot = 0; slot < names.length; slot++) {
            if (names[slot] != null) {
                rows.merge(
                        names[slot],
                        new Row(names[slot], served[slot], rejected[slot], failed[slot]),
                        Row::sum);
            }
        }
        return new ArrayList<>(rows.values());
    }

    /** How many runs were sent to the engine. */
    public long runs() {
        return runs;
    }
}
