package tinroad.overload;

import java.util.Arrays;
import java.util.function.DoubleBinaryOperator;
import java.util.function.Predicate;

/**
 * The classes that had enough recent requests for their ratio of answers in time to be meaningful,
 * and how far each is behind. There are at most as many of them as there were requests in that
 * time. What each refresh walks over is stored in arrays, because the statistics of classes with
 * few requests are scattered over the memory.
 */
final class UnderservedClasses {
    private final DoubleBinaryOperator lag;
    private ClassStatistics[] classes = new ClassStatistics[16];
    private double[] servedRatio = new double[16];
    private double[] expiresAtMillis = new double[16];
    private int size;
    private double worstRatio = 1;
    private double lagSum;
    private boolean stale = true;

    /** When the first of the classes stops counting. */
    private double nextExpiryMillis;

    /**
     * Creates an empty set. {@code lag} computes how far a class is behind from its ratio and the
     * worst ratio.
     */
    UnderservedClasses(DoubleBinaryOperator lag) {
        this.lag = lag;
    }

    /** Lets a class count until this time. */
    void add(ClassStatistics statistics, double countsUntilMillis) {
        if (statistics.underservedIndex < 0) {
            if (size == classes.length) {
                classes = Arrays.copyOf(classes, 2 * size);
                servedRatio = Arrays.copyOf(servedRatio, 2 * size);
                expiresAtMillis = Arrays.copyOf(expiresAtMillis, 2 * size);
            }
            classes[size] = statistics;
            statistics.underservedIndex = size++;
        }
        expiresAtMillis[statistics.underservedIndex] = countsUntilMillis;
        update(statistics);
    }

    /** Updates the ratio of a class after a request or an answer in time. */
    void update(ClassStatistics statistics) {
        if (statistics.underservedIndex >= 0) {
            servedRatio[statistics.underservedIndex] =
                    Math.min(1, statistics.recentServed / statistics.recentRequests);
            stale = true;
        }
    }

    /** Keeps only the classes that match, after a change of the classes. */
    void retain(Predicate<ClassStatistics> isRetained) {
        for (int index = size - 1; index >= 0; index--) {
            if (!isRetained.test(classes[index])) {
                remove(index);
            }
        }
        stale = true;
    }

    /**
     * Returns how far this class is behind, as a share of the sum over all {@code classCount}
     * classes. A class that does not count here is taken to be well served.
     */
    double lagShare(ClassStatistics statistics, int classCount, double nowMillis) {
        if (stale || nowMillis > nextExpiryMillis) {
            refresh(classCount, nowMillis);
        }
        return lag(statistics.underservedIndex < 0 ? 1 : servedRatio[statistics.underservedIndex])
                / lagSum;
    }

    private void refresh(int classCount, double nowMillis) {
        worstRatio = 1;
        nextExpiryMillis = Double.MAX_VALUE;
        for (int index = size - 1; index >= 0; index--) {
            if (expiresAtMillis[index] < nowMillis) {
                remove(index);
            } else {
                worstRatio = Math.min(worstRatio, servedRatio[index]);
                nextExpiryMillis = Math.min(nextExpiryMillis, expiresAtMillis[index]);
            }
        }
        lagSum = (classCount - size) * lag(1);
        for (int index = 0; index < size; index++) {
            lagSum += lag(servedRatio[index]);
        }
        stale = false;
    }

    private void remove(int index) {
        classes[index].underservedIndex = -1;
        size--;
        classes[index] = classes[size];
        servedRatio[index] = servedRatio[size];
        expiresAtMillis[index] = expiresAtMillis[size];
        if (index < size) {
            classes[index].underservedIndex = index;
        }
        classes[size] = null;
    }

    private double lag(double ratio) {
        return lag.applyAsDouble(ratio, worstRatio);
    }
}
