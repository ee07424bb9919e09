package tinroad.log;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.util.LogbackMDCAdapter;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.slf4j.Logger;

/**
 * Tests the configurator of log lines, and that lines are neither lost nor block while settings
 * change or the reader stalls.
 */
@Timeout(60)
class LogConfiguratorTest {
    private static final int FLUSH_MILLIS = 60_000;
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final LoggerContext context = new LoggerContext();

    LogConfiguratorTest() {
        context.setMDCAdapter(new LogbackMDCAdapter());
    }

    private String written() {
        return out.toString(StandardCharsets.UTF_8);
    }

    /** Replaces the timestamps, which differ between runs. */
    private static String withoutTimestamps(String text) {
        return text.replaceAll(
                "(?m)^\\d{4}-\\d\\d-\\d\\dT\\d\\d:\\d\\d:\\d\\d\\.\\d{3}(Z|[+-]\\d\\d:\\d\\d) ",
                "AT ");
    }

    @Test
    void aJsonLineHasItsKeyValues() throws Exception {
        try (LogConfigurator configurator = new LogConfigurator(context, out)) {
            configurator.configure(true, "info", Map.of(), 64, FLUSH_MILLIS);
            context.getLogger("engine")
                    .atInfo()
                    .addKeyValue("engine", "/127.0.0.1:4400")
                    .log("moving to {}", "/127.0.0.1:4400");
        }
        JsonNode line = new ObjectMapper().readTree(written());
        assertEquals("moving to /127.0.0.1:4400", line.path("formattedMessage").asText());
        assertEquals("INFO", line.path("level").asText());
        assertEquals("engine", line.path("loggerName").asText());
        assertEquals("/127.0.0.1:4400", line.at("/kvpList/0/engine").asText());
    }

    @Test
    void levelsOfSingleLoggersApplyUntilTheNextConfiguration() {
        try (LogConfigurator configurator = new LogConfigurator(context, out)) {
            configurator.configure(
                    false, "warn", Map.of("engine", "debug", "front", "off"), 64, FLUSH_MILLIS);
            List.of("engine", "front", "server")
                    .forEach(name -> context.getLogger(name).debug("first"));
            context.getLogger("front").error("second");
            configurator.configure(false, "warn", Map.of(), 64, FLUSH_MILLIS);
            context.getLogger("engine").debug("third");
            context.getLogger("front").error("fourth");
        }
        assertEquals(
                "AT [DEBUG] engine - first\nAT [ERROR] front - fourth\n",
                withoutTimestamps(written()));
    }

    @Test
    void aChangeNeitherLosesNorRepeatsALine() throws Exception {
        int lines = 2000;
        try (LogConfigurator configurator = new LogConfigurator(context, out)) {
            configurator.configure(false, "info", Map.of(), 65536, FLUSH_MILLIS);
            Thread writer =
                    new Thread(
                            () -> {
                                for (int i = 0; i < lines; i++) {
                                    context.getLogger("server").info("line {}", i);
                                }
                            });
            writer.start();
            for (int i = 0; i < 40; i++) {
                configurator.configure(i % 2 == 0, "info", Map.of(), 65536, FLUSH_MILLIS);
            }
            writer.join();
        }
        for (int i = 0; i < lines; i++) {
            String line = "line " + i;
            assertEquals(
                    1,
                    written()
                            .lines()
                            .filter(l -> l.endsWith(" - " + line) || l.contains("\"" + line + "\""))
                            .count(),
                    line);
        }
    }

    @Test
    void aStalledReaderBlocksNobodyAndTheLostLinesAreCounted() throws Exception {
        CountDownLatch reading = new CountDownLatch(1);
        CountDownLatch stalled = new CountDownLatch(1);
        OutputStream stream =
                new OutputStream() {
                    @Override
                    public void write(int b) {
                        throw new UnsupportedOperationException();
                    }

                    @Override
                    public void write(byte[] bytes, int from, int length) {
                        stalled.countDown();
                        try {
                            reading.await();
                        } catch (InterruptedException e) {
                            Thread.currentThread().interrupt();
                        }
                        out.write(bytes, from, length);
                    }
                };
        try (LogConfigurator configurator = new LogConfigurator(context, stream)) {
            configurator.configure(false, "info", Map.of(), 16, FLUSH_MILLIS);
            Logger log = context.getLogger("server");
            log.info("line 0");
            stalled.await();
            // 15 of these lines are queued and the others dropped; this thread must not block.
            for (int i = 1; i <= 100; i++) {
                log.info("line {}", i);
            }
            reading.countDown();
            while (written().lines().count() < 16) {
                Thread.onSpinWait();
            }
            log.info("line 101");
        }
        assertEquals(18, written().lines().count(), this::written);
        assertTrue(
                written().contains("[WARN] log - 85 lines lost: nobody read them in time"),
                this::written);
    }
}
