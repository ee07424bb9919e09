package tinroad.log;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.JsonEncoder;
import ch.qos.logback.classic.encoder.PatternLayoutEncoder;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.AppenderBase;
import ch.qos.logback.core.OutputStreamAppender;
import ch.qos.logback.core.encoder.Encoder;
import ch.qos.logback.core.encoder.EncoderBase;
import java.io.FilterOutputStream;
import java.io.OutputStream;
import java.util.Map;

/**
 * The log as the operator file sets it: format, levels, and the queue between those who write lines
 * and the stream. Guards the event loop against a reader of standard error that stalls: no line
 * waits for it. Levels and format change in service; no line is lost or told twice by a change.
 */
public final class LogConfigurator implements AutoCloseable {
    /** The text lines of the on-call page, as the plain back end writes them. */
    private static final String TEXT = "%d{yyyy-MM-dd'T'HH:mm:ss.SSSXXX} [%level] %logger - %msg%n";

    private final LoggerContext context;
    private final OutputStream out;
    private final SwitchableAppender output = new SwitchableAppender();

    /** Takes over the root logger of {@code context}; lines go to {@code out}, which stays open. */
    public LogConfigurator(LoggerContext context, OutputStream out) {
        this.context = context;
        this.out = out;
        context.reset();
        output.setContext(context);
        output.start();
        context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME).addAppender(output);
    }

    /**
     * Writes like this from the next line on.
     *
     * @param levels the least level written by single loggers, by name; the others write from
     *     {@code level} on
     * @param queue lines that may wait
     * @param flushMillis time that the waiting lines are given when this format ends
     */
    public void configure(
            boolean json, String level, Map<String, String> levels, int queue, int flushMillis) {
        Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
        root.setLevel(Level.toLevel(level));
        context.getLoggerList().stream()
                .filter(logger -> logger != root)
                .forEach(logger -> logger.setLevel(null));
        levels.forEach((name, least) -> context.getLogger(name).setLevel(Level.toLevel(least)));
        OutputStreamAppender<ILoggingEvent> stream = new OutputStreamAppender<>();
        stream.setContext(context);
        stream.setEncoder(started(json ? new JsonEncoder() : new PatternLayoutEncoder()));
        stream.setOutputStream(
                new FilterOutputStream(out) {
                    @Override
                    public void write(byte[] bytes, int from, int length)
                            throws java.io.IOException {
                        out.write(bytes, from, length);
                    }

                    @Override
                    public void close() {
                        // Guards the stream: the next format writes to it too.
                    }
                });
        stream.start();
        BoundedLogQueue next = new BoundedLogQueue();
        next.setContext(context);
        next.setQueueSize(queue);
        next.setNeverBlock(true);
        next.setDiscardingThreshold(0);
        next.setMaxFlushTime(flushMillis);
        next.addAppender(stream);
        next.start();
        output.switchTo(next);
    }

    private Encoder<ILoggingEvent> started(EncoderBase<ILoggingEvent> encoder) {
        if (encoder instanceof PatternLayoutEncoder text) {
            text.setPattern(TEXT);
        } else if (encoder instanceof JsonEncoder json) {
            json.setWithSequenceNumber(false);
            json.setWithContext(false);
            json.setWithMarkers(false);
            json.setWithMDC(false);
            json.setWithArguments(false);
            // The text as it stands in the on-call page, with its values in it.
            json.setWithMessage(false);
            json.setWithFormattedMessage(true);
        }
        encoder.setContext(context);
        encoder.start();
        return encoder;
    }

    /** Writes what waits, in the time that it is given, and nothing more. */
    @Override
    public void close() {
        output.switchTo(null);
    }

    /** Where lines go now. Its lock lets each line through before a change or after it. */
    private static final class SwitchableAppender extends AppenderBase<ILoggingEvent> {
        private BoundedLogQueue queue;

        @Override
        protected void append(ILoggingEvent line) {
            if (queue != null) {
                queue.doAppend(line);
            }
        }

        void switchTo(BoundedLogQueue next) {
            BoundedLogQueue old;
            synchronized (this) {
                old = queue;
                queue = next;
            }
            if (old != null) {
                old.stop();
            }
        }
    }
}
