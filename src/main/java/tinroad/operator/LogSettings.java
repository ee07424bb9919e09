package tinroad.operator;

import java.util.Map;

/**
 * Settings for the log output.
 *
 * @param json whether each line is a JSON object; otherwise lines are text as in {@code
 *     docs/on-call.md}
 * @param level the lowest level written: {@code trace} to {@code error}, or {@code off}
 * @param levels the lowest level of individual loggers, by name
 * @param queueCapacity the number of lines that may be queued while the reader of standard error
 *     stalls; further lines are dropped and counted
 * @param flushMillis the time for writing the queued lines at the end
 */
public record LogSettings(
        boolean json,
        String level,
        Map<String, String> levels,
        int queueCapacity,
        double flushMillis) {}
