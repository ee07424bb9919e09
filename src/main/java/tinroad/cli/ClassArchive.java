package tinroad.cli;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;

/**
 * Whether this process runs from the class-data archive that its command line names. The virtual
 * machine silently ignores an archive that it can't use, such as one of a jar whose time has
 * changed; proc(5) shows whether it is mapped. Guards against starts that are slow unnoticed.
 */
final class ClassArchive {
    private static final Path ARGUMENTS = Path.of("/proc/self/cmdline");
    private static final Path MAPPED = Path.of("/proc/self/maps");
    private static final String OPTION = "-XX:SharedArchiveFile=";

    private ClassArchive() {}

    /**
     * Why the archive is not used; null where it is, where none is named, and where the system does
     * not tell.
     */
    static String unused() {
        try {
            return unused(
                    Files.readString(ARGUMENTS, StandardCharsets.ISO_8859_1),
                    Files.readString(MAPPED, StandardCharsets.ISO_8859_1));
        } catch (IOException e) {
            return null;
        }
    }

    private static String unused(String arguments, String mapped) {
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
