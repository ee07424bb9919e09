package tinroad.operator;

import java.util.Comparator;

/**
 * One error in an operator file.
 *
 * @param file the file as named by the operator or by an include
 * @param line the line, counted from 1
 * @param key the full path of the setting, or "" if the error is not in a single setting
 * @param text describes the error and what is allowed
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

    /** Returns {@code FILE:LINE: KEY: TEXT} on one line. */
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
