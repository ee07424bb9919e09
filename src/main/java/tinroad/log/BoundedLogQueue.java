package tinroad.log;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.spi.LoggingEvent;

/**
 * A bounded queue of log lines that are written to the stream in the background. When the queue is
 * full, further lines are dropped and counted; their number is logged once there is room again.
 */
final class BoundedLogQueue extends AsyncAppender {
    private long lostLines;

    @Override
    protected void append(ILoggingEvent line) {
        // One place is reserved for the line that reports the number of lost lines.
        if (getRemainingCapacity() <= 1) {
            lostLines++;
            return;
        }
        if (lostLines > 0) {
            Logger logger = ((LoggerContext) getContext()).getLogger("log");
            super.append(
                    new LoggingEvent(
                            BoundedLogQueue.class.getName(),
                            logger,
                            Level.WARN,
                            "{} lines lost: nobody read them in time",
                            null,
                            new Object[] {lostLines}));
            lostLines = 0;
        }
        super.append(line);
    }
}
