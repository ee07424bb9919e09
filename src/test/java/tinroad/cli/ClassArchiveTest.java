package tinroad.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.File;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.Arrays;
import java.util.List;
import java.util.jar.Attributes;
import java.util.jar.JarEntry;
import java.util.jar.JarOutputStream;
import java.util.jar.Manifest;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import tinroad.Program;

/**
 * Starts the gateway with the exact {@code run} command of {@code deploy/balancer.toml}, in a
 * folder with the class archive that {@code build} makes, and with missing, outdated and damaged
 * archives.
 */
@Timeout(value = 180, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class ClassArchiveTest {
    private static final String NOT_THERE =
            "started without the archive of classes: target/tinroad.jsa is not there;";
    private static final String UNUSABLE =
            "started without the archive of classes: target/tinroad.jsa is not of this jar";
    private static final Path JAVA = Path.of(System.getProperty("java.home"), "bin");

    @TempDir Path dir;
    private Path jar;
    private Path archive;

    @BeforeEach
    void createFolderAsBuildDoesWithoutTheArchive() throws IOException {
        jar = Files.createDirectories(dir.resolve("target")).resolve("tinroad.jar");
        archive = dir.resolve("target/tinroad.jsa");
        Files.createDirectories(dir.resolve("deploy"));
        for (String file : List.of("balancer.toml", "example.json", "share-classes.sh")) {
            Files.copy(Path.of("deploy", file), dir.resolve("deploy").resolve(file));
        }
        Manifest manifest = new Manifest();
        manifest.getMainAttributes().put(Attributes.Name.MANIFEST_VERSION, "1.0");
        manifest.getMainAttributes().put(Attributes.Name.MAIN_CLASS, Main.class.getName());
        manifest.getMainAttributes()
                .put(
                        Attributes.Name.CLASS_PATH,
                        Arrays.stream(Program.CLASS_PATH.split(File.pathSeparator))
                                .filter(entry -> entry.endsWith(".jar"))
                                .map(entry -> Path.of(entry).toUri().toString())
                                .collect(Collectors.joining(" ")));
        Path classes = Path.of("target/classes");
        try (OutputStream out = Files.newOutputStream(jar);
                JarOutputStream entries = new JarOutputStream(out, manifest);
                Stream<Path> files = Files.walk(classes)) {
            for (Path file : files.filter(Files::isRegularFile).toList()) {
                entries.putNextEntry(new JarEntry(classes.relativize(file).toString()));
                Files.copy(file, entries);
            }
        }
    }

    private Process start(Path javaFolder, String... command) throws IOException {
        ProcessBuilder builder =
                new ProcessBuilder(command).directory(dir.toFile()).redirectErrorStream(true);
        builder.environment().put("PATH", javaFolder + File.pathSeparator + System.getenv("PATH"));
        builder.environment().put("GW_CONFIG", "deploy/example.json");
        builder.environment().put("TMPDIR", dir.toString());
        return builder.start();
    }

    private int shareClasses(Path javaFolder) throws IOException, InterruptedException {
        Process script = start(javaFolder, "sh", "deploy/share-classes.sh");
        script.getInputStream().transferTo(OutputStream.nullOutputStream());
        return script.waitFor();
    }

    /** Returns the lines of the logger {@code server} that {@code run} writes before it listens. */
    private List<String> serverLinesOfRun() throws IOException, InterruptedException {
        String line =
                Files.readAllLines(Path.of("deploy/balancer.toml")).stream()
                        .filter(set -> set.startsWith("run = "))
                        .findFirst()
                        .orElseThrow();
        Process gateway =
                start(JAVA, "sh", "-c", line.substring("run = \"".length(), line.length() - 1));
        try (BufferedReader log = gateway.inputReader(StandardCharsets.UTF_8)) {
            List<String> lines =
                    log.lines().takeWhile(text -> !text.contains("listening on")).toList();
            assertTrue(gateway.isAlive(), "it serves: " + lines);
            return lines.stream().filter(text -> text.contains("server - ")).toList();
        } finally {
            gateway.destroyForcibly().waitFor();
        }
    }

    private static void assertOneLine(String expected, List<String> lines) {
        assertEquals(1, lines.size(), lines.toString());
        assertTrue(lines.get(0).contains(expected), lines.toString());
    }

    @Test
    void startsFromTheArchiveAndLogsOneLineIfItCannot() throws Exception {
        assertOneLine(NOT_THERE, serverLinesOfRun());
        assertEquals(0, shareClasses(JAVA));
        assertEquals(List.of(), serverLinesOfRun());
        // A copy of the folder that does not preserve modification times has the same effect.
        Files.setLastModifiedTime(
                jar, FileTime.fromMillis(Files.getLastModifiedTime(jar).toMillis() + 60_000));
        assertOneLine(UNUSABLE, serverLinesOfRun());
        Files.delete(archive);
        Files.createFile(archive);
        assertOneLine(UNUSABLE, serverLinesOfRun());
    }

    /**
     * The virtual machine maps an archive without reading all of it, so a start with a damaged
     * archive ends the process.
     */
    @Test
    void anArchiveDamagedWhileItIsWrittenIsRemoved() throws Exception {
        Path javaFolder = Files.createDirectory(dir.resolve("javas"));
        Files.writeString(
                javaFolder.resolve("java"),
                "#!/bin/sh\n"
                        + JAVA.resolve("java")
                        + " \"$@\" || exit\n"
                        + "for a in \"$@\"; do case $a in -XX:ArchiveClassesAtExit=*) f=${a#*=};"
                        + " chmod u+w \"$f\"\n"
                        + "dd if=/dev/zero of=\"$f\" bs=4096 seek=100 count=100 conv=notrunc;;"
                        + " esac; done\n");
        Files.setPosixFilePermissions(
                javaFolder.resolve("java"), PosixFilePermissions.fromString("rwx------"));
        assertNotEquals(0, shareClasses(javaFolder));
        assertFalse(Files.exists(archive));
        assertOneLine(NOT_THERE, serverLinesOfRun());
    }
}
