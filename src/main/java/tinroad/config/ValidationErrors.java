package tinroad.config;

import java.util.ArrayList;
import java.util.List;

/**
 * Lines for operators, a line a fault. Guards against a table that is wrong throughout: of many
 * only the first are kept, the rest counted.
 */
public final class ValidationErrors {
    /** Lines that are told. */
    public static final int MAX_REPORTED = 100;

    private final List<String> lines = new ArrayList<>();
    private int more;

    /** One more fault. */
    public void add(String line) {
        if (lines.size() < MAX_REPORTED) {
            lines.add(line);
        } else {
            more++;
        }
    }

    void addAll(ValidationErrors others) {
        others.lines.forEach(this::add);
        more += others.more;
    }

    /** Whether there are none. */
    public boolean isEmpty() {
        return lines.isEmpty();
    }

    /** What is told: a line each, and the last one counts those left out. */
    public List<String> lines() {
        List<String> all = new ArrayList<>(lines);
        if (more > 0) {
            all.add("and " + more + " more");
        }
        return all;
    }
}
