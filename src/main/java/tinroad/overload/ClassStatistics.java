package tinroad.overload;

import java.util.List;

/**
 * What is measured of one class. Its run and its calm one, in ms, are 0 until there is a sample or
 * a memory of them. Holds values only: what becomes of them is decided by the module, what is
 * summed over them by {@link ClassTable}.
 */
final class ClassStatistics {
    /** A wait that fresh tries of a class come with, and how sure that is. */
    static final class ClientTimeout {
        final double wait;
        double votes = 1;

        ClientTimeout(double wait) {
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

    /** Where it stands in {@link UnderservedClasses}; -1: nowhere. */
    int telling = -1;

    List<ClientTimeout> waits = List.of();

    /** Nothing yet, which weighs so many samples. */
    ClassStatistics(int place, double weight) {
        this.place = place;
        runs = weight;
        calmRuns = weight;
    }

    /**
     * Fades what it was asked and served lately; {@code span}: ms in which it falls to its e-th
     * part.
     */
    void fade(double nowMillis, double span) {
        if (nowMillis > fadedAt) {
            double part = asked == 0 ? 0 : Math.exp((fadedAt - nowMillis) / span);
            asked *= part;
            served *= part;
            fadedAt = nowMillis;
        }
    }
}
