package tinroad.cli;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;

/**
 * Checks whether this process uses the class-data sharing archive that its command line names. The
 * virtual machine silently ignores an archive that it can't use, such as one made from a jar whose
 * modification time has changed; proc(5) shows whether the archive is mapped. Without this check, a
 * slow start would go unnoticed.
 */
final class ClassArchive {
    private static final Path ARGUMENTS = Path.of("/proc/self/cmdline");
    private static final Path MAPPED = Path.of("/proc/self/maps");
    private static final String OPTION = "-XX:SharedArchiveFile=";

    private ClassArchive() {}

    /**
     * Returns why the archive is not used; null if it is used, if none is named, or if the system
     * does not provide the information.
     */
    static String reasonUnused() {
        try {
            return reasonUnused(
                    Files.readString(ARGUMENTS, StandardCharsets.ISO_8859_1),
                    Files.readString(MAPPED, StandardCharsets.ISO_8859_1));
        } catch (IOException e) {
            return null;
        }
    }

    private static String reasonUnused(String arguments, String mapped) {
        String archive =
                Arrays.stream(arguments.split("\0"))
                        .filter(argument -> argument.startsWith(OPTION))
                        .reduce(null, (earlier, later) -> later.substring(OPTION.length()));
        if (archive == null || mapped.contains("/" + Path.of(archive).getFileName() + "\n")) {
            return null;
        }
        return archive
                + (Files.exists(Path.of(archive))
                        ? " is not of this jar as it is now, its time counts, or is damaged"
                        : " is not there");
    }
}
