package tinroad.log;

import org.slf4j.spi.LoggingEventBuilder;

/**
 * Adds key-value pairs to log lines, so that lines can be searched by the things that they name.
 * The text of a line is unchanged: a back end that only writes text would prepend the pairs to it,
 * so they are left out there.
 */
public final class LogKeyValues {
    private LogKeyValues() {}

    /** Adds {@code value} under {@code key} if the back end writes pairs apart from the text. */
    public static LoggingEventBuilder with(LoggingEventBuilder line, String key, Object value) {
        return LogBackend.separatesKeyValues() ? line.addKeyValue(key, value) : line;
    }
}
