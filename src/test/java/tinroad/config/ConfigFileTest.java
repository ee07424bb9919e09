package tinroad.config;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.attribute.FileTime;
import java.time.Instant;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests when a configuration file is known to be unchanged and need not be read again. */
class ConfigFileTest {
    private static final FileTime LONG_AGO = FileTime.from(Instant.parse("2020-01-01T00:00:00Z"));

    @TempDir private Path dir;

    private Path write(String name, String text) throws Exception {
        return Files.setLastModifiedTime(Files.writeString(dir.resolve(name), text), LONG_AGO);
    }

    @Test
    void onlyAFileThatWasWrittenLongBeforeItWasReadIsKnownToBeTheSame() throws Exception {
        String text = Files.readString(Path.of("deploy/example.json"));
        Path path = write("config.json", text);
        ConfigFile file = new ConfigFile(path);
        assertTrue(file.changed());
        file.read(null);
        assertFalse(file.changed());
        Files.writeString(path, text + " ");
        assertTrue(file.changed());
        // Written a moment ago: it may be written again with the same modification time.
        file.read(null);
        assertTrue(file.changed());
    }

    @Test
    void aReplacementOfTheSameSizeAndTimeIsDetected() throws Exception {
        String text = Files.readString(Path.of("deploy/example.json"));
        Path path = write("config.json", text);
        ConfigFile file = new ConfigFile(path);
        file.read(null);
        Files.move(
                write("next.json", text.replace(":4400", ":4401")),
                path,
                StandardCopyOption.REPLACE_EXISTING);
        assertTrue(file.changed());
        file.read(null);
        assertFalse(file.changed());
        Files.delete(path);
        assertTrue(file.changed());
        assertThrows(ConfigException.class, () -> file.read(null));
        assertTrue(file.changed());
    }
}
