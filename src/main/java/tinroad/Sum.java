package tinroad;

/**
 * A sum that is kept by adding and taking away. Neumaier's compensated summation: guards against
 * drift, as what each addition rounds away is kept beside it.
 */
final class Sum {
    private double sum;
    private double rounded;

    /** Nothing. */
    Sum() {}

    /** The same as another. */
    Sum(Sum other) {
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
