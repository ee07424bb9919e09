package tinroad.operator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests reading of operator files, and the errors reported for files that can't be used. */
class OperatorConfigTest {
    private static final LogSettings DEFAULT_LOG =
            new LogSettings(false, "info", Map.of(), 1024, 500);

    private static final StateSettings DEFAULT_STATE =
            new StateSettings(null, null, 5000, 3, 3_600_000, 600_000);
    @TempDir private Path dir;

    private Path file(String text) throws IOException {
        return Files.writeString(dir.resolve("operator.conf"), text);
    }

    @Test
    void whatIsLeftOutHasItsDefault() throws Exception {
        assertEquals(
                new OperatorConfig(DEFAULT_LOG, DEFAULT_STATE, FleetSettings.NONE),
                OperatorConfig.read(file("log {}")));
        assertEquals(
                new OperatorConfig(DEFAULT_LOG, DEFAULT_STATE, FleetSettings.NONE),
                OperatorConfig.read(Path.of("deploy/operator.conf")));
    }

    @Test
    void settingsAreReadWithTheirUnits() throws Exception {
        assertEquals(
                new OperatorConfig(
                        new LogSettings(
                                true,
                                "warn",
                                Map.of("engine", "debug", "io.netty", "off"),
                                64,
                                1500),
                        DEFAULT_STATE,
                        FleetSettings.NONE),
                OperatorConfig.read(
                        file(
                                "\ufefflog { format = json, level = warn, queue = 64, flush = 1.5"
                                        + " seconds\r\n"
                                        + "levels { engine = debug, \"io.netty\" = off } }")));
    }

    @Test
    void foldersAreBesideTheFileUnlessTheyAreAbsolute() throws Exception {
        OperatorConfig o =
                OperatorConfig.read(
                        file("state { folder = kept, fence = /var/fence, oldest = 2h }"));
        assertEquals(
                new StateSettings(
                        dir.resolve("kept"), Path.of("/var/fence"), 5000, 3, 7_200_000, 600_000),
                o.state());
    }

    @Test
    void catalogSettingsAreReadAndMatchTheDefaultsWithoutAFile() throws Exception {
        assertEquals(CatalogSettings.DEFAULT, OperatorConfig.read(file("log {}")).catalog());
        assertEquals(
                new CatalogSettings(true, dir.resolve("changes"), 50),
                OperatorConfig.read(
                                file("catalog { apply = on-reload, log = changes, poll = 50ms }"))
                        .catalog());
    }

    @Test
    void keysAreReadFromTheKeyFileAndItsErrorsReportedByLine() throws Exception {
        Files.writeString(
                dir.resolve("keys"), "# new\nYW5vdGhlciBzaXh0ZWVuLg==\nc2l4dGVlbiBieXRlcy4uLg==\n");
        String text =
                "fleet { listen = \"127.0.0.1:7001\", seeds = [\"127.0.0.2:7001\"], zone = west,"
                        + " key-file = keys }";
        FleetSettings fleet = OperatorConfig.read(file(text)).fleet();
        assertEquals(
                "another sixteen.",
                new String(fleet.keys().get(0), java.nio.charset.StandardCharsets.US_ASCII));
        assertEquals(2, fleet.keys().size());
        Files.writeString(dir.resolve("keys"), "\nshort\n");
        Path path = file(text);
        assertEquals(
                List.of(
                        new ValidationError(
                                dir.resolve("keys").toString(),
                                2,
                                "",
                                "must be Base64 of 16 bytes or more")),
                assertThrows(OperatorException.class, () -> OperatorConfig.read(path)).errors());
        Path keyless = file("fleet {\n listen = \"127.0.0.1:7001\"\n}");
        assertEquals(
                "fleet.key-file",
                assertThrows(OperatorException.class, () -> OperatorConfig.read(keyless))
                        .errors()
                        .get(0)
                        .key());
    }

    @Test
    void anIncludedFileIsReadAndMayBeOverridden() throws Exception {
        Files.writeString(dir.resolve("base.conf"), "log { level = error, queue = 99 }");
        assertEquals(
                new LogSettings(false, "warn", Map.of(), 99, 500),
                OperatorConfig.read(file("include \"base.conf\"\nlog { level = warn }")).log());
    }

    @Test
    void eachMistakeIsReportedWithFileAndLine() throws Exception {
        List<OperatorFileErrors.Mistake> all = OperatorFileErrors.all();
        assertTrue(all.size() >= 25);
        Path path = dir.resolve("operator.conf");
        for (OperatorFileErrors.Mistake mistake : all) {
            mistake.writeTo(path);
            ValidationError error =
                    assertThrows(
                                    OperatorException.class,
                                    () -> OperatorConfig.read(path),
                                    mistake.expectedText())
                            .errors()
                            .get(0);
            assertEquals(
                    path + ":" + mistake.line(),
                    error.file() + ":" + error.line(),
                    error::toString);
            assertTrue(error.toString().contains(mistake.expectedText()), error::toString);
        }
    }

    @Test
    void allMistakesOfAFileAreReportedAtOnceInItsOrder() throws Exception {
        Path path =
                file(
                        "log {\n"
                                + " level = loud\n"
                                + " formt = json\n"
                                + " queue = 5\n"
                                + "}\n"
                                + "extra = 1\n"
                                + "include \"absent.conf\"\n");
        OperatorException e =
                assertThrows(OperatorException.class, () -> OperatorConfig.read(path));
        assertEquals(
                List.of(2, 3, 4, 6, 7), e.errors().stream().map(ValidationError::line).toList());
        assertTrue(e.getMessage().endsWith("(and 4 more)"), e.getMessage());
        assertEquals(1, e.getMessage().lines().count());
    }

    @Test
    void aMistakeInAnIncludedFileIsReportedWithItsFileAndLine() throws Exception {
        Path base = Files.writeString(dir.resolve("base.conf"), "\n\nlog { level = loud }");
        ValidationError error =
                assertThrows(
                                OperatorException.class,
                                () -> OperatorConfig.read(file("include \"base.conf\"")))
                        .errors()
                        .get(0);
        assertEquals(base + ":3", error.file() + ":" + error.line());
    }

    @Test
    void anAbsentFileIsOneError() {
        Path path = dir.resolve("absent.conf");
        assertEquals(
                List.of(new ValidationError(path.toString(), 1, "", "can't be read: no such file")),
                assertThrows(OperatorException.class, () -> OperatorConfig.read(path)).errors());
    }
}
