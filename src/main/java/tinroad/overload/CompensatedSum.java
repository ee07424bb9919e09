package tinroad.overload;

/**
 * A running sum with no bound on the number of additions and subtractions. Neumaier's compensated
 * summation prevents drift: it keeps track of what each addition rounds away.
 */
final class CompensatedSum {
    private double sum;
    private double compensation;

    /** Creates a sum of 0. */
    CompensatedSum() {}

    /** Creates a copy. */
    CompensatedSum(CompensatedSum other) {
        sum = other.sum;
        compensation = other.compensation;
    }

    void add(double value) {
        double next = sum + value;
        compensation += Math.abs(sum) >= Math.abs(value) ? sum - next + value : value - next + sum;
        sum = next;
    }

    /** Multiplies the sum by {@code factor}. */
    void scale(double factor) {
        sum *= factor;
        compensation *= factor;
    }

    double value() {
        return sum + compensation;
    }
}
