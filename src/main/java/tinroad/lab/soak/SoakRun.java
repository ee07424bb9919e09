package tinroad.lab.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import tinroad.lab.Lab;
import tinroad.lab.Report;
import tinroad.lab.fake.LabContext;
import tinroad.lab.schedule.Schedule;
import tinroad.lab.script.ScriptReader;
import tinroad.operator.OperatorException;

/**
 * One run of the soak. Its folder gets the script, the report with each broken request's way, and
 * the gateways' logs; the one who plays decides whether to keep it.
 *
 * @param seed that the script is drawn from
 * @param verdict what is wrong
 * @param requests asked for
 */
public record SoakRun(long seed, SoakVerdict verdict, int requests) {
    /**
     * Plays the run of this seed; blocks until it is over.
     *
     * @param program of the gateways: a jar, or a class path
     * @param folder for all that it leaves
     */
    public static SoakRun play(long seed, String program, Path folder)
            throws IOException, InterruptedException {
        Files.createDirectories(folder);
        Path script = Files.writeString(folder.resolve("script.conf"), SoakScript.of(seed));
        try (Lab lab =
                new Lab(
                        Schedule.of(ScriptReader.read(script), seed),
                        new Lab.Options(
                                program,
                                folder.resolve("run"),
                                null,
                                null,
                                LabContext.Mutant.NONE))) {
            Lab.RunOutcome outcome = lab.play();
            Report report = new Report(outcome);
            report.write(folder);
            return new SoakRun(seed, SoakVerdict.of(outcome, report), report.fates().asked());
        } catch (OperatorException e) {
            throw new IllegalStateException("a drawn script has errors: " + e.errors(), e);
        }
    }
}
