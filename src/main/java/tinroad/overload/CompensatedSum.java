package tinroad.overload;

/**
 * A running sum, added to and subtracted from for ever. Neumaier's compensated summation guards
 * against drift: what each addition rounds away is kept beside it.
 */
final class CompensatedSum {
    private double sum;
    private double compensation;

    /** A sum of 0. */
    CompensatedSum() {}

    /** A copy. */
    CompensatedSum(CompensatedSum other) {
        sum = other.sum;
        compensation = other.compensation;
    }

    void add(double value) {
        double next = sum + value;
        compensation += Math.abs(sum) >= Math.abs(value) ? sum - next + value : value - next + sum;
        sum = next;
    }

    /** Multiplies it. */
    void scale(double factor) {
        sum *= factor;
        compensation *= factor;
    }

    double value() {
        return sum + compensation;
    }
}
