package tinroad.config;

import java.util.ArrayList;
import java.util.List;

/**
 * Validation errors, each a line for operators. Guards against a table with an error in every
 * entry: only the first errors are retained, the others are counted.
 */
public final class ValidationErrors {
    /** Errors that are retained; later ones are only counted. */
    public static final int MAX_REPORTED = 100;

    private final List<String> lines = new ArrayList<>();
    private int more;

    /** Adds an error. */
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

    /** The errors, a line each; if some were only counted, the last line says how many. */
    public List<String> lines() {
        List<String> all = new ArrayList<>(lines);
        if (more > 0) {
            all.add("and " + more + " more");
        }
        return all;
    }
}
