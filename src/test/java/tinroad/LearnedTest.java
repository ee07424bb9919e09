package tinroad;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import tinroad.Controller.Known;
import tinroad.Controller.RequestClass;
import tinroad.Controller.Semantics;

/** What one life of the module leaves to the next. */
class LearnedTest {
    private static final List<RequestClass> CLASSES = List.of(new RequestClass(1000, 0, 2000, 1, 0, Semantics.FREE, 0, false, 0),
            new RequestClass(2000, 0, 4000, 3, 0, Semantics.SINGLE_SHOT, 0, false, 0));

    private static Learned fresh() {
        return new Learned(CLASSES, 0.25, 2);
    }

    @Test
    void whatIsExportedIsRestoredButWeighsLittle() {
        Learned before = fresh();
        before.of[0].run = 24;
        before.of[0].runs = 5000;
        before.of[0].calm = 20;
        before.returning = 0.4;
        Learned after = fresh();
        after.restore(before.export(), 1);
        assertEquals(20, after.of[0].run);
        assertEquals(2, after.of[0].runs);
        assertEquals(500, after.of[1].run);
        assertEquals(0.4, after.returning);
    }

    @Test
    void onAColdEngineRunsAreExpectedToTakeAsMuchLongerAndNeverLongerThanWithoutAnyMemory() {
        Learned after = fresh();
        after.restore(Map.of("run.0", new Known(24, 9), "run.1", new Known(30_000, 9)), 0.2);
        assertEquals(120, after.of[0].run);
        assertEquals(500, after.of[1].run);
        // No slowdown is seen in what is only cold, or was slow on another day.
        assertEquals(250, after.of[0].calm);
    }

    @Property(tries = 500, seed = "21")
    void noNumberMakesAClassImpossible(@ForAll double run, @ForAll double calm, @ForAll double weight, @ForAll double back) {
        Learned after = fresh();
        after.restore(Map.of("run.0", new Known(run, weight), "calm.0", new Known(calm, weight),
                "run.9", new Known(run, 1), "returning", new Known(back, 1), "unheard.of", new Known(1, 1)), 0.2);
        for (Learned.Of c : after.of) {
            assertTrue(c.run > 0 && c.run < Double.POSITIVE_INFINITY && c.calm > 0 && c.runs > 0, "" + c.run);
        }
        assertTrue(after.returning > 0 && after.returning <= 1);
    }
}
