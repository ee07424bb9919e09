package tinroad.recovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** Who is told to come back when. */
class ReturnsTest {
    private static final double MOST = 1000;

    @Test
    void slotsFollowEachOtherAtThePaceAtWhichRoomBecomesFree() {
        Returns returns = new Returns(MOST, 0.5);
        for (int caller = 0; caller < 8; caller++) {
            assertEquals(100 + 50 * caller, returns.tell(caller, 5000, 100, 50), 1e-9);
        }
        assertEquals(8, returns.away(5099));
        assertEquals(7, returns.away(5100));
    }

    @Test
    void aCallerIsToldTheSameSlotUntilItHasCome() {
        Returns returns = new Returns(MOST, 0.5);
        returns.tell(1, 0, 100, 50);
        assertEquals(60, returns.tell(1, 40, 500, 300));
        // It came too early: the promise stands.
        assertEquals(1, returns.tell(1, 99, 500, 300));
        assertEquals(500, returns.tell(1, 100, 500, 300));
    }

    @Test
    void whereNoRoomCanBeForeseenTheyAreSpreadEvenly() {
        Returns returns = new Returns(MOST, 0.5);
        double[] told = new double[64];
        for (int caller = 0; caller < told.length; caller++) {
            told[caller] = returns.tell(caller, 0, 0, Double.POSITIVE_INFINITY);
        }
        Arrays.sort(told);
        assertTrue(told[0] >= 500 && told[63] < 1000);
        for (int i = 1; i < told.length; i++) {
            // Even would be 8 ms; the golden ratio keeps each gap within three of that.
            assertTrue(told[i] - told[i - 1] < 24, "gap " + (told[i] - told[i - 1]));
        }
    }

    @Property(tries = 300, seed = "1")
    void adviceIsNeverLongerThanCountsAndNeverNegative(@ForAll @IntRange(min = 0, max = 100_000) int caller,
            @ForAll @DoubleRange(min = 0, max = 5000) double least, @ForAll @DoubleRange(min = 0, max = 5000) double gap) {
        Returns returns = new Returns(MOST, 0.5);
        double now = 0;
        for (int i = 0; i < 200; i++) {
            double away = returns.tell((caller + 31 * i) % 97, now, least, gap);
            assertTrue(away >= 0 && away <= MOST, "" + away);
            now += gap / 7;
        }
    }

    @Test
    void theTableIsBounded() {
        Returns returns = new Returns(MOST, 0.5);
        for (int caller = 0; caller < 100_000; caller++) {
            returns.tell(caller, 0, 0, Double.POSITIVE_INFINITY);
        }
        assertEquals(4096, returns.away(0));
    }
}
