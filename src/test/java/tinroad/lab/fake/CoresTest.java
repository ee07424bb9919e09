package tinroad.lab.fake;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import tinroad.lab.script.Script;
import tinroad.lab.script.Script.ServiceTimeLaw;

/** The model of the cores, against results calculated by hand. */
class CoresTest {
    private static CoreModel cores(int count, double crowding, boolean cold) {
        return new CoreModel(
                new Script.EngineModel(
                        ServiceTimeLaw.CONSTANT, 1, 2, crowding, 0.25, 1000, 0.25, 0, 0),
                count,
                1,
                0,
                cold);
    }

    @Test
    void eachJobHasItsOwnCoreUntilThereAreMoreJobsThanCores() {
        CoreModel cores = cores(2, 0, false);
        cores.start("a", 10);
        cores.start("b", 20);
        assertEquals(List.of(), cores.advance(9.9));
        assertEquals(List.of("a"), cores.advance(10));
        assertEquals(List.of("b"), cores.advance(20));
        for (String id : List.of("c", "d", "e", "f")) {
            cores.start(id, 10);
        }
        assertEquals(List.of(), cores.advance(39.9));
        assertEquals(4, cores.advance(40).size());
        assertEquals(70, cores.done(), 1e-6);
    }

    @Test
    void aLaterJobSharesTheCoreFromItsStart() {
        CoreModel cores = cores(1, 0, false);
        cores.start("a", 10);
        cores.advance(5);
        cores.start("b", 2);
        // Half each: b is done after 4 ms, with 3 ms of a left.
        assertEquals(List.of("b"), cores.advance(9));
        assertEquals(List.of("a"), cores.advance(12));
    }

    @Test
    void tooManyJobsSlowAllDown() {
        CoreModel cores = cores(1, 0.5, false);
        for (int i = 0; i < 4; i++) {
            cores.start("r" + i, 10);
        }
        // Two jobs per core beyond the knee: half the speed.
        assertEquals(List.of(), cores.advance(79));
        assertEquals(4, cores.advance(80.001).size());
    }

    @Test
    void aColdStartIsSlowAndWarmsUp() {
        CoreModel cores = cores(1, 0, true);
        assertEquals(0.25, cores.warmUpFactor());
        cores.start("a", 1000);
        // The speed is constant within each step of 1 ms: 625 ms of work in the first second, then
        // full speed.
        for (double t = 0; t < 1000; t++) {
            cores.advance(t);
        }
        assertEquals(624, cores.done(), 1);
        assertEquals(1, cores.warmUpFactor(), 0.01);
    }

    @Test
    void eachCoreReadsOneAtATimeBesideTheRuns() {
        CoreModel cores = cores(1, 0, false);
        cores.start("a", 10);
        for (int i = 0; i < 100; i++) {
            cores.read(5);
        }
        assertEquals(2, cores.present());
        assertEquals(99, cores.unread());
        // The run gets half of the core, however many reads wait.
        assertEquals(List.of("a"), cores.advance(20));
        assertTrue(cores.advance(600).isEmpty());
        assertEquals(0, cores.unread());
        assertEquals(510, cores.done(), 1e-6);
    }

    @Test
    void aPauseStopsTheWorkAndACrashLosesIt() {
        CoreModel cores = cores(1, 0, false);
        cores.start("a", 10);
        cores.advance(5);
        cores.pause(true);
        assertEquals(List.of(), cores.advance(500));
        cores.pause(false);
        assertEquals(List.of("a"), cores.advance(505));
        cores.start("b", 10);
        cores.read(1);
        cores.clear();
        assertEquals(List.of(), cores.advance(5000));
        assertEquals(0, cores.present());
        cores.slow(0.5);
        cores.start("c", 10);
        assertEquals(List.of("c"), cores.advance(5020));
    }
}
