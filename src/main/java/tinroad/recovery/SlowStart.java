package tinroad.recovery;

/**
 * Slow start of an engine that was started: a limit for the rate of admitted requests, set by what
 * the engine has shown so far, never by the clock. The limit is reported, not enforced; what the
 * overload controller admits after a cold start is its own, by the clock. This class measures in
 * windows: the throughput of completed runs, and their slowdown against what their class usually
 * takes. While the limit binds, a window without congestion raises it by a factor, a congested one
 * sets it back to a part of the throughput. Slow start is over once the demand has stayed below the
 * limit, or once a higher limit has brought no more throughput for a while: then the admission
 * control of the overload controller is enough. Times in ms, rates a second. Owned by one thread.
 */
public final class SlowStart {
    /** The phase of slow start. */
    public enum Phase {
        /** No run has completed yet: the limit is the lowest one. */
        COLD,
        /** The limit rises and falls with what is measured. */
        RAMPING,
        /** Over: no limit. */
        FULL
    }

    /** A window is at least this long, and has this many completions a core ... */
    private static final double MIN_WINDOW_MILLIS = 200;

    private static final int COMPLETIONS_PER_CORE = 3;

    /** ... or is this long. */
    private static final double MAX_WINDOW_MILLIS = 1000;

    /** The limit's factor after a window in which it was binding, without congestion. */
    private static final double INCREASE_FACTOR = 1.5;

    /** The limit after a congested window, as a part of its throughput. */
    private static final double DECREASE_FACTOR = 0.85;

    /** Runs this much slower than the fastest lately, without more throughput, are congestion. */
    private static final double CONGESTED_SLOWDOWN = 1.8;

    /** More throughput than in the window before, by this factor, is no congestion. */
    private static final double MORE_THAN_PREVIOUS = 1.05;

    /**
     * Runs this much slower are congestion whatever the throughput, which then comes from requests
     * admitted earlier.
     */
    private static final double SEVERE_SLOWDOWN = 3;

    /** The limit is binding when this part of it was admitted. */
    private static final double BINDING_PART = 0.85;

    /** Windows in a row below the limit that end slow start. */
    private static final int WINDOWS_BELOW_LIMIT = 5;

    /** Slow start ends where the best throughput has not grown by this factor for this time. */
    private static final double PLATEAU_MILLIS = 4000;

    private static final double MORE_THAN_BEST = 1.08;

    /** The fastest slowdown is forgotten by this factor a window. */
    private static final double FASTEST_DECAY = 1.02;

    /** What was counted since the window began. */
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
    private final double minRatePerSecond;
    private final Window window = new Window();
    private Phase phase = Phase.COLD;
    private double ratePerSecond;
    private double fastestSlowdown = Double.POSITIVE_INFINITY;
    private double previousThroughput;
    private double bestThroughput;
    private double bestThroughputAtMillis;
    private int windowsBelowLimit;
    private String reason = "no run has completed yet";

    /**
     * Slow start of an engine with so many cores.
     *
     * @param expectedRunMillis of a run, by what is known before any has completed
     */
    public SlowStart(double nowMillis, int cores, double expectedRunMillis) {
        this.cores = cores;
        minRatePerSecond = cores * 1000 / expectedRunMillis;
        ratePerSecond = minRatePerSecond;
        window.startMillis = nowMillis;
        bestThroughputAtMillis = nowMillis;
    }

    /** A request arrived, and was admitted or rejected. */
    public void requestArrived(boolean admitted) {
        window.admitted += admitted ? 1 : 0;
        window.rejected += admitted ? 0 : 1;
    }

    /** A run has completed, whose class usually takes {@code expectedMillis}. */
    public void runCompleted(double nowMillis, double tookMillis, double expectedMillis) {
        window.completions++;
        window.slowdownSum += tookMillis / expectedMillis;
        if (phase == Phase.COLD) {
            phase = Phase.RAMPING;
            bestThroughputAtMillis = nowMillis;
        }
    }

    /** Evaluates the window where it has seen enough; to be called every few ms. */
    public void tick(double nowMillis) {
        double lengthMillis = nowMillis - window.startMillis;
        if (phase == Phase.FULL
                || lengthMillis < MIN_WINDOW_MILLIS
                || (window.completions < COMPLETIONS_PER_CORE * cores
                        && lengthMillis < MAX_WINDOW_MILLIS)) {
            return;
        }
        if (window.completions == 0) {
            ratePerSecond = minRatePerSecond;
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
                        >= BINDING_PART
                                * Math.min(
                                        ratePerSecond,
                                        window.admitted * 1000 / lengthMillis + ratePerSecond / 10);
    }

    private void evaluate(
            double nowMillis, double throughput, double slowdown, boolean limitIsBinding) {
        fastestSlowdown = Math.min(fastestSlowdown * FASTEST_DECAY, slowdown);
        boolean congested =
                slowdown > SEVERE_SLOWDOWN * fastestSlowdown
                        || (slowdown > CONGESTED_SLOWDOWN * fastestSlowdown
                                && throughput < MORE_THAN_PREVIOUS * previousThroughput);
        if (throughput > MORE_THAN_BEST * bestThroughput) {
            bestThroughput = throughput;
            bestThroughputAtMillis = nowMillis;
        }
        previousThroughput = throughput;
        adjustRate(throughput, slowdown, congested, limitIsBinding);
        if (windowsBelowLimit >= WINDOWS_BELOW_LIMIT) {
            phase = Phase.FULL;
        } else if (nowMillis - bestThroughputAtMillis > PLATEAU_MILLIS && bestThroughput > 0) {
            phase = Phase.FULL;
            reason = "a higher limit brings no more throughput";
        }
    }

    private void adjustRate(
            double throughput, double slowdown, boolean congested, boolean limitIsBinding) {
        if (congested) {
            ratePerSecond = Math.max(minRatePerSecond, DECREASE_FACTOR * throughput);
            reason =
                    "runs take "
                            + Math.round(10 * slowdown / fastestSlowdown) / 10.0
                            + " times as long as the fastest";
            windowsBelowLimit = 0;
        } else if (limitIsBinding) {
            ratePerSecond = Math.max(ratePerSecond, throughput) * INCREASE_FACTOR;
            reason = "runs complete, and the limit is reached";
            windowsBelowLimit = 0;
        } else {
            reason = "the demand is below the limit";
            windowsBelowLimit++;
        }
    }

    /** The phase now. */
    public Phase phase() {
        return phase;
    }

    /** The limit in requests a second; infinite once slow start is over. */
    public double ratePerSecondLimit() {
        return phase == Phase.FULL ? Double.POSITIVE_INFINITY : ratePerSecond;
    }

    /** Why the limit is what it is, for operators. */
    public String reason() {
        return reason;
    }
}
