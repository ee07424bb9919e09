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
 * One run of the soak. Its folder receives the script, the report with a trace of each violation,
 * and the gateways' logs; the caller decides whether to keep the folder.
 *
 * @param seed from which the script is drawn
 * @param verdict the result of its checks
 * @param requests number of requests in the run
 */
public record SoakRun(long seed, SoakVerdict verdict, int requests) {
    /**
     * Executes the run of this seed; blocks until it is over.
     *
     * @param program of the gateways: a jar, or a class path
     * @param folder for the script, the report and the logs
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
            throw new IllegalStateException("generated soak script is invalid: " + e.errors(), e);
        }
    }
}
