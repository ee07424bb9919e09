package tinroad.overload;

import java.util.List;

/** Statistics of one request class. Holds values only; {@link ClassTable} updates and sums them. */
final class ClassStatistics {
    /**
     * A client timeout with which fresh attempts of the class arrive, and the votes for it, which
     * count how often it was seen.
     */
    static final class ClientTimeout {
        final double timeoutMillis;
        double votes = 1;

        ClientTimeout(double timeoutMillis) {
            this.timeoutMillis = timeoutMillis;
        }
    }

    final int slot;

    /** Mean core time of a run; 0 if there is neither a sample nor a restored value. */
    double runMillis;

    /** Mean core time of a run while the server is calm; 0 as for {@link #runMillis}. */
    double calmRunMillis;

    /** Mean time that a run is paused for calls to the dependency. */
    double pausedMillis;

    double runSamples;
    double calmRunSamples;

    /** Whether there are samples or restored values. */
    boolean measured;

    /** Decaying count of recent requests, decayed up to {@link #decayedAtMillis}. */
    double recentRequests;

    /** Decaying count of those requests that were answered in time. */
    double recentServed;

    private double decayedAtMillis;

    /** Index of the class in {@link UnderservedClasses}; -1 if it is not there. */
    int underservedIndex = -1;

    List<ClientTimeout> clientTimeouts = List.of();

    /**
     * Creates statistics without a measurement; what is assumed instead weighs as much as {@code
     * samples} samples.
     */
    ClassStatistics(int slot, double samples) {
        this.slot = slot;
        runSamples = samples;
        calmRunSamples = samples;
    }

    /** Decays the recent counts, which fall to 1/e in {@code timeConstantMillis}. */
    void decay(double nowMillis, double timeConstantMillis) {
        if (nowMillis > decayedAtMillis) {
            double factor =
                    recentRequests == 0
                            ? 0
                            : Math.exp((decayedAtMillis - nowMillis) / timeConstantMillis);
            recentRequests *= factor;
            recentServed *= factor;
            decayedAtMillis = nowMillis;
        }
    }
}
