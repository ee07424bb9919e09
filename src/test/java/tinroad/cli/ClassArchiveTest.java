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
 * The platform's {@code run}, word for word, in a folder with the archive of classes as {@code
 * build} leaves it, and with worse ones.
 */
@Timeout(value = 180, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class ClassArchiveTest {
    private static final String NOT_THERE =
            "started without the archive of classes: target/tinroad.jsa is not there;";
    private static final String REFUSED =
            "started without the archive of classes: target/tinroad.jsa is not of this jar";
    private static final Path JAVA = Path.of(System.getProperty("java.home"), "bin");

    @TempDir Path dir;
    private Path jar;
    private Path archive;

    @BeforeEach
    void aFolderAsBuildLeavesItButForTheArchive() throws IOException {
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

    private Process start(Path javas, String... command) throws IOException {
        ProcessBuilder builder =
                new ProcessBuilder(command).directory(dir.toFile()).redirectErrorStream(true);
        builder.environment().put("PATH", javas + File.pathSeparator + System.getenv("PATH"));
        builder.environment().put("GW_CONFIG", "deploy/example.json");
        builder.environment().put("TMPDIR", dir.toString());
        return builder.start();
    }

    private int shareClasses(Path javas) throws IOException, InterruptedException {
        Process script = start(javas, "sh", "deploy/share-classes.sh");
        script.getInputStream().transferTo(OutputStream.nullOutputStream());
        return script.waitFor();
    }

    /** What {@code run} says of the archive until it listens. */
    private List<String> saidOfTheArchive() throws IOException, InterruptedException {
        String line =
                Files.readAllLines(Path.of("deploy/balancer.toml")).stream()
                        .filter(set -> set.startsWith("run = "))
                        .findFirst()
                        .orElseThrow();
        Process gateway =
                start(JAVA, "sh", "-c", line.substring("run = \"".length(), line.length() - 1));
        try (BufferedReader log = gateway.inputReader(StandardCharsets.UTF_8)) {
            List<String> said =
                    log.lines().takeWhile(text -> !text.contains("listening on")).toList();
            assertTrue(gateway.isAlive(), "it serves: " + said);
            return said.stream().filter(text -> text.contains("server - ")).toList();
        } finally {
            gateway.destroyForcibly().waitFor();
        }
    }

    private static void saysOneLine(String expected, List<String> said) {
        assertEquals(1, said.size(), said.toString());
        assertTrue(said.get(0).contains(expected), said.toString());
    }

    @Test
    void startsFromTheArchiveAndSaysInOneLineWhenItCannot() throws Exception {
        saysOneLine(NOT_THERE, saidOfTheArchive());
        assertEquals(0, shareClasses(JAVA));
        assertEquals(List.of(), saidOfTheArchive());
        // What a copy of the folder without times does.
        Files.setLastModifiedTime(
                jar, FileTime.fromMillis(Files.getLastModifiedTime(jar).toMillis() + 60_000));
        saysOneLine(REFUSED, saidOfTheArchive());
        Files.delete(archive);
        Files.createFile(archive);
        saysOneLine(REFUSED, saidOfTheArchive());
    }

    /**
     * A start ends on such an archive, as the virtual machine maps it without reading it through.
     */
    @Test
    void anArchiveDamagedWhileItIsWrittenIsNotLeft() throws Exception {
        Path javas = Files.createDirectory(dir.resolve("javas"));
        Files.writeString(
                javas.resolve("java"),
                "#!/bin/sh\n"
                        + JAVA.resolve("java")
                        + " \"$@\" || exit\n"
                        + "for a in \"$@\"; do case $a in -XX:ArchiveClassesAtExit=*) f=${a#*=};"
                        + " chmod u+w \"$f\"\n"
                        + "dd if=/dev/zero of=\"$f\" bs=4096 seek=100 count=100 conv=notrunc;;"
                        + " esac; done\n");
        Files.setPosixFilePermissions(
                javas.resolve("java"), PosixFilePermissions.fromString("rwx------"));
        assertNotEquals(0, shareClasses(javas));
        assertFalse(Files.exists(archive));
        saysOneLine(NOT_THERE, saidOfTheArchive());
    }
}
