package tinroad.overload;

import java.util.Arrays;
import java.util.function.DoubleBinaryOperator;
import java.util.function.Predicate;

/**
 * The classes that were asked often enough lately for the part of it that was served to tell, and
 * how far each is behind. At most as many as there were requests in that time. What is gone over
 * after each change lies in arrays: classes that are asked seldom lie all over the memory.
 */
final class UnderservedClasses {
    private final DoubleBinaryOperator lag;
    private ClassStatistics[] of = new ClassStatistics[16];
    private double[] ratio = new double[16];
    private double[] until = new double[16];
    private int size;
    private double worst = 1;
    private double lags;
    private boolean stale = true;

    /** When the first of them tells no more. */
    private double quietAt;

    /**
     * {@code lag}: how far behind a class is that has this ratio, beside the worst ratio: the
     * module's to say.
     */
    UnderservedClasses(DoubleBinaryOperator lag) {
        this.lag = lag;
    }

    /** This class tells until then. */
    void add(ClassStatistics s, double tellsUntil) {
        if (s.telling < 0) {
            if (size == of.length) {
                of = Arrays.copyOf(of, 2 * size);
                ratio = Arrays.copyOf(ratio, 2 * size);
                until = Arrays.copyOf(until, 2 * size);
            }
            of[size] = s;
            s.telling = size++;
        }
        until[s.telling] = tellsUntil;
        changed(s);
    }

    /** It was asked or served. */
    void changed(ClassStatistics s) {
        if (s.telling >= 0) {
            ratio[s.telling] = Math.min(1, s.served / s.asked);
            stale = true;
        }
    }

    /** Others may be behind no more, or others be there: only these tell. */
    void retain(Predicate<ClassStatistics> those) {
        for (int i = size - 1; i >= 0; i--) {
            if (!those.test(of[i])) {
                remove(i);
            }
        }
        stale = true;
    }

    /**
     * How far this class is behind, as a part of all of so many classes. One that does not tell
     * counts as well served.
     */
    double lagShare(ClassStatistics s, int classes, double nowMillis) {
        if (stale || nowMillis > quietAt) {
            refresh(classes, nowMillis);
        }
        return lag(s.telling < 0 ? 1 : ratio[s.telling]) / lags;
    }

    private void refresh(int classes, double nowMillis) {
        worst = 1;
        quietAt = Double.MAX_VALUE;
        for (int i = size - 1; i >= 0; i--) {
            if (until[i] < nowMillis) {
                remove(i);
            } else {
                worst = Math.min(worst, ratio[i]);
                quietAt = Math.min(quietAt, until[i]);
            }
        }
        lags = (classes - size) * lag(1);
        for (int i = 0; i < size; i++) {
            lags += lag(ratio[i]);
        }
        stale = false;
    }

    private void remove(int i) {
        of[i].telling = -1;
        size--;
        of[i] = of[size];
        ratio[i] = ratio[size];
        until[i] = until[size];
        if (i < size) {
            of[i].telling = i;
        }
        of[size] = null;
    }

    private double lag(double ratio) {
        return lag.applyAsDouble(ratio, worst);
    }
}
