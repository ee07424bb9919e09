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
 * Configures the log as the operator file sets it: format, levels, and the queue between the
 * threads that log and the output stream. Because of the queue, a stalled reader of standard error
 * never blocks the event loop. Levels and format can be changed while the process runs; a change
 * neither loses nor repeats a line.
 */
public final class LogConfigurator implements AutoCloseable {
    /** Text lines as in {@code docs/on-call.md}, the same as those of the plain back end. */
    private static final String TEXT_PATTERN =
            "%d{yyyy-MM-dd'T'HH:mm:ss.SSSXXX} [%level] %logger - %msg%n";

    private final LoggerContext context;
    private final OutputStream out;
    private final SwitchableAppender output = new SwitchableAppender();

    /**
     * Takes over the root logger of {@code context}. Lines are written to {@code out}, which is
     * never closed.
     */
    public LogConfigurator(LoggerContext context, OutputStream out) {
        this.context = context;
        this.out = out;
        context.reset();
        output.setContext(context);
        output.start();
        context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME).addAppender(output);
    }

    /**
     * Applies these settings from the next line on.
     *
     * @param json whether each line is a JSON object; otherwise lines are text
     * @param level the lowest level that loggers write if {@code levels} does not name them
     * @param levels the lowest level of individual loggers, by name
     * @param queueCapacity the number of lines that may be queued
     * @param flushMillis the time for writing the queued lines when these settings are replaced
     */
    public void configure(
            boolean json,
            String level,
            Map<String, String> levels,
            int queueCapacity,
            int flushMillis) {
        Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
        root.setLevel(Level.toLevel(level));
        context.getLoggerList().stream()
                .filter(logger -> logger != root)
                .forEach(logger -> logger.setLevel(null));
        levels.forEach(
                (name, minLevel) -> context.getLogger(name).setLevel(Level.toLevel(minLevel)));
        OutputStreamAppender<ILoggingEvent> stream = new OutputStreamAppender<>();
        stream.setContext(context);
        stream.setEncoder(startEncoder(json ? new JsonEncoder() : new PatternLayoutEncoder()));
        stream.setOutputStream(
                new FilterOutputStream(out) {
                    @Override
                    public void write(byte[] bytes, int from, int length)
                            throws java.io.IOException {
                        out.write(bytes, from, length);
                    }

                    @Override
                    public void close() {
                        // Left open, because the next configuration writes to the same stream.
                    }
                });
        stream.start();
        BoundedLogQueue next = new BoundedLogQueue();
        next.setContext(context);
        next.setQueueSize(queueCapacity);
        next.setNeverBlock(true);
        next.setDiscardingThreshold(0);
        next.setMaxFlushTime(flushMillis);
        next.addAppender(stream);
        next.start();
        output.switchTo(next);
    }

    private Encoder<ILoggingEvent> startEncoder(EncoderBase<ILoggingEvent> encoder) {
        if (encoder instanceof PatternLayoutEncoder text) {
            text.setPattern(TEXT_PATTERN);
        } else if (encoder instanceof JsonEncoder json) {
            json.setWithSequenceNumber(false);
            json.setWithContext(false);
            json.setWithMarkers(false);
            json.setWithMDC(false);
            json.setWithArguments(false);
            // Writes the formatted text, as in docs/on-call.md, instead of the template.
            json.setWithMessage(false);
            json.setWithFormattedMessage(true);
        }
        encoder.setContext(context);
        encoder.start();
        return encoder;
    }

    /** Writes the queued lines within the flush time; later lines are dropped. */
    @Override
    public void close() {
        output.switchTo(null);
    }

    /**
     * Passes lines to the current queue, which can be replaced. Its lock ensures that each line
     * goes to exactly one queue.
     */
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
