package tinroad.state;

/**
 * A learned value, with what is needed to decide whether it can still be used.
 *
 * @param value in the unit that its key names
 * @param weight number of samples behind it
 * @param learnedAtMillis when it was last true, in Unix ms
 * @param incarnation that learned it
 */
public record LearnedValue(double value, double weight, double learnedAtMillis, long incarnation) {}
