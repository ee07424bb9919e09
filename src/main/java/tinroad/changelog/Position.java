package tinroad.changelog;

import java.util.Comparator;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Where a change stands in the log, and by that the name of its file. */
public record Position(long epoch, long number) implements Comparable<Position> {
    private static final Pattern FILE = Pattern.compile("change-(\\d{19})-(\\d{19})");
    private static final Comparator<Position> ORDER = Comparator.comparingLong(Position::epoch).thenComparingLong(Position::number);

    /** The position that a file's name stands for; null where it is no batch. */
    static Position of(String file) {
        Matcher m = FILE.matcher(file);
        try {
            return m.matches() ? new Position(Long.parseLong(m.group(1)), Long.parseLong(m.group(2))) : null;
        } catch (NumberFormatException e) {
            // More than any number: no name of ours.
            return null;
        }
    }

    String file() {
        return String.format("change-%019d-%019d", epoch, number);
    }

    /** Whether a change at this position can be the one right after {@code other}. */
    public boolean follows(Position other) {
        return epoch == other.epoch ? number == other.number + 1 : epoch > other.epoch && number == 1;
    }

    /** The one after it in the same epoch. */
    public Position next() {
        return new Position(epoch, number + 1);
    }

    @Override
    public int compareTo(Position other) {
        return ORDER.compare(this, other);
    }

    @Override
    public String toString() {
        return epoch + "-" + number;
    }
}
