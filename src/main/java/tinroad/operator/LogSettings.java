package tinroad.operator;

import java.util.Map;

/**
 * How log lines are written.
 *
 * @param json one JSON object a line; otherwise the text lines of the on-call page
 * @param level the least level written: {@code trace} to {@code error}, or {@code off}
 * @param levels the same for single loggers, by name
 * @param queue lines that may wait for a reader of standard error that stalls; what comes beyond is
 *     counted and lost
 * @param flushMillis ms that the last lines are given at the end
 */
public record LogSettings(
        boolean json, String level, Map<String, String> levels, int queue, double flushMillis) {}
