package tinroad.lab.scale;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.LocalDateTime;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import tinroad.lab.Lab;

/** Runs a sweep, one size after the other. */
public final class ScaleRun {
    private static final DateTimeFormatter TIMESTAMP_FORMAT =
            DateTimeFormatter.ofPattern("yyyyMMdd'T'HHmmss");

    /**
     * The options of a run.
     *
     * @param hollowProgram this program, for the processes of the hollow gateways: a jar or a class
     *     path
     * @param jars the programs of the real gateways: one, or an earlier and a later one that run in
     *     the same fleet
     * @param operatorFiles for each program a file with the settings that the operators of its real
     *     gateways make, except their fleet; or null
     * @param folder where the files of the fleets are created, and deleted again
     * @param progress gets a line for each size
     */
    public record Options(
            String hollowProgram,
            List<String> jars,
            List<Path> operatorFiles,
            Path folder,
            PrintStream progress) {}

    private final ScaleScript script;
    private final Options options;

    /** Creates the run of a script. */
    public ScaleRun(ScaleScript script, Options options) {
        if (options.jars.isEmpty() || options.jars.size() > 2) {
            throw new IllegalArgumentException("lab scale takes one program, or two");
        }
        this.script = script;
        this.options = options;
    }

    /**
     * Runs the sweep. A size that the machine could not carry gets a note with the reason, and
     * larger ones are not run.
     */
    public SweepResult run() throws IOException, InterruptedException {
        String name = script.sweptParameter().name().toLowerCase(Locale.ROOT);
        String runId = name + "-" + LocalDateTime.now(ZoneOffset.UTC).format(TIMESTAMP_FORMAT);
        List<Measurement> measurements = new ArrayList<>();
        String failure = null;
        for (double x : script.sizes()) {
            double startedAtSeconds = System.nanoTime() / 1e9;
            Path folder =
                    Files.createDirectories(
                            options.folder.resolve(name + "-" + ScaleReader.formatNumber(x)));
            if (failure == null) {
                try (ScalePoint point = new ScalePoint(script, x, options, runId, folder)) {
                    measurements.addAll(point.run());
                } catch (IOException e) {
                    failure = e.getMessage();
                }
            }
            if (failure != null) {
                measurements.add(
                        new Measurement(
                                runId,
                                name,
                                x,
                                "hollow",
                                "cpu_part",
                                "part of a core",
                                Double.NaN,
                                0,
                                "not played: " + failure));
            }
            if (options.progress != null) {
                options.progress.printf(
                        Locale.ROOT,
                        "%s %s: %s, %.1f s%n",
                        name,
                        ScaleReader.formatNumber(x),
                        failure == null ? "played" : failure,
                        System.nanoTime() / 1e9 - startedAtSeconds);
            }
            if (failure == null) {
                Lab.delete(folder);
            }
        }
        return new SweepResult(runId, name, List.copyOf(measurements));
    }
}
