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
public record ValidationError(String file, int line, String key, String text)
        implements Comparable<ValidationError> {
    private static final Comparator<ValidationError> ORDER =
            Comparator.comparing(ValidationError::file)
                    .thenComparingInt(ValidationError::line)
                    .thenComparing(ValidationError::key)
                    .thenComparing(ValidationError::text);

    @Override
    public int compareTo(ValidationError other) {
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
