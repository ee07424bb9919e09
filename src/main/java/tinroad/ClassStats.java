package tinroad;

import java.util.List;

/**
 * What is measured of one class. Its run and its calm one, in ms, are 0 until there is a sample or
 * a memory of them. Holds values only: what becomes of them is decided by the module, what is
 * summed over them by {@link Classes}.
 */
final class ClassStats {
    /** A wait that fresh tries of a class come with, and how sure that is. */
    static final class Patience {
        final double wait;
        double votes = 1;

        Patience(double wait) {
            this.wait = wait;
        }
    }

    final int place;
    double run;
    double calm;
    double away;
    double runs;
    double calmRuns;

    /** There are samples, or a memory of them. */
    boolean known;

    /** What it was asked and served lately, faded up to a time. */
    double asked;

    double served;
    private double fadedAt;

    /** Where it stands in {@link Telling}; -1: nowhere. */
    int telling = -1;

    List<Patience> waits = List.of();

    /** Nothing yet, which weighs so many samples. */
    ClassStats(int place, double weight) {
        this.place = place;
        runs = weight;
        calmRuns = weight;
    }

    /**
     * Fades what it was asked and served lately; {@code span}: ms in which it falls to its e-th
     * part.
     */
    void fade(double now, double span) {
        if (now > fadedAt) {
            double part = asked == 0 ? 0 : Math.exp((fadedAt - now) / span);
            asked *= part;
            served *= part;
            fadedAt = now;
        }
    }
}
