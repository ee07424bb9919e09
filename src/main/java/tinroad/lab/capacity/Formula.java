package tinroad.lab.capacity;

import java.util.function.ToDoubleFunction;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Arithmetic over names: {@code + - * /}, parentheses, and the functions {@code sqrt ln exp ceil
 * harmonic}. Guards against figures that nobody can work out again: what a row is computed from
 * stands on the page as it is evaluated.
 */
final class Formula {
    private static final Pattern TOKEN =
            Pattern.compile(
                    "\\s*([0-9][0-9_]*(?:\\.[0-9]+)?(?:[eE]-?[0-9]+)?|[a-z][a-z0-9_]*|[-+*/()])");

    private final String text;
    private final ToDoubleFunction<String> names;
    private final Matcher tokens;
    private String next;
    private int read;

    private Formula(String text, ToDoubleFunction<String> names) {
        this.text = text;
        this.names = names;
        tokens = TOKEN.matcher(text);
        advance();
    }

    /**
     * The value; throws {@link IllegalArgumentException} in words where the text is no formula, or
     * as {@code names} does.
     */
    static double value(String text, ToDoubleFunction<String> names) {
        Formula f = new Formula(text, names);
        double value = f.sum();
        if (f.next != null) {
            throw f.wrong("an operator or the end");
        }
        return value;
    }

    private void advance() {
        int rest = read;
        while (rest < text.length() && Character.isWhitespace(text.charAt(rest))) {
            rest++;
        }
        if (rest == text.length()) {
            next = null;
            return;
        }
        if (!tokens.find(read) || tokens.start() != read) {
            next = text.substring(rest);
            throw wrong("a number, a name, an operator or a parenthesis");
        }
        next = tokens.group(1);
        read = tokens.end();
    }

    private IllegalArgumentException wrong(String wanted) {
        return new IllegalArgumentException(
                "must be a formula such as 'gateways * 4': expected "
                        + wanted
                        + " at "
                        + (next == null ? "the end" : "'" + next + "'"));
    }

    private boolean takes(String token) {
        boolean found = token.equals(next);
        if (found) {
            advance();
        }
        return found;
    }

    private double sum() {
        double value = product();
        while ("+".equals(next) || "-".equals(next)) {
            value += takes("+") ? product() : takes("-") ? -product() : 0;
        }
        return value;
    }

    private double product() {
        double value = factor();
        while ("*".equals(next) || "/".equals(next)) {
            value = takes("*") ? value * factor() : takes("/") ? value / factor() : value;
        }
        return value;
    }

    private double factor() {
        if (takes("-")) {
            return -factor();
        }
        if (takes("(")) {
            return closed();
        }
        if (next == null || !Character.isLetterOrDigit(next.charAt(0))) {
            throw wrong("a number or a name");
        }
        String word = next;
        advance();
        if (Character.isDigit(word.charAt(0))) {
            return Double.parseDouble(word.replace("_", ""));
        }
        return takes("(") ? function(word, closed()) : names.applyAsDouble(word);
    }

    private double closed() {
        double value = sum();
        if (!takes(")")) {
            throw wrong("')'");
        }
        return value;
    }

    private static double function(String name, double x) {
        return switch (name) {
            case "sqrt" -> Math.sqrt(x);
            case "ln" -> StrictMath.log(x);
            case "exp" -> StrictMath.exp(x);
            case "ceil" -> Math.ceil(x);
            case "harmonic" -> harmonic(x);
            default ->
                    throw new IllegalArgumentException(
                            "no function '" + name + "': known are sqrt, ln, exp, ceil, harmonic");
        };
    }

    /** What the weights of a Zipf law with exponent 1 over so many add up to. */
    private static double harmonic(double n) {
        double sum = 0;
        for (int i = 1; i <= n; i++) {
            sum += 1.0 / i;
        }
        return sum;
    }
}
