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
import tinroad.lab.fake.World;
import tinroad.lab.scale.ScaleReader;
import tinroad.lab.scale.ScaleRun;
import tinroad.lab.scale.ScaleScript;
import tinroad.lab.scale.SweepResult;
import tinroad.lab.schedule.Plan;
import tinroad.lab.script.Script;
import tinroad.lab.script.ScriptReader;
import tinroad.lab.soak.SoakRun;
import tinroad.lab.soak.SoakVerdict;
import tinroad.operator.OperatorException;
import tinroad.operator.ValidationError;
import tinroad.simulation.FleetModel;
import tinroad.simulation.MembersSweep;

/**
 * {@code lab}: plays a fleet of real gateways with faults between them, and judges what became of
 * every request.
 */
public final class LabCommand extends Command {
    /** What to do, by the word typed. */
    enum Act {
        RUN,
        MODEL,
        MEMBERS,
        COMPARE,
        SCALE,
        LIST,
        CAPACITY,
        SOAK
    }

    private static final String SCRIPTS = "lab";

    /** What the names of scripts of the scale run begin with. */
    private static final String SWEEPS = "scale-";

    private static final String NONE = "none";
    private static final double[] LOSSES = {0, 0.05, 0.2, 0.4};
    private static final String ENDING = ".conf";

    @Argument(
            index = 0,
            metaVar = "run|model|members|compare|scale|list|capacity|soak",
            required = true,
            usage =
                    "play a script with processes, or on virtual time; a table of the membership on"
                        + " virtual time; compare two programs; play a sweep of hollow gateways"
                        + " beside real ones; list the scripts that ship; write a capacity page's"
                        + " tables from its results; play drawn fleets in which every gateway ends")
    private Act act;

    @Argument(
            index = 1,
            metaVar = "SCRIPT",
            usage = "a file, or the name of a script that ships; capacity: the page")
    private String script;

    @Option(name = "--seed", usage = "decides all that is random")
    private long seed = 1;

    @Option(
            name = "--seeds",
            metaVar = "A..B",
            usage =
                    "compare, soak: the seeds, from A to B (default: 1..5); model: one line of"
                            + " figures for each of them")
    private String seeds;

    @Option(
            name = "--jar",
            metaVar = "FILE",
            usage =
                    "the gateways' program (default: this one); compare: given twice; scale: may"
                            + " be, an earlier and a later one in the same fleet")
    private List<String> jars = new ArrayList<>();

    @Option(
            name = "--operator",
            metaVar = "FILE",
            usage =
                    "the gateways' operator file (default: none); compare: given twice, none stands"
                            + " for none; scale: once for each --jar")
    private List<String> operators = new ArrayList<>();

    @Option(
            name = "--remembers",
            usage =
                    "model: what a gateway learned lasts over restarts, as the script has its"
                            + " folders")
    private boolean remembers;

    @Option(
            name = "--check",
            usage = "capacity: write nothing, and say what of the page is out of step")
    private boolean check;

    @Option(
            name = "--size",
            metaVar = "N",
            usage = "members: how many, may be given several times (default: 10, 30, 100)")
    private List<Integer> sizes = new ArrayList<>();

    @Option(
            name = "--out",
            metaVar = "DIR",
            usage =
                    "where results, charts and the gateways' folders are left, of compare each"
                            + " run's (default: nowhere)")
    private String folder;

    @Option(name = "--output", usage = "table or json")
    private Output output = Output.TABLE;

    @Override
    About about() {
        return new About(
                "plays a fleet of real gateways with faults between them",
                "tinroad lab run first --seed 3 --out found/first",
                "0  rules kept",
                "1  a rule broken, the fleet did not start, a size was not carried, or a page out"
                        + " of step",
                "2  wrong arguments, or a script with faults, a line for each");
    }

    @Override
    int run(InputStream in, PrintStream out, PrintStream err) {
        try {
            return switch (act) {
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
            e.errors().forEach(fault -> err.println("tinroad: " + fault));
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
        try (Stream<Path> files = Files.list(Path.of(SCRIPTS))) {
            for (Path file : files.filter(f -> f.toString().endsWith(ENDING)).sorted().toList()) {
                if (file.getFileName().toString().startsWith(SWEEPS)) {
                    ScaleScript s = ScaleReader.read(file);
                    rows.add(
                            List.of(
                                    file.getFileName().toString().replace(ENDING, ""),
                                    s.baseline().gateways(),
                                    s.sizes().size() * s.measuredMillis() / 1000,
                                    s.title()));
                    continue;
                }
                Script s = ScriptReader.read(file);
                rows.add(
                        List.of(
                                file.getFileName().toString().replace(ENDING, ""),
                                s.fleet().gateways(),
                                s.length() / 1000,
                                s.title()));
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
                            + act.name().toLowerCase(Locale.ROOT)
                            + " needs a SCRIPT ('tinroad help lab' tells more)");
        }
        Path shipped = Path.of(SCRIPTS, script + ENDING);
        return !script.contains("/") && Files.exists(shipped) ? shipped : Path.of(script);
    }

    private static String self() {
        try {
            return Path.of(
                            LabCommand.class
                                    .getProtectionDomain()
                                    .getCodeSource()
                                    .getLocation()
                                    .toURI())
                    .toString();
        } catch (URISyntaxException e) {
            // Can't happen: it is the address of a file.
            throw new IllegalStateException(e);
        }
    }

    private String jar(int program) {
        return jars.isEmpty() ? self() : jars.get(program);
    }

    private Path operator(int program) {
        String file = program < operators.size() ? operators.get(program) : NONE;
        if (!file.equals(NONE) && !Files.isReadable(Path.of(file))) {
            throw new IllegalArgumentException("--operator " + file + ": can't be read");
        }
        return file.equals(NONE) ? null : Path.of(file);
    }

    private Report once(Script played, long number, int program, Path left, PrintStream progress)
            throws IOException, InterruptedException {
        Path work = left == null ? Files.createTempDirectory("tinroad-lab") : left;
        try (Lab lab =
                new Lab(
                        Plan.of(played, number),
                        new Lab.Options(
                                jar(program),
                                work,
                                operator(program),
                                progress,
                                World.Mutant.NONE))) {
            Report report = new Report(lab.play());
            if (left != null) {
                report.write(left);
            }
            return report;
        } finally {
            if (left == null) {
                Lab.delete(work);
            }
        }
    }

    /** This program's own gateways on virtual time, in this process. */
    private int model(PrintStream out) throws IOException, OperatorException {
        if (seeds != null) {
            Script played = script();
            long broken = 0;
            for (long number : range()) {
                Report report =
                        new Report(new FleetModel(Plan.of(played, number), remembers).play());
                out.println(report.line());
                broken += report.broken().size();
            }
            return broken == 0 ? SUCCESS : FAILURE;
        }
        Report report = new Report(new FleetModel(Plan.of(script(), seed), remembers).play());
        if (folder != null) {
            report.write(Path.of(folder));
        }
        print(report, out);
        out.println(report.fates());
        return report.broken().isEmpty() ? SUCCESS : FAILURE;
    }

    /**
     * What the membership costs and finds, against size and loss; beside it the rules without the
     * additions.
     */
    private int members(PrintStream out) {
        List<List<Object>> rows = new ArrayList<>();
        for (int size : sizes.isEmpty() ? List.of(10, 30, 100) : sizes) {
            for (double loss : LOSSES) {
                rows.add(
                        MembersSweep.row(
                                "lifeguard", MembershipConfig.DEFAULT, size, loss, range()));
                rows.add(
                        MembersSweep.row("plain", MembershipConfig.SWIM_2002, size, loss, range()));
            }
        }
        output.print(MembersSweep.NAMES, rows, out);
        return SUCCESS;
    }

    /** Writes or checks the tables of a page; what is out of step is a line each. */
    private int capacity(PrintStream err) throws IOException, OperatorException {
        if (script == null) {
            throw new IllegalArgumentException(
                    "lab capacity needs a PAGE ('tinroad help lab' tells more)");
        }
        if (!check) {
            CapacityPage.write(Path.of(script));
            return SUCCESS;
        }
        List<ValidationError> found = CapacityPage.check(Path.of(script));
        found.forEach(fault -> err.println("tinroad: " + fault));
        return found.isEmpty() ? SUCCESS : FAILURE;
    }

    private int play(PrintStream out, PrintStream err)
            throws IOException, InterruptedException, OperatorException {
        Report report = once(script(), seed, 0, folder == null ? null : Path.of(folder), err);
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
                        b -> {
                            err.println("broken: " + b.rule() + ": " + b.what());
                            b.way().forEach(err::println);
                        });
        out.println(report.fates());
        return report.broken().isEmpty() ? SUCCESS : FAILURE;
    }

    /** A row for each seed; the folders of runs that are not kept stay with --out. */
    private int soak(PrintStream out) throws IOException, InterruptedException {
        long broken = 0;
        for (long number : range()) {
            Path left =
                    folder == null
                            ? Files.createTempDirectory("tinroad-soak")
                            : Path.of(folder, "seed-" + number);
            SoakRun run = SoakRun.play(number, jar(0), left);
            SoakVerdict.Outcome outcome = run.verdict().outcome();
            out.printf(
                    Locale.ROOT,
                    "seed %d: %s, lab late by %.0f ms, %d requests%n",
                    number,
                    outcome.name().toLowerCase(Locale.ROOT),
                    run.verdict().lateMillis(),
                    run.requests());
            run.verdict().faults().forEach(fault -> out.println("  " + fault));
            broken += outcome == SoakVerdict.Outcome.BROKEN ? 1 : 0;
            if (folder == null || outcome == SoakVerdict.Outcome.KEPT) {
                Lab.delete(left);
            }
        }
        return broken == 0 ? SUCCESS : FAILURE;
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

    private long[] range() {
        String text = seeds == null ? "1..5" : seeds;
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

    /** A sweep; with --out its points, fits and charts are added to those in the folder. */
    private int scale(PrintStream out, PrintStream err)
            throws IOException, InterruptedException, OperatorException {
        ScaleScript played = ScaleReader.read(scriptFile());
        List<String> programs = jars.isEmpty() ? List.of(self()) : jars;
        Path work = Files.createTempDirectory("tinroad-scale");
        try {
            SweepResult sweep =
                    new ScaleRun(
                                    played,
                                    new ScaleRun.Options(
                                            self(),
                                            programs,
                                            IntStream.range(0, programs.size())
                                                    .mapToObj(this::operator)
                                                    .toList(),
                                            work,
                                            err))
                            .run();
            if (folder != null) {
                sweep.write(Path.of(folder));
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
            Lab.delete(work);
        }
    }

    private int compare(PrintStream out, PrintStream err)
            throws IOException, InterruptedException, OperatorException {
        if (jars.size() != 2) {
            throw new IllegalArgumentException("compare needs --jar twice");
        }
        Script played = script();
        Comparison comparison = new Comparison();
        long broken = 0;
        for (long number : range()) {
            Map<String, Report> both = new LinkedHashMap<>();
            for (int program = 0; program < jars.size(); program++) {
                Report report =
                        once(
                                played,
                                number,
                                program,
                                folder == null
                                        ? null
                                        : Path.of(
                                                folder,
                                                "seed-"
                                                        + number
                                                        + "-"
                                                        + (program == 0 ? "first" : "second")),
                                null);
                broken += report.broken().size();
                both.put(both.isEmpty() ? "a" : "b", report);
                err.println(
                        "seed "
                                + number
                                + ", "
                                + jars.get(program)
                                + ": "
                                + report.fates()
                                + ((boolean) report.figures().get("counts")
                                        ? ""
                                        : "; late: does not count"));
            }
            comparison.add(both.get("a"), both.get("b"));
        }
        output.print(
                List.of("figure", "first", "second", "low", "high", "pairs", "verdict"),
                comparison.rows(),
                out);
        return broken == 0 ? SUCCESS : FAILURE;
    }
}
