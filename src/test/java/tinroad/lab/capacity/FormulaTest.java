package tinroad.lab.capacity;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Evaluation of the formulas that the capacity page's rows are calculated by. */
class FormulaTest {
    private static double evaluate(String text) {
        return Formula.evaluate(text, Map.of("a", 3.0, "of_two", 2.0)::get);
    }

    @Test
    void operatorsAndFunctionsFollowTheUsualPrecedence() {
        Map<String, Double> expected =
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
        expected.forEach((text, value) -> assertEquals(value, evaluate(text), 1e-9, text));
    }

    @Test
    void invalidFormulasAreRejectedWithAMessage() {
        for (String text : List.of("", "1 +", "(1", "1 2", "a b", "$", "* 2", "root(4)")) {
            String message =
                    assertThrows(IllegalArgumentException.class, () -> evaluate(text), text)
                            .getMessage();
            assertTrue(
                    message.contains("must be a formula") || message.contains("no function"),
                    message);
        }
    }
}
