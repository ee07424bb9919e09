package tinroad.lab.capacity;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import tinroad.operator.OperatorException;
import tinroad.operator.ValidationError;

/**
 * Checks that every figure on a capacity page has a source and that the page matches its results:
 * on this repository's own page, and on made-up pages that must be rejected.
 */
class CapacityPageTest {
    private static final Path REPOSITORY_PAGE = Path.of("docs/CAPACITY.md");

    /** Made-up results, like all others in this test. */
    private static final List<String> POINTS =
            List.of(
                    "{'run':'g-1','sweep':'gateways','x':25,'role':'hollow','metric':'cpu_part','unit':'part"
                        + " of a core','value':0.01,'n':3}",
                    "{'run':'g-2','sweep':'gateways','x':1300,'role':'hollow','metric':'descriptors','unit':'','value':20,'n':3}",
                    "{'run':'g-3','sweep':'gateways','x':1300,'role':'hollow','metric':'descriptors','unit':'','value':24,'n':3,'note':'full'}",
                    "{'run':'g-2','sweep':'gateways','x':1300,'role':'real','metric':'cpu_part','unit':'part"
                        + " of a core','value':null,'note':'no room'}");

    private static final List<String> FITS =
            List.of(
                    "{'id':'gateways/hollow/cpu_part','sweep':'gateways','unit':'part of a"
                        + " core','form':'linear','a':0.01,'b':0.00001,'low':0.000009,"
                        + "'high':0.000011,'exponent':null,'largest':800,'foretold':0.018,'measured':0.0174,'error':0.0345,'runs':['g-1','g-2']}",
                    "{'id':'gateways/hollow/bytes','form':'log','a':1,'b':2,'largest':800,'foretold':1,'measured':2,'error':0.5,'runs':['g-1']}",
                    "{'id':'gateways/hollow/falling','form':'log','a':1,'b':-0.2,'largest':100,'foretold':0.08,'measured':0.08,'error':0.01,'runs':['g-1']}",
                    "{'id':'gateways/hollow/untried','form':'flat','a':1,'runs':['g-1']}");
    private static final String SETTINGS =
            "points = [p.jsonl], fits = [f.jsonl], hollow-real = [h.jsonl], sweeps { gateways ="
                + " gateways }\n"
                + "target = [ { name = gateways, size = 1300, text = gateways }, { name = cores,"
                + " size = 2.4, text = \"percent of a core\" }\n"
                + "  { name = guess, size = 2, text = guess, assumed = \"nobody said\" }, { name ="
                + " twice, size = \"2 * guess\", text = twice }\n"
                + "  { name = peers, size = \"gateways - 1\", text = \"other gateways\" } ]\n";
    private static final String CPU_ROW =
            "{ id = cpu, table = gateway, what = \"processor time\", unit = \"%\", figure = \"100 *"
                    + " m\", kind = extrapolated, terms { m { fit = gateways/hollow/cpu_part, at ="
                    + " gateways } }, budget = cores, mechanism = SWIM }";
    private static final String DESCRIPTORS_ROW =
            "{ id = files, table = gateway, what = descriptors, unit = \"\", figure = m, kind ="
                + " measured, terms { m { point = gateways/hollow/descriptors, at = gateways } } }";
    private static final String MISSING_ROW =
            "{ id = real, table = gateway, what = \"of a real one\", unit = \"%\", figure = m, kind"
                + " = measured, budget = 1, wants = nets, missing = \"no room\", terms { m { point"
                + " = gateways/real/cpu_part, at = gateways } } }";
    private static final String PAGE =
            Stream.of(
                            "target",
                            "gateway",
                            "order",
                            "ratios",
                            "missing",
                            "rejected",
                            "slopes",
                            "hollow-real")
                    .map(name -> "<!-- table " + name + " -->\n<!-- end -->\n")
                    .reduce(
                            "# Page\n\nTo all <!-- figure peers -->others<!-- end -->.\n",
                            String::concat);

    @TempDir private Path dir;
    private Path page;

    @BeforeEach
    void writeFiles() throws IOException {
        page = dir.resolve("PAGE.md");
        writeResults(POINTS, FITS);
        writeRows(CPU_ROW, DESCRIPTORS_ROW, MISSING_ROW);
        Files.writeString(page, PAGE);
    }

    private void writeResults(List<String> points, List<String> fits) throws IOException {
        Files.write(
                dir.resolve("p.jsonl"), points.stream().map(l -> l.replace('\'', '"')).toList());
        Files.write(dir.resolve("f.jsonl"), fits.stream().map(l -> l.replace('\'', '"')).toList());
    }

    private void writeRows(String... rows) throws IOException {
        Files.writeString(
                dir.resolve("capacity.conf"),
                SETTINGS + "rows = [\n" + String.join("\n", rows) + "\n]\n");
    }

    private void assertWriteFails(String text) {
        List<ValidationError> errors =
                assertThrows(OperatorException.class, () -> CapacityPage.write(page)).errors();
        assertTrue(errors.stream().anyMatch(f -> f.toString().contains(text)), errors::toString);
    }

    private void assertCheckReports(String text) throws Exception {
        List<ValidationError> errors = CapacityPage.check(page);
        assertTrue(errors.stream().anyMatch(f -> f.toString().contains(text)), errors::toString);
    }

    private void replaceInPage(String from, String to) throws IOException {
        String all = Files.readString(page);
        assertTrue(all.contains(from), all);
        Files.writeString(page, all.replace(from, to));
    }

    @Test
    void thisRepositorysPageMatchesItsResults() throws Exception {
        assertEquals(List.of(), CapacityPage.check(REPOSITORY_PAGE));
    }

    @Test
    void theRoadmapNamesEveryMissingMechanismWithItsRatio() throws Exception {
        String roadmap = Files.readString(REPOSITORY_PAGE.resolveSibling("ROADMAP.md"));
        List<String> order =
                new Tables(Figures.read(REPOSITORY_PAGE.resolveSibling("capacity.conf")))
                        .render("order");
        for (String line : order.subList(2, order.size())) {
            String[] cells = line.split(" \\| |\\| ");
            assertTrue(roadmap.contains("- " + cells[1] + " (ratio " + cells[2]), line);
        }
    }

    /**
     * Removes each fit and each run that the page uses from the results in turn; each removal must
     * be reported.
     */
    @Test
    void thisRepositorysPageFailsWithoutAnyOneOfItsRuns() throws Exception {
        Figures figures = Figures.read(REPOSITORY_PAGE.resolveSibling("capacity.conf"));
        Files.writeString(
                dir.resolve("capacity.conf"),
                Files.readString(REPOSITORY_PAGE.resolveSibling("capacity.conf"))
                        .replace(
                                "\"../src/main/java\"",
                                "\"" + Path.of("src/main/java").toAbsolutePath() + "\""));
        Files.copy(REPOSITORY_PAGE, page, StandardCopyOption.REPLACE_EXISTING);
        Path results = Files.createDirectories(dir.resolve("results"));
        try (Stream<Path> files = Files.list(REPOSITORY_PAGE.resolveSibling("results"))) {
            for (Path file :
                    files.filter(f -> f.getFileName().toString().startsWith("scale")).toList()) {
                Files.copy(file, results.resolve(file.getFileName()));
            }
        }
        assertEquals(List.of(), CapacityPage.check(page));
        Path fits = results.resolve("scale-fits.jsonl");
        for (Results.Fit fit : figures.fits()) {
            List<String> all = Files.readAllLines(fits);
            Files.write(
                    fits,
                    all.stream().filter(line -> !line.contains("\"" + fit.id() + "\"")).toList());
            assertWriteFails("no fit " + fit.id() + " in the results");
            Files.write(fits, all);
        }
        Path points = results.resolve("scale.jsonl");
        List<String> all = Files.exists(points) ? Files.readAllLines(points) : List.of();
        Set<String> runs =
                all.stream()
                        .map(line -> line.replaceAll(".*\"run\":\"([^\"]+)\".*", "$1"))
                        .filter(Files.readString(page)::contains)
                        .collect(Collectors.toSet());
        for (String run : runs) {
            Files.write(
                    points,
                    all.stream().filter(line -> !line.contains("\"" + run + "\"")).toList());
            assertTrue(hasErrors(), run);
            Files.write(points, all);
        }
    }

    private boolean hasErrors() throws IOException {
        try {
            return !CapacityPage.check(page).isEmpty();
        } catch (OperatorException e) {
            return true;
        }
    }

    @Test
    void writtenTablesShowTheResultsAndPassTheCheck() throws Exception {
        CapacityPage.write(page);
        String all = Files.readString(page);
        assertTrue(
                all.contains(
                        "| processor time | 2.3 % | *extrapolated* (3.45%) | 2.4 % | 0.958 | SWIM |"
                            + " `100 * m`; m: fit `gateways/hollow/cpu_part` at 1,300, run up to"
                            + " 800 |"),
                all);
        assertTrue(
                all.contains(
                        "| descriptors | 22 | *measured*, noted | - | - | - | m: point"
                                + " `gateways/hollow/descriptors` at 1,300, run g-2, g-3 (full) |"),
                all);
        assertTrue(all.contains("| of a real one | not measured | missing | 1 % | - |"), all);
        assertTrue(all.contains("| gateway | of a real one | 1 % | no room |"), all);
        assertTrue(
                all.contains(
                        "| `gateways/hollow/cpu_part` | linear | 0.00001 (0.000009 to 0.000011) |"
                                + " 800 |"),
                all);
        assertTrue(all.contains("To all <!-- figure peers -->1,299<!-- end -->."), all);
        assertEquals(List.of(), CapacityPage.check(page));
        CapacityPage.write(page);
        assertEquals(all, Files.readString(page));
    }

    @Test
    void aTableOlderThanTheResultsFails() throws Exception {
        CapacityPage.write(page);
        writeResults(
                POINTS,
                List.of(
                        FITS.get(0).replace("'a':0.01", "'a':0.02"),
                        FITS.get(1),
                        FITS.get(2),
                        FITS.get(3)));
        assertCheckReports(
                "PAGE.md:16: out of step with the results: found | processor time | 2.3 %");
    }

    @Test
    void aHandEditedFigureFails() throws Exception {
        CapacityPage.write(page);
        replaceInPage("| 2.3 % |", "| 2.2 % |");
        assertCheckReports("would be | processor time | 2.3 %");
        CapacityPage.write(page);
        replaceInPage("1,299<!-- end -->", "1,300<!-- end -->");
        assertCheckReports("would be To all <!-- figure peers -->1,299");
    }

    @Test
    void aNumberOutsideOfTheGeneratorsOutputFails() throws Exception {
        for (String line : List.of("| cpu | 2.3 % |", "It takes 5 ms.", "- 1,300 of them")) {
            Files.writeString(page, PAGE + line + "\n");
            assertWriteFails("a number outside of the generator's output: ");
        }
        Files.writeString(page, PAGE + "See `x = 5`, [there](a.md#12), p99.\n\n    tinroad 7\n");
        CapacityPage.write(page);
    }

    @Test
    void unknownOrUnpairedMarkersFail() throws Exception {
        for (Map.Entry<String, String> wrong :
                Map.of(
                                "<!-- table other -->\n<!-- end -->\n",
                                "no table other; there are",
                                "<!-- table order -->\n<!-- end -->\n",
                                "appears twice",
                                "<!-- figure none -->x<!-- end -->\n",
                                "no figure none",
                                "<!-- end -->\n",
                                "a marker without its counterpart")
                        .entrySet()) {
            Files.writeString(page, PAGE + wrong.getKey());
            assertWriteFails(wrong.getValue());
        }
        Files.writeString(page, PAGE.replace("table order -->\n<!-- end -->", "table order -->\n"));
        assertWriteFails("the table order has no");
        Files.writeString(page, "nothing\n");
        assertWriteFails("has no table gateway");
    }

    /**
     * Rows that name missing inputs, or claim more certainty than their inputs have, are reported
     * with file, line and reason.
     */
    @Test
    void rowsWithInvalidInputsFail() throws Exception {
        Map<String, String> wrong =
                Map.ofEntries(
                        Map.entry(
                                CPU_ROW.replace("hollow/cpu_part", "hollow/cpu"),
                                "no fit gateways/hollow/cpu in the results; there are"
                                        + " gateways/hollow/bytes"),
                        Map.entry(
                                CPU_ROW.replace("hollow/cpu_part", "hollow/untried"),
                                "was not tested at a larger size"),
                        Map.entry(
                                CPU_ROW.replace("hollow/cpu_part", "hollow/falling"),
                                "has a negative value at 1,300: it is not valid there"),
                        Map.entry(
                                CPU_ROW.replace("kind = extrapolated", "kind = measured"),
                                "kind: must be extrapolated because of its inputs; found measured"),
                        Map.entry(
                                CPU_ROW.replace("kind = extrapolated", "kind = guessed"),
                                "kind: must be one of measured, extrapolated"),
                        Map.entry(
                                CPU_ROW.replace("100 * m", "100 * m * x"),
                                "names x, which is neither a size of the target"),
                        Map.entry(CPU_ROW.replace("100 * m", "100"), "does not use its term m"),
                        Map.entry(
                                CPU_ROW.replace("100 * m", "100 * (m"), "expected ')' at the end"),
                        Map.entry(CPU_ROW.replace("100 * m", "m / 0"), "has no finite value"),
                        Map.entry(CPU_ROW.replace(", at = gateways", ""), "at is missing"),
                        Map.entry(
                                DESCRIPTORS_ROW.replace("at = gateways", "at = 25"),
                                "no point gateways/hollow/descriptors at 25"),
                        Map.entry(
                                DESCRIPTORS_ROW
                                        .replace("hollow/descriptors", "hollow/cpu_part")
                                        .replace("at = gateways", "at = 25"),
                                "which is not gateways, the target's size of this sweep"),
                        Map.entry(
                                DESCRIPTORS_ROW.replace("at = gateways", "at = 1300"),
                                "which is not gateways, the target's size of this sweep"),
                        Map.entry(
                                DESCRIPTORS_ROW.replace("hollow/descriptors", "real/cpu_part"),
                                "the machine could not handle this size, no room"),
                        Map.entry(
                                DESCRIPTORS_ROW.replace(
                                        "point = gateways/hollow/descriptors, at = gateways",
                                        "assumed = 3"),
                                "source is missing"),
                        Map.entry(
                                DESCRIPTORS_ROW.replace(
                                        "point = gateways/hollow/descriptors, at = gateways",
                                        "row = none"),
                                "no row none above this one"),
                        Map.entry(
                                DESCRIPTORS_ROW.replace(
                                        "point = gateways/hollow/descriptors, at = gateways",
                                        "tuning = none"),
                                "no none in MembershipConfig"),
                        Map.entry(
                                DESCRIPTORS_ROW.replace(
                                        "point = gateways/hollow/descriptors, at = gateways",
                                        "at = 5"),
                                "must have one of assumed, "),
                        Map.entry(
                                DESCRIPTORS_ROW.replace(" } }", " } }, missing = \"not yet\""),
                                "is declared missing, but everything that it names exists"),
                        Map.entry(
                                CPU_ROW.replace(", mechanism = SWIM", ""),
                                "budget: must have either a mechanism that keeps it, or wants,"
                                        + " naming the missing one"),
                        Map.entry(
                                CPU_ROW.replace("100 * m", "twice * m"),
                                "kind: must be assumed because of its inputs; found extrapolated"),
                        Map.entry(CPU_ROW.replace("id = cpu", "id = gateways"), "must differ"));
        for (Map.Entry<String, String> w : wrong.entrySet()) {
            writeRows(w.getKey(), MISSING_ROW);
            assertWriteFails(w.getValue());
            assertWriteFails("capacity.conf:6: ");
        }
    }

    @Test
    void inconsistentResultsFail() throws Exception {
        writeResults(POINTS.subList(0, 1), FITS.subList(0, 1));
        assertWriteFails(
                "f.jsonl:1: fit gateways/hollow/cpu_part names the run g-2, which has no points");
        writeResults(POINTS, List.of(FITS.get(0), FITS.get(0)));
        assertWriteFails("f.jsonl:2: fit gateways/hollow/cpu_part appears twice");
        writeResults(List.of(POINTS.get(0), "{'run'"), FITS);
        assertWriteFails("p.jsonl:2: not JSON");
        writeResults(POINTS, FITS);
        Files.writeString(
                dir.resolve("h.jsonl"),
                "{\"run\":\"g-9\",\"metric\":\"cpu_part\",\"hollow\":1,\"real\":1,\"off\":0}");
        assertWriteFails("h.jsonl:1: names the run g-9, which has no points");
        Files.delete(dir.resolve("p.jsonl"));
        assertWriteFails("which has no points");
    }

    @Test
    void rowsThatUseAMissingMeasurementHaveNoFigure() throws Exception {
        writeRows(
                MISSING_ROW,
                "{ id = both, table = gateway, what = both, unit = \"%\", figure = \"2 * r\", kind"
                        + " = measured, terms { r { row = real } } }");
        CapacityPage.write(page);
        assertTrue(
                Files.readString(page)
                        .contains(
                                "| both | not measured | missing | - | - | - | wants the row real:"
                                        + " `2 * r`; r: row `real` |"),
                Files.readString(page));
    }

    /**
     * A rejected run is listed with its reason and not used. As soon as another run gives the row a
     * figure, its declaration as missing is an error.
     */
    @Test
    void aRejectedRunGivesNoFigure() throws Exception {
        String missing = DESCRIPTORS_ROW.replace(" } }", " } }, missing = \"nobody was served\"");
        String conf =
                SETTINGS
                        + "rejected = [ { run = g-2, why = trial }, { run = g-3, why = failed } ]\n"
                        + "rows = [\n"
                        + missing
                        + "\n]\n";
        Files.writeString(dir.resolve("capacity.conf"), conf);
        CapacityPage.write(page);
        String all = Files.readString(page);
        assertTrue(
                all.contains(
                                "| descriptors | not measured | missing | - | - | - | nobody was"
                                        + " served: ")
                        && all.contains("| g-2 | trial |"),
                all);
        Files.writeString(
                dir.resolve("capacity.conf"), conf.replace("{ run = g-2, why = trial }, ", ""));
        assertWriteFails("is declared missing, but everything that it names exists");
        Files.writeString(
                dir.resolve("capacity.conf"), conf.replace("why = trial", "where = here"));
        assertWriteFails("rejected.0.why: must have why");
        Files.writeString(
                dir.resolve("capacity.conf"),
                conf.replace("rows = [\n" + missing, "rows = [\n" + CPU_ROW));
        assertWriteFails("no fit gateways/hollow/cpu_part in the results");
    }

    @Test
    void missingMechanismsAreOrderedByTheirHighestRatio() throws Exception {
        String row =
                "{ id = a, table = gateway, what = a, unit = x, figure = gateways, kind = computed,"
                        + " budget = 100, wants = nets }";
        writeRows(
                row,
                row.replace("id = a, ", "id = b, ")
                        .replace("what = a,", "what = b,")
                        .replace("= 100, wants = nets", "= 10, wants = subsets"),
                row.replace("id = a, ", "id = c, ")
                        .replace("what = a,", "what = c,")
                        .replace("budget = 100", "budget = twice"));
        CapacityPage.write(page);
        String all = Files.readString(page);
        int first = all.indexOf("| nets | 325 | c: 1,300 x | *computed* | 13 (a) |");
        assertTrue(
                first > 0 && first < all.indexOf("| subsets | 130 | b: 1,300 x | *computed* | - |"),
                all);
        assertTrue(
                all.contains(
                        "| c | 1,300 x | *computed* | 4 x (*assumed*) | 325 | **none yet**: nets |"
                                + " `gateways` |"),
                all);
        assertTrue(all.contains("| twice | 4 | *assumed*: nobody said; `2 * guess` |"), all);
    }

    @Test
    void deviationsOfHollowGatewaysAreShownByMetric() throws Exception {
        Files.writeString(
                dir.resolve("h.jsonl"),
                String.join(
                                "\n",
                                "{'run':'g-1','sweep':'gateways','x':25,'metric':'cpu_part','hollow':0.9,'real':1,'off':-0.1}",
                                "{'run':'g-2','sweep':'gateways','x':50,'metric':'cpu_part','hollow':1.3,'real':1,'off':0.3}",
                                "{'run':'g-2','metric':'stall_ms','hollow':1,'real':null,'off':null}")
                        .replace('\'', '"'));
        CapacityPage.write(page);
        String all = Files.readString(page);
        assertTrue(
                all.contains(
                        "| gateways `cpu_part` | 2 | 20% | 30% (at 50) | 1.3 | 1 | g-1, g-2 |\n"
                                + "<!-- end -->"),
                all);
    }

    @Test
    void aFailedForecastIsMarked() throws Exception {
        writeRows(CPU_ROW.replace("hollow/cpu_part", "hollow/bytes"));
        CapacityPage.write(page);
        assertTrue(
                Files.readString(page).contains("*extrapolated* (50%: forecast failed)"),
                Files.readString(page));
        assertTrue(Files.readString(page).contains("50%, no slope"), Files.readString(page));
    }
}
