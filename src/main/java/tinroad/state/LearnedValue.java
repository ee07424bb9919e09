package tinroad.state;

/**
 * A value that was learned, with what is needed to doubt it.
 *
 * @param value in the unit that its key names
 * @param weight how many samples stand behind it
 * @param learnedAt when it was last true, in Unix ms
 * @param life number of the life that learned it
 */
public record LearnedValue(double value, double weight, double learnedAtMillis, long incarnation) {}
