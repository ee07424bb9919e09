package tinroad.operator;

import java.util.Comparator;

/**
 * One thing wrong with an operator file.
 *
 * @param file the file as it was named, or that an include named
 * @param line counted from 1
 * @param key the full path of the setting, or "" where the fault is in no one setting
 * @param text what is wrong, and what is allowed
 */
public record Fault(String file, int line, String key, String text) implements Comparable<Fault> {
    private static final Comparator<Fault> ORDER =
            Comparator.comparing(Fault::file)
                    .thenComparingInt(Fault::line)
                    .thenComparing(Fault::key)
                    .thenComparing(Fault::text);

    @Override
    public int compareTo(Fault other) {
        return ORDER.compare(this, other);
    }

    /** {@code FILE:LINE: KEY: TEXT}, on one line. */
    @Override
    public String toString() {
        return file
                + ":"
                + line
                + ": "
                + (key.isEmpty() ? "" : key + ": ")
                + text.replaceAll("\\s+", " ");
    }
}
