package tinroad.lab.capacity;

import com.typesafe.config.ConfigObject;
import java.util.List;
import java.util.Map;

/**
 * One figure of the page, as its file asks for it.
 *
 * @param at where it stands in the file
 * @param table of the page that it is in
 * @param figure formula over the target's names and the terms
 * @param terms what else the formula names, each with what it is read from
 * @param kind how its author holds it to be known
 * @param budget formula, or empty where nothing is given
 * @param mechanism what carries it; empty for none yet
 * @param wants the mechanism that would carry it, where there is none yet
 * @param missing why nothing was run for it; empty where something was
 */
record Row(
        ConfigObject at,
        String id,
        String table,
        String what,
        String unit,
        String figure,
        Map<String, ConfigObject> terms,
        Kind kind,
        String budget,
        String mechanism,
        String wants,
        String missing) {

    /**
     * The figure, worked out.
     *
     * @param value NaN where nothing was run for it
     * @param error the largest one of the fits that it rests on, relative; NaN where it rests on
     *     none
     * @param missing why there is no value
     * @param terms what each term is, in words
     * @param budget NaN for none
     * @param guessed whether nobody gave this budget
     * @param noted whether a run that it rests on noted something beside its point
     */
    record Worked(
            Row row,
            double value,
            double error,
            String missing,
            List<String> terms,
            double budget,
            boolean guessed,
            boolean noted) {
        /** Whether there is a figure. */
        boolean known() {
            return !Double.isNaN(value);
        }

        /** Figure over budget: beyond 1 it does not fit. */
        double ratio() {
            return value / budget;
        }
    }
}
