package tinroad.changelog;

import java.util.Comparator;
import java.util.Optional;

/**
 * The position of a change in the log. It determines the name of the file of the change.
 *
 * @param epoch of the publisher; a higher one fences all lower ones
 * @param number within the epoch, starting at 1
 */
public record LogPosition(long epoch, long number) implements Comparable<LogPosition> {
    private static final String PREFIX = "change-";
    private static final int DIGITS = 19;
    private static final Comparator<LogPosition> ORDER =
            Comparator.comparingLong(LogPosition::epoch).thenComparingLong(LogPosition::number);

    /**
     * Returns the position in the name of a file; empty if it is not the name of a change. Uses no
     * regular expression because of its cost, as this is called for each name in a folder.
     */
    static Optional<LogPosition> parse(String file) {
        int dash = PREFIX.length() + DIGITS;
        if (file.length() != dash + 1 + DIGITS
                || !file.startsWith(PREFIX)
                || file.charAt(dash) != '-') {
            return Optional.empty();
        }
        for (int i = PREFIX.length(); i < file.length(); i++) {
            if (i != dash && (file.charAt(i) < '0' || file.charAt(i) > '9')) {
                return Optional.empty();
            }
        }
        try {
            return Optional.of(
                    new LogPosition(
                            Long.parseLong(file, PREFIX.length(), dash, 10),
                            Long.parseLong(file, dash + 1, file.length(), 10)));
        } catch (NumberFormatException e) {
            // Larger than any number, so this class did not write the name.
            return Optional.empty();
        }
    }

    /** The name of the file of the change. */
    String fileName() {
        return String.format("change-%019d-%019d", epoch, number);
    }

    /** Whether a change at this position can directly follow the one at {@code other}. */
    public boolean follows(LogPosition other) {
        return epoch == other.epoch
                ? number == other.number + 1
                : epoch > other.epoch && number == 1;
    }

    /** The next position in the same epoch. */
    public LogPosition next() {
        return new LogPosition(epoch, number + 1);
    }

    @Override
    public int compareTo(LogPosition other) {
        return ORDER.compare(this, other);
    }

    /** The position in the form that lines for operators contain: {@code EPOCH-NUMBER}. */
    @Override
    public String toString() {
        return epoch + "-" + number;
    }
}
