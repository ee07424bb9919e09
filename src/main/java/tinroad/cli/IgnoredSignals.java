package tinroad.cli;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Detects signals that this process ignores. Some signals that were ignored when the virtual
 * machine started stay ignored, without notice; the line {@code SigIgn} of proc(5) shows them.
 */
final class IgnoredSignals {
    /** The number of SIGHUP. */
    static final int HUP = 1;

    private static final Path STATUS = Path.of("/proc/self/status");
    private static final String FIELD = "SigIgn:";
    private static final int HEXADECIMAL = 16;

    private IgnoredSignals() {}

    /**
     * Whether the signal with this number is ignored; false if the system does not provide the
     * information.
     */
    static boolean isIgnored(int number) {
        try {
            return Files.readAllLines(STATUS, StandardCharsets.ISO_8859_1).stream()
                    .filter(line -> line.startsWith(FIELD))
                    .anyMatch(
                            line ->
                                    (Long.parseUnsignedLong(
                                                                    line.substring(FIELD.length())
                                                                            .strip(),
                                                                    HEXADECIMAL)
                                                            >>> (number - 1)
                                                    & 1)
                                            != 0);
        } catch (IOException | NumberFormatException e) {
            return false;
        }
    }
}
