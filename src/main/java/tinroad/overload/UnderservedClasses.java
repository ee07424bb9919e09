package tinroad.overload;

import java.util.Arrays;
import java.util.function.DoubleBinaryOperator;
import java.util.function.Predicate;

/**
 * The classes with requests enough lately for their ratio of answers in time to mean something, and
 * how far each is behind. At most as many as there were requests in that time. What each refresh
 * walks over lies in arrays: statistics of classes with few requests lie all over the memory.
 */
final class UnderservedClasses {
    private final DoubleBinaryOperator lag;
    private ClassStatistics[] classes = new ClassStatistics[16];
    private double[] servedRatio = new double[16];
    private double[] untilMillis = new double[16];
    private int size;
    private double worstRatio = 1;
    private double lagSum;
    private boolean stale = true;

    /** When the first of them no longer counts. */
    private double nextExpiryMillis;

    /** {@code lag}: how far behind a class is, by its ratio and the worst ratio. */
    UnderservedClasses(DoubleBinaryOperator lag) {
        this.lag = lag;
    }

    /** This class counts until then. */
    void add(ClassStatistics statistics, double countsUntilMillis) {
        if (statistics.underservedIndex < 0) {
            if (size == classes.length) {
                classes = Arrays.copyOf(classes, 2 * size);
                servedRatio = Arrays.copyOf(servedRatio, 2 * size);
                untilMillis = Arrays.copyOf(untilMillis, 2 * size);
            }
            classes[size] = statistics;
            statistics.underservedIndex = size++;
        }
        untilMillis[statistics.underservedIndex] = countsUntilMillis;
        update(statistics);
    }

    /** It had a request or an answer in time. */
    void update(ClassStatistics statistics) {
        if (statistics.underservedIndex >= 0) {
            servedRatio[statistics.underservedIndex] =
                    Math.min(1, statistics.recentServed / statistics.recentRequests);
            stale = true;
        }
    }

    /** Keeps only these, after a change of the classes. */
    void retain(Predicate<ClassStatistics> kept) {
        for (int index = size - 1; index >= 0; index--) {
            if (!kept.test(classes[index])) {
                remove(index);
            }
        }
        stale = true;
    }

    /**
     * How far this class is behind, as a share of all of {@code classCount} classes. One that does
     * not count here counts as well served.
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
            if (untilMillis[index] < nowMillis) {
                remove(index);
            } else {
                worstRatio = Math.min(worstRatio, servedRatio[index]);
                nextExpiryMillis = Math.min(nextExpiryMillis, untilMillis[index]);
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
        untilMillis[index] = untilMillis[size];
        if (index < size) {
            classes[index].underservedIndex = index;
        }
        classes[size] = null;
    }

    private double lag(double ratio) {
        return lag.applyAsDouble(ratio, worstRatio);
    }
}
