package tinroad.lab.capacity;

import java.util.Locale;

/**
 * How a figure is known, the surest first. A figure is as sure as the least sure thing that it
 * rests on.
 */
enum Kind {
    /** Arithmetic over the target's sizes and what stands in the code. */
    COMPUTED,
    /** A run at that size. */
    MEASURED,
    /** A fit over smaller sizes, with the error at the largest size that was run. */
    EXTRAPOLATED,
    /** Nothing was run: a source or a reason stands beside it. */
    ASSUMED;

    Kind and(Kind other) {
        return compareTo(other) < 0 ? other : this;
    }

    /** The name on the page and in its file. */
    String text() {
        return name().toLowerCase(Locale.ROOT);
    }
}
