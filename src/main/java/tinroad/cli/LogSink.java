package tinroad.cli;

import ch.qos.logback.classic.LoggerContext;
import org.slf4j.LoggerFactory;
import tinroad.log.LogConfigurator;
import tinroad.operator.LogSettings;
import tinroad.operator.OperatorConfig;

/**
 * The log of this process as the operator file has it; without one it stays as the platform's
 * {@code run} has it.
 */
final class LogSink {
    private final LogConfigurator format;

    private LogSink(LogConfigurator format) {
        this.format = format;
    }

    static LogSink of(OperatorConfig operator) {
        // Where the plain back end is in place, as in a test that runs commands, there is nothing
        // to set.
        if (operator == null || !(LoggerFactory.getILoggerFactory() instanceof LoggerContext)) {
            return new LogSink(null);
        }
        LogSink sink =
                new LogSink(
                        new LogConfigurator(
                                (LoggerContext) LoggerFactory.getILoggerFactory(), System.err));
        sink.set(operator.log());
        return sink;
    }

    void set(LogSettings log) {
        if (format != null) {
            format.configure(
                    log.json(), log.level(), log.levels(), log.queue(), (int) log.flushMillis());
        }
    }

    /** Writes what waits; what comes later is not written. */
    void end() {
        if (format != null) {
            format.close();
        }
    }
}
