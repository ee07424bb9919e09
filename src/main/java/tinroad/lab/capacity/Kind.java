package tinroad.lab.capacity;

import java.util.Locale;

/**
 * How a figure was obtained, in order of decreasing certainty. A figure is only as certain as the
 * least certain of its inputs.
 */
enum Kind {
    /** Calculated from the target's sizes and constants of the code. */
    COMPUTED,
    /** Measured in a run at the target size. */
    MEASURED,
    /** From a fit over smaller sizes, with the error at the largest size that was run. */
    EXTRAPOLATED,
    /** Not measured: taken from a cited source, or assumed for a stated reason. */
    ASSUMED;

    Kind lessCertain(Kind other) {
        return compareTo(other) < 0 ? other : this;
    }

    /** The name on the page and in the file of formulas. */
    String text() {
        return name().toLowerCase(Locale.ROOT);
    }
}
