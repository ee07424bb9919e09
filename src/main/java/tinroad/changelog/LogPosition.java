package tinroad.changelog;

import java.util.Comparator;

/** Where a change stands in the log, and by that the name of its file. */
public record LogPosition(long epoch, long number) implements Comparable<LogPosition> {
    private static final String HEAD = "change-";
    private static final int DIGITS = 19;
    private static final Comparator<LogPosition> ORDER =
            Comparator.comparingLong(LogPosition::epoch).thenComparingLong(LogPosition::number);

    /**
     * The position that a file's name stands for; null where it is no batch. Asked for each name of
     * a folder: no pattern, for its cost.
     */
    static LogPosition of(String file) {
        int dash = HEAD.length() + DIGITS;
        if (file.length() != dash + 1 + DIGITS
                || !file.startsWith(HEAD)
                || file.charAt(dash) != '-') {
            return null;
        }
        for (int i = HEAD.length(); i < file.length(); i++) {
            if (i != dash && (file.charAt(i) < '0' || file.charAt(i) > '9')) {
                return null;
            }
        }
        try {
            return new LogPosition(
                    Long.parseLong(file, HEAD.length(), dash, 10),
                    Long.parseLong(file, dash + 1, file.length(), 10));
        } catch (NumberFormatException e) {
            // More than any number: no name of ours.
            return null;
        }
    }

    String file() {
        return String.format("change-%019d-%019d", epoch, number);
    }

    /** Whether a change at this position can be the one right after {@code other}. */
    public boolean follows(LogPosition other) {
        return epoch == other.epoch
                ? number == other.number + 1
                : epoch > other.epoch && number == 1;
    }

    /** The one after it in the same epoch. */
    public LogPosition next() {
        return new LogPosition(epoch, number + 1);
    }

    @Override
    public int compareTo(LogPosition other) {
        return ORDER.compare(this, other);
    }

    @Override
    public String toString() {
        return epoch + "-" + number;
    }
}
