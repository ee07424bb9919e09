package tinroad.core;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * What a gateway has done since its process started, counted where it happens; read by operators.
 * Counts stand at the place of their class: those of a removed class stay under its name until the
 * place is given anew, and so bound the table.
 */
public final class GatewayMetrics {
    /** With more classes than this at the start, one has a row only from its first answer on. */
    static final int MOST_EMPTY_ROWS = 256;

    private String[] names;
    private long[] served;
    private long[] refused;
    private long[] failed;
    private long runs;

    /** A class and its answers. */
    public record Row(String name, long served, long rejected, long failed) {
        private static Row sum(Row a, Row b) {
            return new Row(
                    a.name, a.served + b.served, a.rejected + b.rejected, a.failed + b.failed);
        }
    }

    GatewayMetrics(List<String> classNames) {
        names =
                classNames.size() <= MOST_EMPTY_ROWS
                        ? classNames.toArray(String[]::new)
                        : new String[0];
        served = new long[names.length];
        refused = new long[names.length];
        failed = new long[names.length];
    }

    /** An answer leaves to a request of the class that has this place. */
    void answered(int place, String name, Response.Kind kind) {
        open(place, name);
        long[] counts =
                switch (kind) {
                    case SERVED -> served;
                    case REJECTED -> refused;
                    case FAILED, INVALID -> failed;
                };
        counts[place]++;
    }

    private void open(int place, String name) {
        if (place >= names.length) {
            int size = Math.max(place + 1, 2 * names.length);
            names = Arrays.copyOf(names, size);
            served = Arrays.copyOf(served, size);
            refused = Arrays.copyOf(refused, size);
            failed = Arrays.copyOf(failed, size);
        }
        if (!name.equals(names[place])) {
            names[place] = name;
            served[place] = 0;
            refused[place] = 0;
            failed[place] = 0;
        }
    }

    /** A run is handed to the engine; its repetition on a later link is the same run. */
    void handedOver() {
        runs++;
    }

    /** The classes in the order of their places; one that was removed and came back is one row. */
    public List<Row> rows() {
        Map<String, Row> rows = new LinkedHashMap<>();
        for (int i = 0; i < names.length; i++) {
            if (names[i] != null) {
                rows.merge(names[i], new Row(names[i], served[i], refused[i], failed[i]), Row::sum);
            }
        }
        return new ArrayList<>(rows.values());
    }

    /** Runs handed to the engine. */
    public long runs() {
        return runs;
    }
}
