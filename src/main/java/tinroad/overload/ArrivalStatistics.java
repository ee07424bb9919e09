package tinroad.overload;

/**
 * Statistics of recent arrivals over all classes and tenants: their rate, the share of retries, and
 * how late they are read.
 */
final class ArrivalStatistics {
    /** Time constant of arrival rates: a rate decays to 1/e in this time. */
    static final double RATE_SPAN_MILLIS = 3000;

    /** What one arrival adds to a rate in requests per second. */
    static final double RATE_PER_ARRIVAL = 1000 / RATE_SPAN_MILLIS;

    private final ControllerClock clock;
    private double decayingRate;
    private double retryShare;
    private double readDelayShare;

    ArrivalStatistics(ControllerClock clock) {
        this.clock = clock;
    }

    /** Decays the rate by the elapsed time. */
    void advance(double elapsedMillis) {
        decayingRate *= Math.exp(-elapsedMillis / RATE_SPAN_MILLIS);
    }

    /** Counts a request that was read {@code ageMillis} after it arrived. */
    void arrived(boolean retry, double ageMillis, double objectiveMillis) {
        decayingRate += RATE_PER_ARRIVAL;
        retryShare += Smoothing.CALM_WEIGHT * ((retry ? 1 : 0) - retryShare);
        readDelayShare += Smoothing.RUN_WEIGHT * (ageMillis / objectiveMillis - readDelayShare);
    }

    /** The decaying rate, in requests per second. It is too low soon after the start. */
    double decayingRate() {
        return decayingRate;
    }

    /** Recent arrivals per second. Soon after the start, the rate since the start. */
    double requestsPerSecond() {
        return decayingRate
                / (1 - Math.exp(-Math.max(1, clock.sinceStartMillis()) / RATE_SPAN_MILLIS));
    }

    /** Share of the arrivals that are marked as retries, 0 to 1. */
    double retryShare() {
        return retryShare;
    }

    /** Mean delay with which requests are read, as a share of their latency objectives. */
    double readDelayShare() {
        return readDelayShare;
    }
}
