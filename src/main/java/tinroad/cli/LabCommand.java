package tinroad.cli;

import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.net.URISyntaxException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;
import tinroad.fleet.MembershipConfig;
import tinroad.lab.Comparison;
import tinroad.lab.Lab;
import tinroad.lab.Report;
import tinroad.lab.capacity.CapacityPage;
import tinroad.lab.fake.LabContext;
import tinroad.lab.scale.ScaleReader;
import tinroad.lab.scale.ScaleRun;
import tinroad.lab.scale.ScaleScript;
import tinroad.lab.scale.SweepResult;
import tinroad.lab.schedule.Schedule;
import tinroad.lab.script.Script;
import tinroad.lab.script.ScriptReader;
import tinroad.lab.soak.SoakRun;
import tinroad.lab.soak.SoakVerdict;
import tinroad.operator.OperatorException;
import tinroad.operator.ValidationError;
import tinroad.simulation.FleetModel;
import tinroad.simulation.MembersSweep;

/**
 * The command {@code lab}: runs a fleet of real gateways under faults, and checks the outcome of
 * every request.
 */
public final class LabCommand extends Command {
    /** The actions, named as on the command line. */
    enum Action {
        RUN,
        MODEL,
        MEMBERS,
        COMPARE,
        SCALE,
        LIST,
        CAPACITY,
        SOAK
    }

    private static final String SCRIPTS_FOLDER = "lab";

    /** Prefix of the names of scripts for {@code lab scale}. */
    private static final String SCALE_SCRIPT_PREFIX = "scale-";

    /** Value of {@code --operator} for no operator file. */
    private static final String NO_OPERATOR_FILE = "none";

    /** Shares of datagrams lost, for the table of {@code lab members}. */
    private static final double[] MEMBERS_LOSSES = {0, 0.05, 0.2, 0.4};

    /** File name suffix of scripts. */
    private static final String SUFFIX = ".conf";

    @Argument(
            index = 0,
            metaVar = "run|model|members|compare|scale|list|capacity|soak",
            required = true,
            usage =
                    "run: a script with real processes; model: a script on virtual time; members: a"
                        + " table of the membership's costs on virtual time; compare: two programs;"
                        + " scale: a sweep of hollow gateways beside real ones; list: the scripts"
                        + " that ship; capacity: write a capacity page's tables from its results;"
                        + " soak: random fleets in which every gateway ends")
    private Action action;

    @Argument(
            index = 1,
            metaVar = "SCRIPT",
            usage = "a file, or the name of a script that ships; capacity: the page's file")
    private String script;

    @Option(name = "--seed", usage = "the seed of all random choices")
    private long seed = 1;

    @Option(
            name = "--seeds",
            metaVar = "A..B",
            usage =
                    "compare, soak, members: the seeds, from A to B (default: 1..5); model: prints"
                            + " one line of figures for each seed")
    private String seedRange;

    @Option(
            name = "--jar",
            metaVar = "FILE",
            usage =
                    "the gateways' program (default: this one); compare: given twice; scale: may be"
                            + " given twice, an earlier and a later program in the same fleet")
    private List<String> jars = new ArrayList<>();

    @Option(
            name = "--operator",
            metaVar = "FILE",
            usage =
                    "the gateways' operator file (default: none); compare: given twice, where none"
                            + " means no file; scale: once for each --jar")
    private List<String> operators = new ArrayList<>();

    @Option(
            name = "--remembers",
            usage =
                    "model: stored state lasts over restarts, as the script treats the gateways'"
                            + " folders")
    private boolean storesState;

    @Option(
            name = "--check",
            usage = "capacity: write nothing, and list what is out of step in the page")
    private boolean check;

    @Option(
            name = "--size",
            metaVar = "N",
            usage = "members: a size, may be given several times (default: 10, 30, 100)")
    private List<Integer> sizes = new ArrayList<>();

    @Option(
            name = "--out",
            metaVar = "DIR",
            usage =
                    "where to leave results, charts and the gateways' folders; compare: those of"
                            + " each run (default: nowhere)")
    private String outFolder;

    @Option(name = "--output", usage = "table or json")
    private Output output = Output.TABLE;

    @Override
    About about() {
        return new About(
                "runs a fleet of real gateways under faults",
                "tinroad lab run first --seed 3 --out found/first",
                "0  no rule was broken",
                "1  a rule was broken, the fleet did not start, a size was not carried, or a page"
                        + " is out of step",
                "2  wrong arguments, or a script with errors, one line each");
    }

    @Override
    int run(InputStream in, PrintStream out, PrintStream err) {
        try {
            return switch (action) {
                case LIST -> list(out);
                case RUN -> play(out, err);
                case MODEL -> model(out);
                case MEMBERS -> members(out);
                case COMPARE -> compare(out, err);
                case SCALE -> scale(out, err);
                case CAPACITY -> capacity(err);
                case SOAK -> soak(out);
            };
        } catch (OperatorException e) {
            e.errors().forEach(error -> err.println("tinroad: " + error));
            return USAGE_ERROR;
        } catch (IllegalArgumentException e) {
            err.println("tinroad: " + e.getMessage());
            return USAGE_ERROR;
        } catch (IOException e) {
            err.println("tinroad: " + e.getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return FAILURE;
    }

    private int list(PrintStream out) throws IOException, OperatorException {
        List<List<Object>> rows = new ArrayList<>();
        try (Stream<Path> files = Files.list(Path.of(SCRIPTS_FOLDER))) {
            for (Path file : files.filter(f -> f.toString().endsWith(SUFFIX)).sorted().toList()) {
                if (file.getFileName().toString().startsWith(SCALE_SCRIPT_PREFIX)) {
                    ScaleScript scaleScript = ScaleReader.read(file);
                    rows.add(
                            List.of(
                                    file.getFileName().toString().replace(SUFFIX, ""),
                                    scaleScript.baseline().gateways(),
                                    scaleScript.sizes().size()
                                            * scaleScript.measuredMillis()
                                            / 1000,
                                    scaleScript.title()));
                    continue;
                }
                Script labScript = ScriptReader.read(file);
                rows.add(
                        List.of(
                                file.getFileName().toString().replace(SUFFIX, ""),
                                labScript.fleet().gateways(),
                                labScript.length() / 1000,
                                labScript.title()));
            }
        }
        output.print(List.of("script", "gateways", "seconds", "title"), rows, out);
        return SUCCESS;
    }

    private Script script() throws OperatorException {
        return ScriptReader.read(scriptFile());
    }

    private Path scriptFile() {
        if (script == null) {
            throw new IllegalArgumentException(
                    "lab "
                            + action.name().toLowerCase(Locale.ROOT)
                            + " needs a SCRIPT (see 'tinroad help lab')");
        }
        Path shipped = Path.of(SCRIPTS_FOLDER, script + SUFFIX);
        return !script.contains("/") && Files.exists(shipped) ? shipped : Path.of(script);
    }

    /** Returns the path of the running program. */
    private static String ownJar() {
        try {
            return Path.of(
                            LabCommand.class
                                    .getProtectionDomain()
                                    .getCodeSource()
                                    .getLocation()
                                    .toURI())
                    .toString();
        } catch (URISyntaxException e) {
            // Can't happen: the location is the URL of a file.
            throw new IllegalStateException(e);
        }
    }

    private String jar(int program) {
        return jars.isEmpty() ? ownJar() : jars.get(program);
    }

    private Path operator(int program) {
        String file = program < operators.size() ? operators.get(program) : NO_OPERATOR_FILE;
        if (!file.equals(NO_OPERATOR_FILE) && !Files.isReadable(Path.of(file))) {
            throw new IllegalArgumentException("--operator " + file + ": can't be read");
        }
        return file.equals(NO_OPERATOR_FILE) ? null : Path.of(file);
    }

    /** Runs a script once with real processes; leaves results in {@code runFolder} unless null. */
    private Report runOnce(
            Script labScript, long runSeed, int program, Path runFolder, PrintStream progress)
            throws IOException, InterruptedException {
        Path workFolder = runFolder == null ? Files.createTempDirectory("tinroad-lab") : runFolder;
        try (Lab lab =
                new Lab(
                        Schedule.of(labScript, runSeed),
                        new Lab.Options(
                                jar(program),
                                workFolder,
                                operator(program),
                                progress,
                                LabContext.Mutant.NONE))) {
            Report report = new Report(lab.play());
            if (runFolder != null) {
                report.write(runFolder);
            }
            return report;
        } finally {
            if (runFolder == null) {
                Lab.delete(workFolder);
            }
        }
    }

    /** Runs a script with this program's own gateways on virtual time, in this process. */
    private int model(PrintStream out) throws IOException, OperatorException {
        if (seedRange != null) {
            Script labScript = script();
            long brokenRules = 0;
            for (long runSeed : seeds()) {
                Report report =
                        new Report(
                                new FleetModel(Schedule.of(labScript, runSeed), storesState)
                                        .play());
                out.println(report.line());
                brokenRules += report.broken().size();
            }
            return brokenRules == 0 ? SUCCESS : FAILURE;
        }
        Report report = new Report(new FleetModel(Schedule.of(script(), seed), storesState).play());
        if (outFolder != null) {
            report.write(Path.of(outFolder));
        }
        print(report, out);
        out.println(report.fates());
        return report.broken().isEmpty() ? SUCCESS : FAILURE;
    }

    /**
     * Prints the costs and detection times of the membership by size and loss, compared with plain
     * SWIM without its extensions.
     */
    private int members(PrintStream out) {
        List<List<Object>> rows = new ArrayList<>();
        for (int size : sizes.isEmpty() ? List.of(10, 30, 100) : sizes) {
            for (double loss : MEMBERS_LOSSES) {
                rows.add(
                        MembersSweep.row(
                                "lifeguard", MembershipConfig.DEFAULT, size, loss, seeds()));
                rows.add(
                        MembersSweep.row("plain", MembershipConfig.SWIM_2002, size, loss, seeds()));
            }
        }
        output.print(MembersSweep.NAMES, rows, out);
        return SUCCESS;
    }

    /** Writes or checks the tables of a page; prints one line for each part out of step. */
    private int capacity(PrintStream err) throws IOException, OperatorException {
        if (script == null) {
            throw new IllegalArgumentException(
                    "lab capacity needs a PAGE (see 'tinroad help lab')");
        }
        if (!check) {
            CapacityPage.write(Path.of(script));
            return SUCCESS;
        }
        List<ValidationError> errors = CapacityPage.check(Path.of(script));
        errors.forEach(error -> err.println("tinroad: " + error));
        return errors.isEmpty() ? SUCCESS : FAILURE;
    }

    private int play(PrintStream out, PrintStream err)
            throws IOException, InterruptedException, OperatorException {
        Report report =
                runOnce(script(), seed, 0, outFolder == null ? null : Path.of(outFolder), err);
        print(report, out);
        if (!(boolean) report.figures().get("counts")) {
            err.println(
                    "tinroad: the load ran late by "
                            + report.figures().get("late_p99_ms")
                            + " ms: this run does not count");
        }
        report.broken().stream()
                .limit(5)
                .forEach(
                        violation -> {
                            err.println(
                                    "broken: " + violation.rule() + ": " + violation.description());
                            violation.trace().forEach(err::println);
                        });
        out.println(report.fates());
        return report.broken().isEmpty() ? SUCCESS : FAILURE;
    }

    /** Prints a line for each seed; with --out, the folders of runs that did not pass are left. */
    private int soak(PrintStream out) throws IOException, InterruptedException {
        long brokenRuns = 0;
        for (long runSeed : seeds()) {
            Path runFolder =
                    outFolder == null
                            ? Files.createTempDirectory("tinroad-soak")
                            : Path.of(outFolder, "seed-" + runSeed);
            SoakRun run = SoakRun.play(runSeed, jar(0), runFolder);
            SoakVerdict.Outcome outcome = run.verdict().outcome();
            out.printf(
                    Locale.ROOT,
                    "seed %d: %s, lab late by %.0f ms, %d requests%n",
                    runSeed,
                    outcome.name().toLowerCase(Locale.ROOT),
                    run.verdict().lateMillis(),
                    run.requests());
            run.verdict().faults().forEach(fault -> out.println("  " + fault));
            brokenRuns += outcome == SoakVerdict.Outcome.BROKEN ? 1 : 0;
            if (outFolder == null || outcome == SoakVerdict.Outcome.KEPT) {
                Lab.delete(runFolder);
            }
        }
        return brokenRuns == 0 ? SUCCESS : FAILURE;
    }

    private void print(Report report, PrintStream out) {
        if (output == Output.JSON) {
            out.println(report.line());
        } else {
            List<List<Object>> rows = new ArrayList<>();
            report.figures().forEach((name, value) -> rows.add(List.of(name, text(value))));
            output.print(List.of("figure", "value"), rows, out);
        }
    }

    private static String text(Object value) {
        return value instanceof Double d && !Double.isFinite(d)
                ? Double.isNaN(d) ? "-" : "never"
                : value.toString();
    }

    private long[] seeds() {
        String text = seedRange == null ? "1..5" : seedRange;
        if (!text.matches("\\d{1,6}\\.\\.\\d{1,6}")) {
            throw new IllegalArgumentException("--seeds must be A..B; found " + text);
        }
        long first = Long.parseLong(text.replaceAll("\\..*", ""));
        long last = Long.parseLong(text.replaceAll(".*\\.", ""));
        if (first > last) {
            throw new IllegalArgumentException("--seeds must be A..B, A up to B; found " + text);
        }
        return LongStream.rangeClosed(first, last).toArray();
    }

    /** Runs a sweep; with --out, its points, fits and charts are added to those in the folder. */
    private int scale(PrintStream out, PrintStream err)
            throws IOException, InterruptedException, OperatorException {
        ScaleScript scaleScript = ScaleReader.read(scriptFile());
        List<String> programs = jars.isEmpty() ? List.of(ownJar()) : jars;
        Path workFolder = Files.createTempDirectory("tinroad-scale");
        try {
            SweepResult sweep =
                    new ScaleRun(
                                    scaleScript,
                                    new ScaleRun.Options(
                                            ownJar(),
                                            programs,
                                            IntStream.range(0, programs.size())
                                                    .mapToObj(this::operator)
                                                    .toList(),
                                            workFolder,
                                            err))
                            .run();
            if (outFolder != null) {
                sweep.write(Path.of(outFolder));
            }
            if (output == Output.JSON) {
                sweep.measurementsAsJson().forEach(out::println);
            } else {
                output.print(
                        List.of("x", "role", "metric", "value", "unit", "n", "note"),
                        sweep.tableRows(),
                        out);
            }
            return sweep.hasUnplayedSize() ? FAILURE : SUCCESS;
        } finally {
            Lab.delete(workFolder);
        }
    }

    private int compare(PrintStream out, PrintStream err)
            throws IOException, InterruptedException, OperatorException {
        if (jars.size() != 2) {
            throw new IllegalArgumentException("compare needs --jar twice");
        }
        Script labScript = script();
        Comparison comparison = new Comparison();
        long brokenRules = 0;
        for (long runSeed : seeds()) {
            Map<String, Report> reports = new LinkedHashMap<>();
            for (int program = 0; program < jars.size(); program++) {
                Report report =
                        runOnce(
                                labScript,
                                runSeed,
                                program,
                                outFolder == null
                                        ? null
                                        : Path.of(
                                                outFolder,
                                                "seed-"
                                                        + runSeed
                                                        + "-"
                                                        + (program == 0 ? "first" : "second")),
                                null);
                brokenRules += report.broken().size();
                reports.put(reports.isEmpty() ? "a" : "b", report);
                err.println(
                        "seed "
                                + runSeed
                                + ", "
                                + jars.get(program)
                                + ": "
                                + report.fates()
                                + ((boolean) report.figures().get("counts")
                                        ? ""
                                        : "; late: does not count"));
            }
            comparison.add(reports.get("a"), reports.get("b"));
        }
        output.print(
                List.of("figure", "first", "second", "low", "high", "pairs", "verdict"),
                comparison.rows(),
                out);
        return brokenRules == 0 ? SUCCESS : FAILURE;
    }
}
