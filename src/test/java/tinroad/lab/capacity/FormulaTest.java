package tinroad.lab.capacity;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Arithmetic as it stands on the page. */
class FormulaTest {
    private static double value(String text) {
        return Formula.value(text, Map.of("a", 3.0, "of_two", 2.0)::get);
    }

    @Test
    void itIsWorkedOutAsItReads() {
        Map<String, Double> all =
                Map.of(
                        "1 + 2 * a",
                        7.0,
                        "(1 + 2) * a",
                        9.0,
                        "10 - 4 - 3",
                        3.0,
                        "8 / of_two / 2",
                        2.0,
                        "-a + 1_000",
                        997.0,
                        "2.5e3",
                        2500.0,
                        "sqrt(16) + ceil(1.2)",
                        6.0,
                        "ln(exp(2))",
                        2.0,
                        "harmonic(a)",
                        1 + 1 / 2.0 + 1 / 3.0);
        all.forEach((text, value) -> assertEquals(value, value(text), 1e-9, text));
    }

    @Test
    void whatIsNoFormulaIsTold() {
        for (String text : List.of("", "1 +", "(1", "1 2", "a b", "$", "* 2", "root(4)")) {
            String told =
                    assertThrows(IllegalArgumentException.class, () -> value(text), text)
                            .getMessage();
            assertTrue(told.contains("must be a formula") || told.contains("no function"), told);
        }
    }
}
