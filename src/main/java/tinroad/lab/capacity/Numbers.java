package tinroad.lab.capacity;

import java.math.BigDecimal;
import java.math.MathContext;
import java.text.DecimalFormat;
import java.text.DecimalFormatSymbols;
import java.util.Locale;

/** Formats numbers for the page: whole numbers in full, others to three significant digits. */
final class Numbers {
    private static final double MAX_WHOLE_NUMBER = 1e15;
    private static final int SIGNIFICANT_DIGITS = 3;

    private Numbers() {}

    /** Returns the number as text, or a dash if it is infinite or NaN. */
    static String format(double x) {
        if (!Double.isFinite(x)) {
            return "-";
        }
        BigDecimal rounded =
                x == Math.rint(x) && Math.abs(x) < MAX_WHOLE_NUMBER
                        ? BigDecimal.valueOf(x)
                        : new BigDecimal(x).round(new MathContext(SIGNIFICANT_DIGITS));
        return new DecimalFormat("#,##0.##########", DecimalFormatSymbols.getInstance(Locale.ROOT))
                .format(rounded);
    }

    /** Returns a share as a percentage: 0.25 becomes "25%". */
    static String formatPercent(double share) {
        return format(100 * share) + "%";
    }
}
