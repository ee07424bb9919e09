package tinroad.core;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Counts a gateway's answers and runs since its process started, for operators. The counts are
 * stored by the slot of their class. Those of a removed class stay under its name until the slot is
 * assigned again, which bounds the table. All methods must be called on the event loop.
 */
public final class GatewayMetrics {
    /** If there are more classes than this at the start, each gets its row at its first answer. */
    static final int MAX_EMPTY_ROWS = 256;

    private String[] names;
    private long[] served;
    private long[] rejected;
    private long[] failed;
    private long runs;

    /**
     * A class and its number of answers of each kind. Answers to invalid requests count as failed.
     */
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

    /** Counts an answer to a request of the class in this slot. */
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

    /**
     * Counts a run that was sent to the engine. Sending it again on a later link is the same run.
     */
    void countRun() {
        runs++;
    }

    /**
     * Returns one row for each class, in the order of slots. A class that was removed and added
     * again has a single row.
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

    /** Returns how many runs were sent to the engine. */
    public long runs() {
        return runs;
    }
}
