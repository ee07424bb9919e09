package tinroad.lab.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assumptions.assumeFalse;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import tinroad.Program;
import tinroad.lab.script.ScriptReader;

/** The soak on a few fixed seeds; many more are run by hand, see docs/regression.md. */
@Timeout(240)
class SoakTest {
    @TempDir private Path dir;

    /** Guards against shutdowns of a gateway that lose, repeat or delay a request. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void everyShutdownIsOrderly(long seed) throws Exception {
        SoakVerdict verdict = SoakRun.play(seed, Program.CLASS_PATH, dir.resolve("s")).verdict();
        assumeFalse(
                verdict.outcome() == SoakVerdict.Outcome.VOID,
                () -> "void: the lab itself was delayed by " + verdict.lateMillis() + " ms");
        assertEquals(List.of(), verdict.faults());
    }

    @Test
    void everySeedGivesAValidAndDistinctScript() throws Exception {
        for (long seed = 1; seed <= 300; seed++) {
            Path file = Files.writeString(dir.resolve("script.conf"), SoakScript.of(seed));
            assertTrue(ScriptReader.read(file).faults().size() >= 2);
            assertEquals(SoakScript.of(seed), SoakScript.of(seed));
            assertNotEquals(SoakScript.of(seed), SoakScript.of(seed + 1));
        }
    }

    @Test
    void aRunInWhichTheLabWasDelayedIsVoidWhateverElseFailed() {
        assertEquals(SoakVerdict.Outcome.KEPT, new SoakVerdict(50, List.of()).outcome());
        assertEquals(SoakVerdict.Outcome.BROKEN, new SoakVerdict(50, List.of("lost")).outcome());
        assertEquals(SoakVerdict.Outcome.VOID, new SoakVerdict(51, List.of()).outcome());
        assertEquals(SoakVerdict.Outcome.VOID, new SoakVerdict(51, List.of("lost")).outcome());
    }
}
