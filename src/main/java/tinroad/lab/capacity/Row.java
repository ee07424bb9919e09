package tinroad.lab.capacity;

import com.typesafe.config.ConfigObject;
import java.util.List;
import java.util.Map;

/**
 * One row of the page, as the file of formulas defines it.
 *
 * @param definition the row's object in the file, for the position of errors
 * @param table the table of the page that shows the row
 * @param description what the row's figure is
 * @param formula formula of the figure, over the names of the target's sizes and the terms
 * @param terms further names in the formula, each with the source that it is read from
 * @param declaredKind the kind that the file states for the figure
 * @param budgetFormula formula of the budget, or empty for none
 * @param mechanism the existing mechanism that keeps the figure within its budget, or empty
 * @param wantedMechanism the mechanism that would do so if none exists yet, or empty
 * @param missingReason why nothing was measured for the row, or empty if something was
 */
record Row(
        ConfigObject definition,
        String id,
        String table,
        String description,
        String unit,
        String formula,
        Map<String, ConfigObject> terms,
        Kind declaredKind,
        String budgetFormula,
        String mechanism,
        String wantedMechanism,
        String missingReason) {

    /**
     * A row with its calculated values.
     *
     * @param value the figure, or NaN if a measurement is missing
     * @param relativeError the largest relative error of the fits it uses, or NaN if it uses none
     * @param missingReason why there is no value, or empty
     * @param termTexts a description of each term
     * @param budget the budget, or NaN for none
     * @param budgetAssumed whether the budget uses an assumed size
     * @param hasNotes whether a run that it uses has a note at its point
     */
    record Evaluated(
            Row row,
            double value,
            double relativeError,
            String missingReason,
            List<String> termTexts,
            double budget,
            boolean budgetAssumed,
            boolean hasNotes) {
        /** Returns whether the figure has a value. */
        boolean hasValue() {
            return !Double.isNaN(value);
        }

        /** Returns the figure divided by its budget: above 1 the budget is exceeded. */
        double ratio() {
            return value / budget;
        }
    }
}
