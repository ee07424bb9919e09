package tinroad.overload;

/**
 * A sum that is kept by adding and taking away. Neumaier's compensated summation: guards against
 * drift, as what each addition rounds away is kept beside it.
 */
final class CompensatedSum {
    private double sum;
    private double rounded;

    /** Nothing. */
    CompensatedSum() {}

    /** The same as another. */
    CompensatedSum(CompensatedSum other) {
        sum = other.sum;
        rounded = other.rounded;
    }

    void add(double value) {
        double next = sum + value;
        rounded += Math.abs(sum) >= Math.abs(value) ? sum - next + value : value - next + sum;
        sum = next;
    }

    /** Leaves this part of it. */
    void fade(double part) {
        sum *= part;
        rounded *= part;
    }

    double value() {
        return sum + rounded;
    }
}
