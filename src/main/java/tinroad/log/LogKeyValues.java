package tinroad.log;

import org.slf4j.spi.LoggingEventBuilder;

/**
 * Key-values of a log line: what it names, for those who search by it. The text of the line stays
 * as it is: a back end that only writes text would put them before it, so there they are left out.
 */
public final class LogKeyValues {
    private LogKeyValues() {}

    /**
     * The line, with {@code value} under {@code key} where the back end keeps them apart from the
     * text.
     */
    public static LoggingEventBuilder with(LoggingEventBuilder line, String key, Object value) {
        return LogBackend.keepsKeyValues() ? line.addKeyValue(key, value) : line;
    }
}
