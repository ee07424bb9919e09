package tinroad.lab.capacity;

import java.util.function.ToDoubleFunction;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Evaluates arithmetic expressions over named variables: {@code + - * /}, parentheses, and the
 * functions {@code sqrt ln exp ceil harmonic}. The page shows each expression exactly as it is
 * evaluated, so that a reader can recompute the figure.
 */
final class Formula {
    private static final Pattern TOKEN =
            Pattern.compile(
                    "\\s*([0-9][0-9_]*(?:\\.[0-9]+)?(?:[eE]-?[0-9]+)?|[a-z][a-z0-9_]*|[-+*/()])");

    private final String text;
    private final ToDoubleFunction<String> variables;
    private final Matcher tokens;
    private String token;
    private int position;

    private Formula(String text, ToDoubleFunction<String> variables) {
        this.text = text;
        this.variables = variables;
        tokens = TOKEN.matcher(text);
        advance();
    }

    /**
     * Returns the value of the expression. Throws {@link IllegalArgumentException} with a message
     * for the user if the text is not a valid formula, and whatever {@code variables} throws for an
     * unknown name.
     */
    static double evaluate(String text, ToDoubleFunction<String> variables) {
        Formula formula = new Formula(text, variables);
        double value = formula.parseSum();
        if (formula.token != null) {
            throw formula.syntaxError("an operator or the end");
        }
        return value;
    }

    private void advance() {
        int start = position;
        while (start < text.length() && Character.isWhitespace(text.charAt(start))) {
            start++;
        }
        if (start == text.length()) {
            token = null;
            return;
        }
        if (!tokens.find(position) || tokens.start() != position) {
            token = text.substring(start);
            throw syntaxError("a number, a name, an operator or a parenthesis");
        }
        token = tokens.group(1);
        position = tokens.end();
    }

    private IllegalArgumentException syntaxError(String expected) {
        return new IllegalArgumentException(
                "must be a formula such as 'gateways * 4': expected "
                        + expected
                        + " at "
                        + (token == null ? "the end" : "'" + token + "'"));
    }

    private boolean accept(String expected) {
        boolean matches = expected.equals(token);
        if (matches) {
            advance();
        }
        return matches;
    }

    private double parseSum() {
        double value = parseProduct();
        while ("+".equals(token) || "-".equals(token)) {
            value += accept("+") ? parseProduct() : accept("-") ? -parseProduct() : 0;
        }
        return value;
    }

    private double parseProduct() {
        double value = parseFactor();
        while ("*".equals(token) || "/".equals(token)) {
            value =
                    accept("*")
                            ? value * parseFactor()
                            : accept("/") ? value / parseFactor() : value;
        }
        return value;
    }

    private double parseFactor() {
        if (accept("-")) {
            return -parseFactor();
        }
        if (accept("(")) {
            return parseParenthesized();
        }
        if (token == null || !Character.isLetterOrDigit(token.charAt(0))) {
            throw syntaxError("a number or a name");
        }
        String operand = token;
        advance();
        if (Character.isDigit(operand.charAt(0))) {
            return Double.parseDouble(operand.replace("_", ""));
        }
        return accept("(")
                ? applyFunction(operand, parseParenthesized())
                : variables.applyAsDouble(operand);
    }

    private double parseParenthesized() {
        double value = parseSum();
        if (!accept(")")) {
            throw syntaxError("')'");
        }
        return value;
    }

    private static double applyFunction(String name, double x) {
        return switch (name) {
            case "sqrt" -> Math.sqrt(x);
            case "ln" -> StrictMath.log(x);
            case "exp" -> StrictMath.exp(x);
            case "ceil" -> Math.ceil(x);
            case "harmonic" -> harmonicNumber(x);
            default ->
                    throw new IllegalArgumentException(
                            "no function '" + name + "': known are sqrt, ln, exp, ceil, harmonic");
        };
    }

    /** The sum of the weights 1/i of a Zipf distribution with exponent 1 over n items. */
    private static double harmonicNumber(double n) {
        double sum = 0;
        for (int i = 1; i <= n; i++) {
            sum += 1.0 / i;
        }
        return sum;
    }
}
