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
 * No figure without a run behind it, and no page out of step with its results: this repository's
 * own, and made-up ones that must fail.
 */
class CapacityPageTest {
    private static final Path OWN = Path.of("docs/CAPACITY.md");

    /** Made up, as all results here. */
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
    private static final String TARGET =
            "points = [p.jsonl], fits = [f.jsonl], hollow-real = [h.jsonl], sweeps { gateways ="
                + " gateways }\n"
                + "target = [ { name = gateways, size = 1300, text = gateways }, { name = cores,"
                + " size = 2.4, text = \"percent of a core\" }\n"
                + "  { name = guess, size = 2, text = guess, assumed = \"nobody said\" }, { name ="
                + " twice, size = \"2 * guess\", text = twice }\n"
                + "  { name = peers, size = \"gateways - 1\", text = \"other gateways\" } ]\n";
    private static final String CPU =
            "{ id = cpu, table = gateway, what = \"processor time\", unit = \"%\", figure = \"100 *"
                    + " m\", kind = extrapolated, terms { m { fit = gateways/hollow/cpu_part, at ="
                    + " gateways } }, budget = cores, mechanism = SWIM }";
    private static final String FILES =
            "{ id = files, table = gateway, what = descriptors, unit = \"\", figure = m, kind ="
                + " measured, terms { m { point = gateways/hollow/descriptors, at = gateways } } }";
    private static final String MISSING =
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
    void lay() throws IOException {
        page = dir.resolve("PAGE.md");
        lay(POINTS, FITS);
        rows(CPU, FILES, MISSING);
        Files.writeString(page, PAGE);
    }

    private void lay(List<String> points, List<String> fits) throws IOException {
        Files.write(
                dir.resolve("p.jsonl"), points.stream().map(l -> l.replace('\'', '"')).toList());
        Files.write(dir.resolve("f.jsonl"), fits.stream().map(l -> l.replace('\'', '"')).toList());
    }

    private void rows(String... rows) throws IOException {
        Files.writeString(
                dir.resolve("capacity.conf"),
                TARGET + "rows = [\n" + String.join("\n", rows) + "\n]\n");
    }

    private void fails(String text) {
        List<ValidationError> faults =
                assertThrows(OperatorException.class, () -> CapacityPage.write(page)).errors();
        assertTrue(faults.stream().anyMatch(f -> f.toString().contains(text)), faults::toString);
    }

    private void outOfStep(String text) throws Exception {
        List<ValidationError> faults = CapacityPage.check(page);
        assertTrue(faults.stream().anyMatch(f -> f.toString().contains(text)), faults::toString);
    }

    private void changed(String from, String to) throws IOException {
        String all = Files.readString(page);
        assertTrue(all.contains(from), all);
        Files.writeString(page, all.replace(from, to));
    }

    @Test
    void thisRepositorysPageIsWhatItsResultsSay() throws Exception {
        assertEquals(List.of(), CapacityPage.check(OWN));
    }

    @Test
    void theRoadmapNamesWhatIsMissingWithItsRatio() throws Exception {
        String roadmap = Files.readString(OWN.resolveSibling("ROADMAP.md"));
        List<String> order =
                new Tables(Figures.read(OWN.resolveSibling("capacity.conf"))).table("order");
        for (String line : order.subList(2, order.size())) {
            String[] cells = line.split(" \\| |\\| ");
            assertTrue(roadmap.contains("- " + cells[1] + " (ratio " + cells[2]), line);
        }
    }

    /**
     * Each fit and each run that the page rests on, taken out of the results by itself, must fail
     * it.
     */
    @Test
    void thisRepositorysPageFailsWithoutAnyOneOfItsRuns() throws Exception {
        Figures own = Figures.read(OWN.resolveSibling("capacity.conf"));
        Files.writeString(
                dir.resolve("capacity.conf"),
                Files.readString(OWN.resolveSibling("capacity.conf"))
                        .replace(
                                "\"../src/main/java\"",
                                "\"" + Path.of("src/main/java").toAbsolutePath() + "\""));
        Files.copy(OWN, page, StandardCopyOption.REPLACE_EXISTING);
        Path results = Files.createDirectories(dir.resolve("results"));
        try (Stream<Path> files = Files.list(OWN.resolveSibling("results"))) {
            for (Path file :
                    files.filter(f -> f.getFileName().toString().startsWith("scale")).toList()) {
                Files.copy(file, results.resolve(file.getFileName()));
            }
        }
        assertEquals(List.of(), CapacityPage.check(page));
        Path fits = results.resolve("scale-fits.jsonl");
        for (Results.Fit fit : own.fits()) {
            List<String> all = Files.readAllLines(fits);
            Files.write(
                    fits,
                    all.stream().filter(line -> !line.contains("\"" + fit.id() + "\"")).toList());
            fails("no fit " + fit.id() + " in the results");
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
            assertTrue(isBroken(), run);
            Files.write(points, all);
        }
    }

    private boolean isBroken() throws IOException {
        try {
            return !CapacityPage.check(page).isEmpty();
        } catch (OperatorException e) {
            return true;
        }
    }

    @Test
    void tablesAreWrittenFromTheResultsAndThenInStep() throws Exception {
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
    void aStaleTableFails() throws Exception {
        CapacityPage.write(page);
        lay(
                POINTS,
                List.of(
                        FITS.get(0).replace("'a':0.01", "'a':0.02"),
                        FITS.get(1),
                        FITS.get(2),
                        FITS.get(3)));
        outOfStep("PAGE.md:16: out of step with the results: found | processor time | 2.3 %");
    }

    @Test
    void aHandEditedFigureFails() throws Exception {
        CapacityPage.write(page);
        changed("| 2.3 % |", "| 2.2 % |");
        outOfStep("would be | processor time | 2.3 %");
        CapacityPage.write(page);
        changed("1,299<!-- end -->", "1,300<!-- end -->");
        outOfStep("would be To all <!-- figure peers -->1,299");
    }

    @Test
    void aNumberOutsideOfTheGeneratorsOutputFails() throws Exception {
        for (String line : List.of("| cpu | 2.3 % |", "It takes 5 ms.", "- 1,300 of them")) {
            Files.writeString(page, PAGE + line + "\n");
            fails("a number outside of the generator's output: ");
        }
        Files.writeString(page, PAGE + "See `x = 5`, [there](a.md#12), p99.\n\n    tinroad 7\n");
        CapacityPage.write(page);
    }

    @Test
    void markersThatDoNotFitFail() throws Exception {
        for (Map.Entry<String, String> wrong :
                Map.of(
                                "<!-- table other -->\n<!-- end -->\n",
                                "no table other; there are",
                                "<!-- table order -->\n<!-- end -->\n",
                                "stands there twice",
                                "<!-- figure none -->x<!-- end -->\n",
                                "no figure none",
                                "<!-- end -->\n",
                                "begins or ends nothing")
                        .entrySet()) {
            Files.writeString(page, PAGE + wrong.getKey());
            fails(wrong.getValue());
        }
        Files.writeString(page, PAGE.replace("table order -->\n<!-- end -->", "table order -->\n"));
        fails("the table order has no");
        Files.writeString(page, "nothing\n");
        fails("has no table gateway");
    }

    /**
     * Rows that name what isn't there, or claim to be surer than that: the file, the line and why.
     */
    @Test
    void rowsWithNothingBehindThemFail() throws Exception {
        Map<String, String> wrong =
                Map.ofEntries(
                        Map.entry(
                                CPU.replace("hollow/cpu_part", "hollow/cpu"),
                                "no fit gateways/hollow/cpu in the results; there are"
                                        + " gateways/hollow/bytes"),
                        Map.entry(
                                CPU.replace("hollow/cpu_part", "hollow/untried"),
                                "foretold no size that was run"),
                        Map.entry(
                                CPU.replace("hollow/cpu_part", "hollow/falling"),
                                "comes to less than nothing at 1,300: it is no slope there"),
                        Map.entry(
                                CPU.replace("kind = extrapolated", "kind = measured"),
                                "kind: must be extrapolated, by what it names; found measured"),
                        Map.entry(
                                CPU.replace("kind = extrapolated", "kind = guessed"),
                                "kind: must be one of measured, extrapolated"),
                        Map.entry(
                                CPU.replace("100 * m", "100 * m * x"),
                                "names x, which is no size of the target"),
                        Map.entry(CPU.replace("100 * m", "100"), "does not use its term m"),
                        Map.entry(CPU.replace("100 * m", "100 * (m"), "expected ')' at the end"),
                        Map.entry(CPU.replace("100 * m", "m / 0"), "comes to no number"),
                        Map.entry(CPU.replace(", at = gateways", ""), "at is missing"),
                        Map.entry(
                                FILES.replace("at = gateways", "at = 25"),
                                "no point gateways/hollow/descriptors at 25"),
                        Map.entry(
                                FILES.replace("hollow/descriptors", "hollow/cpu_part")
                                        .replace("at = gateways", "at = 25"),
                                "which is not gateways, the target's size of this sweep"),
                        Map.entry(
                                FILES.replace("at = gateways", "at = 1300"),
                                "which is not gateways, the target's size of this sweep"),
                        Map.entry(
                                FILES.replace("hollow/descriptors", "real/cpu_part"),
                                "refused there, no room"),
                        Map.entry(
                                FILES.replace(
                                        "point = gateways/hollow/descriptors, at = gateways",
                                        "assumed = 3"),
                                "source is missing"),
                        Map.entry(
                                FILES.replace(
                                        "point = gateways/hollow/descriptors, at = gateways",
                                        "row = none"),
                                "no row none above this one"),
                        Map.entry(
                                FILES.replace(
                                        "point = gateways/hollow/descriptors, at = gateways",
                                        "tuning = none"),
                                "no none in MembershipConfig"),
                        Map.entry(
                                FILES.replace(
                                        "point = gateways/hollow/descriptors, at = gateways",
                                        "at = 5"),
                                "must have one of assumed, "),
                        Map.entry(
                                FILES.replace(" } }", " } }, missing = \"not yet\""),
                                "stands as missing, but all that it names is there"),
                        Map.entry(
                                CPU.replace(", mechanism = SWIM", ""),
                                "budget: must have either a mechanism that carries it, or the one"
                                        + " that it wants"),
                        Map.entry(
                                CPU.replace("100 * m", "twice * m"),
                                "kind: must be assumed, by what it names; found extrapolated"),
                        Map.entry(CPU.replace("id = cpu", "id = gateways"), "must differ"));
        for (Map.Entry<String, String> w : wrong.entrySet()) {
            rows(w.getKey(), MISSING);
            fails(w.getValue());
            fails("capacity.conf:6: ");
        }
    }

    @Test
    void resultsThatDoNotHoldTogetherFail() throws Exception {
        lay(POINTS.subList(0, 1), FITS.subList(0, 1));
        fails(
                "f.jsonl:1: fit gateways/hollow/cpu_part names the run g-2, of which there is no"
                        + " point");
        lay(POINTS, List.of(FITS.get(0), FITS.get(0)));
        fails("f.jsonl:2: fit gateways/hollow/cpu_part stands there twice");
        lay(List.of(POINTS.get(0), "{'run'"), FITS);
        fails("p.jsonl:2: not JSON");
        lay(POINTS, FITS);
        Files.writeString(
                dir.resolve("h.jsonl"),
                "{\"run\":\"g-9\",\"metric\":\"cpu_part\",\"hollow\":1,\"real\":1,\"off\":0}");
        fails("h.jsonl:1: names the run g-9, of which there is no point");
        Files.delete(dir.resolve("p.jsonl"));
        fails("of which there is no point");
    }

    @Test
    void whatWasNotMeasuredIsNoFigureAndNeitherIsWhatRestsOnIt() throws Exception {
        rows(
                MISSING,
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
     * A run that does not count is named with why, and only that run: another one makes the row a
     * figure, which has to be told.
     */
    @Test
    void aRunThatDoesNotCountIsNoFigure() throws Exception {
        String missing = FILES.replace(" } }", " } }, missing = \"nobody was served\"");
        String conf =
                TARGET
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
        fails("stands as missing, but all that it names is there");
        Files.writeString(
                dir.resolve("capacity.conf"), conf.replace("why = trial", "where = here"));
        fails("rejected.0.why: must have why");
        Files.writeString(
                dir.resolve("capacity.conf"),
                conf.replace("rows = [\n" + missing, "rows = [\n" + CPU));
        fails("no fit gateways/hollow/cpu_part in the results");
    }

    @Test
    void whatIsMissingIsOrderedByTheWorstFigureOfEach() throws Exception {
        String row =
                "{ id = a, table = gateway, what = a, unit = x, figure = gateways, kind = computed,"
                        + " budget = 100, wants = nets }";
        rows(
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
    void howFarHollowOnesAreOffIsToldByFigure() throws Exception {
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
    void aForecastThatFailedIsTold() throws Exception {
        rows(CPU.replace("hollow/cpu_part", "hollow/bytes"));
        CapacityPage.write(page);
        assertTrue(
                Files.readString(page).contains("*extrapolated* (50%: forecast failed)"),
                Files.readString(page));
        assertTrue(Files.readString(page).contains("50%, no slope"), Files.readString(page));
    }
}
