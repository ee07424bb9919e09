package tinroad.lab.capacity;

import java.math.BigDecimal;
import java.math.MathContext;
import java.text.DecimalFormat;
import java.text.DecimalFormatSymbols;
import java.util.Locale;

/** How numbers stand on the page: whole ones as they are, others to three figures. */
final class Numbers {
    private static final double EXACT = 1e15;

    private Numbers() {}

    /** The number as text; a dash where there is none. */
    static String text(double x) {
        if (!Double.isFinite(x)) {
            return "-";
        }
        BigDecimal shown =
                x == Math.rint(x) && Math.abs(x) < EXACT
                        ? BigDecimal.valueOf(x)
                        : new BigDecimal(x).round(new MathContext(3));
        return new DecimalFormat("#,##0.##########", DecimalFormatSymbols.getInstance(Locale.ROOT))
                .format(shown);
    }

    static String percent(double part) {
        return text(100 * part) + "%";
    }
}
