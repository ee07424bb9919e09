package tinroad.overload;

/**
 * What arrived lately over all classes and tenants: rate, share of retries, how late it is read.
 */
final class ArrivalStatistics {
    /** Time in which a rate of arrivals falls to its e-th part. */
    static final double RATE_SPAN_MILLIS = 3000;

    /** What one arrival adds to a rate in requests a second. */
    static final double RATE_PER_ARRIVAL = 1000 / RATE_SPAN_MILLIS;

    private final ControllerClock clock;
    private double decayingRate;
    private double retryShare;
    private double readDelayShare;

    ArrivalStatistics(ControllerClock clock) {
        this.clock = clock;
    }

    /** Time passes. */
    void advance(double passedMillis) {
        decayingRate *= Math.exp(-passedMillis / RATE_SPAN_MILLIS);
    }

    /** A request was read, {@code ageMillis} after it came. */
    void arrived(boolean retry, double ageMillis, double objectiveMillis) {
        decayingRate += RATE_PER_ARRIVAL;
        retryShare += Smoothing.CALM_WEIGHT * ((retry ? 1 : 0) - retryShare);
        readDelayShare += Smoothing.RUN_WEIGHT * (ageMillis / objectiveMillis - readDelayShare);
    }

    /** The decaying rate, in requests a second; too low soon after the start. */
    double decayingRate() {
        return decayingRate;
    }

    /** Arrivals a second, lately; soon after the start, since then. */
    double requestsPerSecond() {
        return decayingRate
                / (1 - Math.exp(-Math.max(1, clock.sinceStartMillis()) / RATE_SPAN_MILLIS));
    }

    /** Part of the arrivals that are marked retries, 0 to 1. */
    double retryShare() {
        return retryShare;
    }

    /** How late requests are read, in parts of their latency objectives. */
    double readDelayShare() {
        return readDelayShare;
    }
}
