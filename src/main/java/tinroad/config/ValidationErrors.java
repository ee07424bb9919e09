package tinroad.config;

import java.util.ArrayList;
import java.util.List;

/**
 * A list of validation errors, each one line for operators. It is bounded in case every entry of a
 * large table has an error: the first errors are retained, and the others are only counted.
 */
public final class ValidationErrors {
    /** Maximum number of errors that are retained; later ones are only counted. */
    public static final int MAX_REPORTED = 100;

    private final List<String> lines = new ArrayList<>();
    private int omitted;

    /** Adds an error. */
    public void add(String line) {
        if (lines.size() < MAX_REPORTED) {
            lines.add(line);
        } else {
            omitted++;
        }
    }

    void addAll(ValidationErrors others) {
        others.lines.forEach(this::add);
        omitted += others.omitted;
    }

    /** Whether there are none. */
    public boolean isEmpty() {
        return lines.isEmpty();
    }

    /**
     * Returns the errors, one line each; if some were only counted, a last line has their number.
     */
    public List<String> lines() {
        List<String> all = new ArrayList<>(lines);
        if (omitted > 0) {
            all.add("and " + omitted + " more");
        }
        return all;
    }
}
