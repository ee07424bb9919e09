package tinroad.overload;

import java.util.List;

/**
 * What is measured of one class. Holds values only: they are updated and summed by {@link
 * ClassTable}.
 */
final class ClassStatistics {
    /** A timeout that fresh attempts of a class come with, and how sure that is. */
    static final class ClientTimeout {
        final double timeoutMillis;
        double votes = 1;

        ClientTimeout(double timeoutMillis) {
            this.timeoutMillis = timeoutMillis;
        }
    }

    final int slot;

    /** Mean core time of a run; 0: no sample and nothing restored. */
    double runMillis;

    /** The same while calm. */
    double calmRunMillis;

    /** Mean time that a run is paused for calls to the dependency. */
    double pausedMillis;

    double runSamples;
    double calmRunSamples;

    /** There are samples, or restored values. */
    boolean measured;

    /** Requests lately, and those of them answered in time; both decayed up to a time. */
    double recentRequests;

    double recentServed;
    private double decayedAtMillis;

    /** Its index in {@link UnderservedClasses}; -1: not in there. */
    int underservedIndex = -1;

    List<ClientTimeout> clientTimeouts = List.of();

    /** Nothing measured yet, which weighs {@code samples}. */
    ClassStatistics(int slot, double samples) {
        this.slot = slot;
        runSamples = samples;
        calmRunSamples = samples;
    }

    /** Decays the recent counts; {@code spanMillis}: time in which they fall to their e-th part. */
    void decay(double nowMillis, double spanMillis) {
        if (nowMillis > decayedAtMillis) {
            double share =
                    recentRequests == 0 ? 0 : Math.exp((decayedAtMillis - nowMillis) / spanMillis);
            recentRequests *= share;
            recentServed *= share;
            decayedAtMillis = nowMillis;
        }
    }
}
