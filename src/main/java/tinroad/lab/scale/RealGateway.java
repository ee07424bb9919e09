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
 * One whole gateway of the scale run: its process, its files, its log, and the load that it gets,
 * or none.
 */
final class RealGateway {
    /** What its log says once it takes work, and once it has read its configuration again. */
    static final Pattern READY = Pattern.compile("health good");

    static final Pattern REREAD = Pattern.compile("configuration read again");
    private static final int TIME = 29;

    final int number;

    /** Of the first of two programs all metrics' names end so. */
    final String suffix;

    final SettingsFile settings;
    final GatewayProcess process;
    final double begunAt;
    Load load;
    private final Path log;
    private long readTo;
    private String partial = "";

    /** Starts it; the configuration and the operator file are there. */
    RealGateway(int number, String suffix, String jar, Path folder, SettingsFile settings)
            throws IOException {
        this.number = number;
        this.suffix = suffix;
        this.settings = settings;
        log = folder.resolve("log");
        begunAt = System.currentTimeMillis();
        process = GatewayProcess.start(jar, folder, folder.resolve("operator.conf"));
    }

    /** The name of the gateway of this number, in roster and fleet. */
    static String name(int number) {
        return "g" + number;
    }

    /**
     * Unix ms of the next line of its log in which the pattern is found, or NaN while there is
     * none; each line is read once.
     */
    double next(Pattern pattern) throws IOException {
        while (true) {
            int end = partial.indexOf('\n');
            if (end < 0) {
                String more = more();
                if (more.isEmpty()) {
                    return Double.NaN;
                }
                partial += more;
                continue;
            }
            String line = partial.substring(0, end);
            partial = partial.substring(end + 1);
            if (pattern.matcher(line).find()) {
                return at(line);
            }
        }
    }

    /** All that the log has from here on is to be read; what came before is passed over. */
    void skip() throws IOException {
        readTo = Files.exists(log) ? Files.size(log) : 0;
        partial = "";
    }

    private String more() throws IOException {
        if (!Files.exists(log)) {
            return "";
        }
        try (RandomAccessFile file = new RandomAccessFile(log.toFile(), "r")) {
            byte[] bytes = new byte[(int) Math.min(1 << 20, file.length() - readTo)];
            file.seek(readTo);
            file.readFully(bytes);
            readTo += bytes.length;
            return new String(bytes, StandardCharsets.ISO_8859_1);
        }
    }

    private static double at(String line) {
        int end = line.indexOf(' ');
        return end < 0 || end > TIME
                ? System.currentTimeMillis()
                : OffsetDateTime.parse(line.substring(0, end)).toInstant().toEpochMilli();
    }

    /** The last line of its log, for those who ask why it did not start. */
    String lastLine() throws IOException {
        return Files.exists(log)
                ? Files.readString(log, StandardCharsets.ISO_8859_1).lines().reduce("", (a, b) -> b)
                : "";
    }
}
