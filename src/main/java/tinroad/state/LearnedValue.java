package tinroad.state;

/**
 * A learned value, with the data that decides whether it can still be used.
 *
 * @param value in the unit that its key names
 * @param weight number of samples behind the value
 * @param learnedAtMillis when the value was last known to be correct, in Unix ms
 * @param incarnation that learned the value
 */
public record LearnedValue(double value, double weight, double learnedAtMillis, long incarnation) {}
