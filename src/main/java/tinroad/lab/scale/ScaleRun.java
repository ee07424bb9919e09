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

/** Plays a sweep, one size after the other. */
public final class ScaleRun {
    private static final DateTimeFormatter STAMP = DateTimeFormatter.ofPattern("yyyyMMdd'T'HHmmss");

    /**
     * How to play.
     *
     * @param hollowProgram this program, for the processes of the hollow gateways: a jar, or a
     *     class path
     * @param jars the programs of the real gateways: one, or an earlier one and a later one that
     *     play in the same fleet
     * @param operators for each program a file of what its real gateways' operators set beside
     *     their fleet, or null
     * @param folder where the fleets' files are made, and deleted again
     * @param progress gets a line for each size
     */
    public record Options(
            String hollowProgram,
            List<String> jars,
            List<Path> operators,
            Path folder,
            PrintStream progress) {}

    private final Scale scale;
    private final Options options;

    /** A sweep by this script. */
    public ScaleRun(Scale scale, Options options) {
        if (options.jars.isEmpty() || options.jars.size() > 2) {
            throw new IllegalArgumentException("lab scale takes one program, or two");
        }
        this.scale = scale;
        this.options = options;
    }

    /**
     * Plays it; a size that the machine did not carry is said so, and the ones beyond it are not
     * played.
     */
    public Sweep play() throws IOException, InterruptedException {
        String name = scale.sweep().name().toLowerCase(Locale.ROOT);
        String run = name + "-" + LocalDateTime.now(ZoneOffset.UTC).format(STAMP);
        List<Line> lines = new ArrayList<>();
        String refused = null;
        for (double x : scale.sizes()) {
            double begun = System.nanoTime() / 1e9;
            Path folder =
                    Files.createDirectories(
                            options.folder.resolve(name + "-" + ScaleReader.plain(x)));
            if (refused == null) {
                try (ScalePoint point = new ScalePoint(scale, x, options, run, folder)) {
                    lines.addAll(point.play());
                } catch (IOException e) {
                    refused = e.getMessage();
                }
            }
            if (refused != null) {
                lines.add(
                        new Line(
                                run,
                                name,
                                x,
                                "hollow",
                                "cpu_part",
                                "part of a core",
                                Double.NaN,
                                0,
                                "not played: " + refused));
            }
            if (options.progress != null) {
                options.progress.printf(
                        Locale.ROOT,
                        "%s %s: %s, %.1f s%n",
                        name,
                        ScaleReader.plain(x),
                        refused == null ? "played" : refused,
                        System.nanoTime() / 1e9 - begun);
            }
            if (refused == null) {
                Lab.delete(folder);
            }
        }
        return new Sweep(run, name, List.copyOf(lines));
    }
}
