package tinroad.recovery;

/**
 * Slow start of an engine that was started: a limit for the rate of admitted requests, set by what
 * the engine has demonstrated so far, never by the clock. The limit is reported, not enforced; what
 * the overload controller admits after a cold start is its own decision, by the clock.
 *
 * <p>This class measures in windows: the throughput of completed runs, and their slowdown compared
 * with the usual time of their class. While the limit binds, a window without congestion raises it
 * by a factor, and a congested one sets it back to a share of the throughput. Slow start is over
 * once the demand has stayed below the limit, or once a higher limit has brought no more throughput
 * for a while. From then on the admission control of the overload controller is enough. Times are
 * in ms, and rates per second. An instance must be used by one thread only.
 */
public final class SlowStart {
    /** The phase of slow start. */
    public enum Phase {
        /** No run has completed yet, so the limit is at its minimum. */
        COLD,
        /** The limit rises and falls with what is measured. */
        RAMPING,
        /** Slow start is over, and there is no limit. */
        FULL
    }

    /** The minimum length of a window, in ms. */
    private static final double MIN_WINDOW_MILLIS = 200;

    /** A window ends after its minimum length once it has this many completions per core. */
    private static final int MIN_COMPLETIONS_PER_CORE = 3;

    /** The length, in ms, at which a window ends whatever its completions. */
    private static final double MAX_WINDOW_MILLIS = 1000;

    /**
     * The factor that raises the limit after a window in which it was binding, without congestion.
     */
    private static final double INCREASE_FACTOR = 1.5;

    /** The limit after a congested window, as a share of the window's throughput. */
    private static final double DECREASE_FACTOR = 0.85;

    /**
     * Runs that are this many times slower than the fastest recent ones indicate congestion, unless
     * the throughput has grown.
     */
    private static final double CONGESTED_SLOWDOWN = 1.8;

    /**
     * Throughput that exceeds that of the previous window by this factor has grown, so there is no
     * congestion.
     */
    private static final double MIN_GROWTH_OVER_PREVIOUS = 1.05;

    /**
     * Runs that are this many times slower indicate congestion whatever the throughput, which then
     * comes from requests that were admitted earlier.
     */
    private static final double SEVERE_SLOWDOWN = 3;

    /** The limit is binding if at least this share of it was admitted. */
    private static final double BINDING_SHARE = 0.85;

    /** The number of consecutive windows with the demand below the limit that ends slow start. */
    private static final int WINDOWS_BELOW_LIMIT = 5;

    /** Slow start ends if the best throughput has not grown for this long, in ms. */
    private static final double PLATEAU_MILLIS = 4000;

    /** Throughput that exceeds the best one by this factor has grown. */
    private static final double MIN_GROWTH_OVER_BEST = 1.08;

    /**
     * The factor by which the fastest slowdown is raised in each window, so that it is gradually
     * forgotten.
     */
    private static final double FASTEST_DECAY_FACTOR = 1.02;

    /** The counts since the window began. */
    private static final class Window {
        private double startMillis;
        private int admitted;
        private int rejected;
        private int completions;
        private double slowdownSum;

        void restart(double nowMillis) {
            startMillis = nowMillis;
            completions = 0;
            admitted = 0;
            rejected = 0;
            slowdownSum = 0;
        }
    }

    private final int cores;
    private final double minLimitPerSecond;
    private final Window window = new Window();
    private Phase phase = Phase.COLD;
    private double limitPerSecond;
    private double fastestSlowdown = Double.POSITIVE_INFINITY;
    private double previousThroughput;
    private double bestThroughput;
    private double bestThroughputAtMillis;
    private int windowsBelowLimit;
    private String reason = "no run has completed yet";

    /**
     * Creates the slow start of an engine with this many cores.
     *
     * @param expectedRunMillis the expected time of a run before any has completed
     */
    public SlowStart(double nowMillis, int cores, double expectedRunMillis) {
        this.cores = cores;
        minLimitPerSecond = cores * 1000 / expectedRunMillis;
        limitPerSecond = minLimitPerSecond;
        window.startMillis = nowMillis;
        bestThroughputAtMillis = nowMillis;
    }

    /** Records that a request arrived, and was admitted or rejected. */
    public void requestArrived(boolean admitted) {
        window.admitted += admitted ? 1 : 0;
        window.rejected += admitted ? 0 : 1;
    }

    /** Records that a run has completed, whose class usually takes {@code expectedMillis}. */
    public void runCompleted(double nowMillis, double tookMillis, double expectedMillis) {
        window.completions++;
        window.slowdownSum += tookMillis / expectedMillis;
        if (phase == Phase.COLD) {
            phase = Phase.RAMPING;
            bestThroughputAtMillis = nowMillis;
        }
    }

    /** Evaluates the window if it has seen enough. It is to be called every few ms. */
    public void tick(double nowMillis) {
        double lengthMillis = nowMillis - window.startMillis;
        if (phase == Phase.FULL
                || lengthMillis < MIN_WINDOW_MILLIS
                || (window.completions < MIN_COMPLETIONS_PER_CORE * cores
                        && lengthMillis < MAX_WINDOW_MILLIS)) {
            return;
        }
        if (window.completions == 0) {
            limitPerSecond = minLimitPerSecond;
            reason = "no run completes";
            windowsBelowLimit = 0;
        } else {
            evaluate(
                    nowMillis,
                    window.completions * 1000 / lengthMillis,
                    window.slowdownSum / window.completions,
                    limitIsBinding(lengthMillis));
        }
        window.restart(nowMillis);
    }

    private boolean limitIsBinding(double lengthMillis) {
        return window.rejected > 0
                && window.admitted * 1000 / lengthMillis
                        >= BINDING_SHARE
                                * Math.min(
                                        limitPerSecond,
                                        window.admitted * 1000 / lengthMillis
                                                + limitPerSecond / 10);
    }

    private void evaluate(
            double nowMillis, double throughput, double slowdown, boolean limitIsBinding) {
        fastestSlowdown = Math.min(fastestSlowdown * FASTEST_DECAY_FACTOR, slowdown);
        boolean congested =
                slowdown > SEVERE_SLOWDOWN * fastestSlowdown
                        || (slowdown > CONGESTED_SLOWDOWN * fastestSlowdown
                                && throughput < MIN_GROWTH_OVER_PREVIOUS * previousThroughput);
        if (throughput > MIN_GROWTH_OVER_BEST * bestThroughput) {
            bestThroughput = throughput;
            bestThroughputAtMillis = nowMillis;
        }
        previousThroughput = throughput;
        adjustLimit(throughput, slowdown, congested, limitIsBinding);
        if (windowsBelowLimit >= WINDOWS_BELOW_LIMIT) {
            phase = Phase.FULL;
        } else if (nowMillis - bestThroughputAtMillis > PLATEAU_MILLIS && bestThroughput > 0) {
            phase = Phase.FULL;
            reason = "a higher limit brings no more throughput";
        }
    }

    private void adjustLimit(
            double throughput, double slowdown, boolean congested, boolean limitIsBinding) {
        if (congested) {
            limitPerSecond = Math.max(minLimitPerSecond, DECREASE_FACTOR * throughput);
            reason =
                    "runs take "
                            + Math.round(10 * slowdown / fastestSlowdown) / 10.0
                            + " times as long as the fastest";
            windowsBelowLimit = 0;
        } else if (limitIsBinding) {
            limitPerSecond = Math.max(limitPerSecond, throughput) * INCREASE_FACTOR;
            reason = "runs complete, and the limit is reached";
            windowsBelowLimit = 0;
        } else {
            reason = "the demand is below the limit";
            windowsBelowLimit++;
        }
    }

    /** Returns the current phase. */
    public Phase phase() {
        return phase;
    }

    /** Returns the limit in requests per second; infinite once slow start is over. */
    public double limitPerSecond() {
        return phase == Phase.FULL ? Double.POSITIVE_INFINITY : limitPerSecond;
    }

    /** Returns the reason for the limit's value, for operators. */
    public String reason() {
        return reason;
    }
}
