package tinroad.lab.scale;

import java.io.IOException;
import java.io.RandomAccessFile;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.OffsetDateTime;
import java.util.regex.Pattern;
import tinroad.lab.GatewayProcess;

/**
 * One complete gateway of the scale run: its process, its files, its log, and its load generator
 * where it has one.
 */
final class RealGateway {
    /** Log lines that it writes once it accepts work and once it has reloaded its configuration. */
    static final Pattern READY_LINE = Pattern.compile("health good");

    static final Pattern CONFIG_RELOADED_LINE = Pattern.compile("configuration read again");
    private static final int MAX_TIMESTAMP_CHARS = 29;

    final int number;

    /** The end of the names of its metrics; not empty for the first of two programs. */
    final String metricSuffix;

    final SettingsFile settings;
    final GatewayProcess process;
    final double startedAtMillis;
    LoadGenerator loadGenerator;
    private final Path log;
    private long readPosition;
    private String partialLine = "";

    /** Starts the gateway; its configuration and operator file have to exist. */
    RealGateway(int number, String metricSuffix, String jar, Path folder, SettingsFile settings)
            throws IOException {
        this.number = number;
        this.metricSuffix = metricSuffix;
        this.settings = settings;
        log = folder.resolve("log");
        startedAtMillis = System.currentTimeMillis();
        process = GatewayProcess.start(jar, folder, folder.resolve("operator.conf"));
    }

    /** The name of the gateway with this number, in the service registry and the fleet. */
    static String name(int number) {
        return "g" + number;
    }

    /**
     * Time of the next log line that matches the pattern, in Unix ms, or NaN while there is none.
     * Each line is read once.
     */
    double nextMatchMillis(Pattern pattern) throws IOException {
        while (true) {
            int end = partialLine.indexOf('\n');
            if (end < 0) {
                String chunk = readMore();
                if (chunk.isEmpty()) {
                    return Double.NaN;
                }
                partialLine += chunk;
                continue;
            }
            String line = partialLine.substring(0, end);
            partialLine = partialLine.substring(end + 1);
            if (pattern.matcher(line).find()) {
                return timestampMillis(line);
            }
        }
    }

    /** Skips what the log contains so far. */
    void skipToEnd() throws IOException {
        readPosition = Files.exists(log) ? Files.size(log) : 0;
        partialLine = "";
    }

    private String readMore() throws IOException {
        if (!Files.exists(log)) {
            return "";
        }
        try (RandomAccessFile file = new RandomAccessFile(log.toFile(), "r")) {
            byte[] bytes = new byte[(int) Math.min(1 << 20, file.length() - readPosition)];
            file.seek(readPosition);
            file.readFully(bytes);
            readPosition += bytes.length;
            return new String(bytes, StandardCharsets.ISO_8859_1);
        }
    }

    private static double timestampMillis(String line) {
        int end = line.indexOf(' ');
        return end < 0 || end > MAX_TIMESTAMP_CHARS
                ? System.currentTimeMillis()
                : OffsetDateTime.parse(line.substring(0, end)).toInstant().toEpochMilli();
    }

    /** The last line of its log, which tells why a gateway did not start. */
    String lastLogLine() throws IOException {
        return Files.exists(log)
                ? Files.readString(log, StandardCharsets.ISO_8859_1).lines().reduce("", (a, b) -> b)
                : "";
    }
}
