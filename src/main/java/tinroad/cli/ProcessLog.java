package tinroad.cli;

import ch.qos.logback.classic.LoggerContext;
import org.slf4j.LoggerFactory;
import tinroad.log.LogConfigurator;
import tinroad.operator.LogSettings;
import tinroad.operator.OperatorConfig;

/**
 * The log output of this process, as configured by the operator file. Without an operator file, the
 * output stays as the command line of the process sets it.
 */
final class ProcessLog {
    private final LogConfigurator configurator;

    private ProcessLog(LogConfigurator configurator) {
        this.configurator = configurator;
    }

    static ProcessLog of(OperatorConfig operator) {
        // The plain back end, which tests that run commands use, has nothing to configure.
        if (operator == null || !(LoggerFactory.getILoggerFactory() instanceof LoggerContext)) {
            return new ProcessLog(null);
        }
        ProcessLog processLog =
                new ProcessLog(
                        new LogConfigurator(
                                (LoggerContext) LoggerFactory.getILoggerFactory(), System.err));
        processLog.configure(operator.log());
        return processLog;
    }

    void configure(LogSettings settings) {
        if (configurator != null) {
            configurator.configure(
                    settings.json(),
                    settings.level(),
                    settings.levels(),
                    settings.queueCapacity(),
                    (int) settings.flushMillis());
        }
    }

    /** Writes the queued lines; later ones are dropped. */
    void close() {
        if (configurator != null) {
            configurator.close();
        }
    }
}
